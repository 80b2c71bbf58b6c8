//! Calls of the operators' API, on several balancers in turn.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use sassafrasmastd::api;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error as ThisError;
use tokio::{net::TcpStream, time::timeout};

/// Longest time for connecting to one balancer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// No balancer could be connected to.
    #[error("no balancer answers: {0}")]
    Unreachable(String),
    /// The answer of a balancer was cut after the request was sent.
    #[error("the answer of a balancer was cut: {0}")]
    Cut(String),
    /// The balancer answered with an error.
    #[error("{0}")]
    Api(api::Error),
}

/// Calls balancers in turn until one answers.
#[derive(Debug, Clone)]
pub struct Client {
    addresses: Vec<SocketAddr>,
}

impl Client {
    /// A client of the APIs at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { addresses }
    }

    /// Gets `path`.
    ///
    /// # Errors
    ///
    /// [`Error`]
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        self.call(Method::GET, path, Bytes::new()).await
    }

    /// Posts `body` to `path`. The call must be idempotent: after a cut answer it is sent to the
    /// next balancer.
    ///
    /// # Errors
    ///
    /// [`Error`]
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(body).map_err(|error| Error::Cut(error.to_string()))?;
        self.call(Method::POST, path, body.into()).await
    }

    /// Tries the balancers in turn. One that is not ready or has no store is passed over. An
    /// unsettled outcome of one balancer outweighs that others could not be reached.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Error> {
        let mut worst = Error::Unreachable("none is named".to_owned());
        for &address in &self.addresses {
            let attempt = exchange(address, method.clone(), path, body.clone());
            let error = match timeout(CALL_TIMEOUT, attempt).await {
                Ok(Ok(value)) => return Ok(value),
                Ok(Err(error)) => error,
                Err(_) => Error::Cut(format!("{address}: timed out")),
            };
            match &error {
                Error::Api(
                    api::Error::NotReady | api::Error::StoreDown | api::Error::Unsettled,
                )
                | Error::Unreachable(_)
                | Error::Cut(_) => {}
                Error::Api(_) => return Err(error),
            }
            if rank(&error) >= rank(&worst) {
                worst = error;
            }
        }
        Err(worst)
    }
}

/// How much an error says: an unsettled outcome says most.
fn rank(error: &Error) -> u8 {
    match error {
        Error::Unreachable(_) => 0,
        Error::Api(api::Error::Unsettled) | Error::Cut(_) => 2,
        Error::Api(_) => 1,
    }
}

async fn exchange<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<T, Error> {
    let unreachable = |reason: String| Error::Unreachable(format!("{address}: {reason}"));
    let cut = |reason: String| Error::Cut(format!("{address}: {reason}"));
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| unreachable("timed out".to_owned()))?
        .map_err(|error| unreachable(error.to_string()))?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    tokio::spawn(connection);
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(body))
        .map_err(|error| unreachable(error.to_string()))?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| cut(error.to_string()))?;
    let status = response.status();
    let collected = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| cut(error.to_string()))?;
    parse(status, &collected.to_bytes()).map_err(|error| match error {
        Error::Cut(reason) => cut(reason),
        other => other,
    })
}

fn parse<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Error> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|error| Error::Cut(error.to_string()));
    }
    let error = serde_json::from_slice(body).unwrap_or_else(|_| api::Error::Http {
        message: format!("the balancer answered {status}"),
        status: status.as_u16(),
    });
    Err(Error::Api(error))
}
