//! HTTP/1.1 client of the upstream.

use std::{error::Error as _, net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use sassafrasmast_core::error::{Kind, Outcome};
use tokio::{net::TcpStream, time::timeout};

use super::{AbortOnDrop, Cut, RequestBody, answer::TICKET};

/// An upstream that accepts no connection within this time counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Header by which an upstream states that it refused a request without running it.
const NOT_RUN: &str = "sassafrasmast-not-run";

/// Headers that apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [header::HeaderName; 7] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

/// Answer headers that only the agent may set.
const AGENT_HEADERS: [header::HeaderName; 2] = [TICKET, HeaderName::from_static(Outcome::HEADER)];

/// Opens one connection per running request, so that an answer can't be matched with another
/// request.
#[derive(Debug, Clone, Copy)]
pub struct Upstream {
    address: SocketAddr,
}

/// An answer whose body has not been read yet.
#[derive(Debug)]
pub struct PendingAnswer {
    /// Head and body of the answer.
    pub response: Response<Incoming>,
    /// Whether the end of the answer can be distinguished from a broken connection.
    pub delimited: bool,
    /// The connection's task; dropping it closes the connection.
    pub driver: AbortOnDrop,
}

impl Upstream {
    /// A client for the upstream at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Opens a connection. Nothing is sent.
    ///
    /// # Errors
    ///
    /// [`Kind::UpstreamUnreachable`].
    pub async fn connect(&self) -> Result<Connection, Kind> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let Ok(Ok(stream)) = connect else {
            return Err(Kind::UpstreamUnreachable);
        };
        // A socket that is already closed fails at the first write.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Kind::UpstreamUnreachable)?;
        let driver = AbortOnDrop::spawn(async move {
            // The sender gets the error too.
            let _ = connection.await;
        });
        Ok(Connection {
            sender,
            driver,
            host: self.address,
        })
    }
}

/// An open connection to the upstream for one request.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<RequestBody>,
    driver: AbortOnDrop,
    host: SocketAddr,
}

impl Connection {
    /// Sends a request and waits for the head of its answer. Dropping the future or the call
    /// closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// [`Kind::UpstreamCut`] if the connection broke, [`Kind::UpstreamRefused`] if the upstream
    /// states that it did not run the request, or the fault of the request's body.
    pub async fn send(mut self, mut request: Request<RequestBody>) -> Result<PendingAnswer, Kind> {
        strip(request.headers_mut());
        if !request.headers().contains_key(header::HOST) {
            let host = HeaderValue::from_str(&self.host.to_string());
            let host = host.map_err(|_| Kind::BadRequest)?;
            request.headers_mut().insert(header::HOST, host);
        }
        let sent = self.sender.send_request(request).await;
        let mut response = sent.map_err(|error| failure(&error))?;
        if refused(&response) {
            return Err(Kind::UpstreamRefused);
        }
        let delimited = is_delimited(&response);
        strip(response.headers_mut());
        for name in AGENT_HEADERS {
            response.headers_mut().remove(name);
        }
        Ok(PendingAnswer {
            response,
            delimited,
            driver: self.driver,
        })
    }
}

/// Attributes a failure to the request's body or to the connection.
fn failure(error: &hyper::Error) -> Kind {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(cut) = cause.downcast_ref::<Cut>() {
            return match cut {
                Cut::Incomplete => Kind::Cancelled,
                Cut::TooLarge => Kind::BodyTooLarge,
            };
        }
        source = cause.source();
    }
    Kind::UpstreamCut
}

/// Whether the upstream states that it did not run the request.
fn refused(response: &Response<Incoming>) -> bool {
    let said = response.headers().get(NOT_RUN);
    response.status().is_server_error() && said.is_some_and(|value| value == "true")
}

/// Whether the end of a body can be distinguished from a broken connection.
fn is_delimited(response: &Response<Incoming>) -> bool {
    use hyper::body::Body;
    response.body().size_hint().exact().is_some()
        || response.headers().contains_key(header::TRANSFER_ENCODING)
}

/// Removes headers that apply to one connection only.
fn strip(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
