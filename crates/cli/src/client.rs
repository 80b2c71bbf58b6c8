//! HTTP client with failover, for the operators' API and the status of flow-forwarding processes.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, StatusCode, client::conn::http1};
use hyper_util::rt::TokioIo;
use sassafrasmastd::api;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error as ThisError;
use tokio::{net::TcpStream, time::timeout};

/// Time-out of connecting to one process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time-out of one call, connecting included.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, ThisError)]
pub enum Error {
    /// None of the processes could be connected to.
    #[error("no process answers: {0}")]
    Unreachable(String),
    /// The request may have reached a process, but no complete, valid answer came back: whether
    /// it took effect is not known.
    #[error("no complete answer from a process: {0}")]
    Incomplete(String),
    /// The process answered with an error.
    #[error("{0}")]
    Api(api::Error),
}

/// Calls the given addresses in order until one gives a final answer.
#[derive(Debug, Clone)]
pub struct Client {
    addresses: Vec<SocketAddr>,
}

impl Client {
    /// A client of the processes at `addresses`.
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

    /// Posts `body` to `path`. The call must be idempotent: after an incomplete answer it is
    /// sent to the next address.
    ///
    /// # Errors
    ///
    /// [`Error`]
    pub async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, Error> {
        let body =
            serde_json::to_vec(body).map_err(|error| Error::Incomplete(error.to_string()))?;
        self.call(Method::POST, path, body.into()).await
    }

    /// Tries the addresses in order. Goes on to the next one after [`Error::Unreachable`],
    /// [`Error::Incomplete`] and the API errors `NotReady`, `StoreDown` and `Unsettled`; any other
    /// error is returned at once. If all fail, returns the error with the highest [`precedence`]; of equal ones, the last.
    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Error> {
        let mut worst = Error::Unreachable("no address is given".to_owned());
        for &address in &self.addresses {
            let attempt = exchange(address, method.clone(), path, body.clone());
            let error = match timeout(CALL_TIMEOUT, attempt).await {
                Ok(Ok(value)) => return Ok(value),
                Ok(Err(error)) => error,
                Err(_) => Error::Incomplete(format!("{address}: timed out")),
            };
            match &error {
                Error::Api(
                    api::Error::NotReady | api::Error::StoreDown | api::Error::Unsettled,
                )
                | Error::Unreachable(_)
                | Error::Incomplete(_) => {}
                Error::Api(_) => return Err(error),
            }
            if precedence(&error) >= precedence(&worst) {
                worst = error;
            }
        }
        Err(worst)
    }
}

/// Which error to return when several addresses failed: an error that leaves it open whether the
/// call took effect outranks one that excludes it.
fn precedence(error: &Error) -> u8 {
    match error {
        Error::Unreachable(_) => 0,
        Error::Api(api::Error::Unsettled) | Error::Incomplete(_) => 2,
        Error::Api(_) => 1,
    }
}

/// Sends one request to one process and parses the answer.
async fn exchange<T: DeserializeOwned>(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<T, Error> {
    let unreachable = |reason: String| Error::Unreachable(format!("{address}: {reason}"));
    let incomplete = |reason: String| Error::Incomplete(format!("{address}: {reason}"));
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
        .map_err(|error| incomplete(error.to_string()))?;
    let status = response.status();
    let collected = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
        .collect()
        .await
        .map_err(|error| incomplete(error.to_string()))?;
    parse(status, &collected.to_bytes()).map_err(|error| match error {
        Error::Incomplete(reason) => incomplete(reason),
        other => other,
    })
}

fn parse<T: DeserializeOwned>(status: StatusCode, body: &[u8]) -> Result<T, Error> {
    if status.is_success() {
        return serde_json::from_slice(body).map_err(|error| Error::Incomplete(error.to_string()));
    }
    let error = serde_json::from_slice(body).unwrap_or_else(|_| api::Error::Http {
        message: format!("the process answered {status}"),
        status: status.as_u16(),
    });
    Err(Error::Api(error))
}
