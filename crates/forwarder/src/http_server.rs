//! HTTP server of a process for readiness, announcements, status and metrics.

use std::{convert::Infallible, net::SocketAddrV4, sync::Arc, time::Duration};

use ::http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};

use crate::tcp;

/// Time limit for receiving the head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest body of a request. An announcement has a few hundred bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct Received {
    /// Method.
    pub method: Method,
    /// Path without query.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// A response.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: String,
}

impl Answer {
    /// A response with this status and body.
    pub fn new(status: StatusCode, body: impl Into<String>) -> Self {
        Self {
            status,
            body: body.into(),
        }
    }
}

/// Serves requests at `address` with `handler`.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn serve<H, F>(address: SocketAddrV4, handler: H) -> anyhow::Result<()>
where
    H: Fn(Received) -> F + Send + Sync + 'static,
    F: Future<Output = Answer> + Send + 'static,
{
    let listener = tcp::bind("http", address).await?;
    let handler = Arc::new(handler);
    tokio::spawn(async move {
        loop {
            let stream = tcp::accept(&listener).await;
            let handler = Arc::clone(&handler);
            tokio::spawn(async move {
                let service = service_fn(move |request| {
                    let handler = Arc::clone(&handler);
                    async move { Ok::<_, Infallible>(respond(&*handler, request).await) }
                });
                let served = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(HEADER_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
                if served.is_err() {
                    metrics::counter!("sassafrasmast_http_broken").increment(1);
                }
            });
        }
    });
    Ok(())
}

/// Reads the body of a request and passes the request to the handler.
async fn respond<H, F>(handler: &H, request: Request<Incoming>) -> Response<Full<Bytes>>
where
    H: Fn(Received) -> F,
    F: Future<Output = Answer>,
{
    let (parts, body) = request.into_parts();
    let answer = match Limited::new(body, MAX_BODY_BYTES).collect().await {
        Ok(collected) => {
            handler(Received {
                method: parts.method,
                path: parts.uri.path().to_owned(),
                body: collected.to_bytes(),
            })
            .await
        }
        Err(error) => Answer::new(StatusCode::BAD_REQUEST, error.to_string()),
    };
    let mut response = Response::new(Full::new(Bytes::from(answer.body)));
    *response.status_mut() = answer.status;
    response
}
