//! Direct HTTP/1.1 calls to an upstream, as a baseline for comparison.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, task::JoinHandle};

use super::{Answer, Error};

/// One HTTP/1.1 connection to an upstream.
#[derive(Debug)]
pub struct DirectConnection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Drop for DirectConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl DirectConnection {
    /// Connects to an upstream.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`].
    pub async fn connect(upstream: SocketAddr) -> Result<Self, Error> {
        let failed = |error: String| Error::Connect(error);
        let stream = TcpStream::connect(upstream)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| failed(error.to_string()))?;
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self { sender, driver })
    }

    /// Posts `body` once and reads the complete answer.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`], or [`Error::InvalidAnswer`] if the request cannot be built.
    pub async fn post(&mut self, path: &str, body: Bytes) -> Result<Answer, Error> {
        let lost = |error: hyper::Error| Error::Lost(error.to_string());
        self.sender.ready().await.map_err(lost)?;
        let request = Request::post(path)
            .header(header::HOST, "localhost")
            .body(Full::new(body))
            .map_err(|error| Error::InvalidAnswer(error.to_string()))?;
        let response = self.sender.send_request(request).await.map_err(lost)?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(lost)?.to_bytes();
        Ok(Answer::new(parts.status.as_u16(), &parts.headers, body))
    }
}
