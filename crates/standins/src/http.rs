//! HTTP/1.1 server and client that the stand-ins share.

mod chunked_body;

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators::BoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1, service};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error as ThisError;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};

pub use self::chunked_body::ChunkedBody;

/// Largest request body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// A reply of a stand-in.
pub type Reply = Response<BoxBody<Bytes, Abort>>;

/// Closes the connection without a complete reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ThisError)]
#[error("connection aborted on purpose")]
pub struct Abort;

/// Accepts connections and answers their requests until the process ends. Connections over `limit`
/// are closed at once. The handler of a request is dropped when its caller disconnects.
pub async fn serve<H, F>(listener: TcpListener, limit: usize, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Reply, Abort>> + Send,
{
    let permits = Arc::new(Semaphore::new(limit));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            let _permit = permit;
            let _ = stream.set_nodelay(true);
            let _ = http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service::service_fn(handler))
                .await;
        });
    }
}

/// A reply with a JSON body.
pub fn json(status: StatusCode, body: &impl Serialize) -> Reply {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::new(full_body(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        hyper::header::CONTENT_TYPE,
        hyper::header::HeaderValue::from_static("application/json"),
    );
    reply
}

/// A body of known length.
pub fn full_body(body: impl Into<Bytes>) -> BoxBody<Bytes, Abort> {
    Full::new(body.into())
        .map_err(|never: Infallible| match never {})
        .boxed()
}

/// Reads the whole body of a request; [`Abort`] if it is incomplete or larger than
/// `MAX_BODY_BYTES`.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, Abort> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES);
    Ok(body.collect().await.map_err(|_| Abort)?.to_bytes())
}

/// Reads a JSON body of a request.
pub async fn parse<T: DeserializeOwned>(request: Request<Incoming>) -> Result<T, Box<Reply>> {
    let body = read_body(request).await.unwrap_or_default();
    serde_json::from_slice(&body)
        .map_err(|error| Box::new(json(StatusCode::BAD_REQUEST, &error.to_string())))
}

/// Makes one request on a new connection and reads the whole answer.
///
/// # Errors
///
/// If the connection, the request or the answer fails.
pub async fn call(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> anyhow::Result<Response<Bytes>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let (parts, body) = sender.send_request(request).await?.into_parts();
    let body = body.collect().await?.to_bytes();
    connection.abort();
    Ok(Response::from_parts(parts, body))
}

/// Makes a request with an optional JSON body and parses the JSON answer.
///
/// # Errors
///
/// If the call fails, the answer is not JSON, or its status is not a success. The error for a
/// status names method, path, status and body.
pub async fn call_json<T: DeserializeOwned>(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: Option<&serde_json::Value>,
) -> anyhow::Result<T> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(hyper::header::HOST, address.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/json")
        .body(Full::new(
            body.map(ToString::to_string).unwrap_or_default().into(),
        ))?;
    let answer = call(address, request).await?;
    let text = String::from_utf8_lossy(answer.body());
    anyhow::ensure!(
        answer.status().is_success(),
        "{method} {path}: {}: {text}",
        answer.status()
    );
    let text = if text.is_empty() { "null" } else { &text };
    Ok(serde_json::from_str(text)?)
}
