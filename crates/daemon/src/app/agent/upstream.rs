//! HTTP/1.1 client of the one upstream.

use std::{error::Error as _, net::SocketAddr, time::Duration};

use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use sassafrasmast_core::error::{Kind, Outcome};
use tokio::{net::TcpStream, time::timeout};

use super::{Cut, Driver, Inflow, answer::TICKET};

/// An upstream that does not accept a connection for this long cannot be reached.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Header by which an upstream says that it refused a request before running it.
const NOT_RUN: &str = "sassafrasmast-not-run";

/// Headers that concern one connection alone (RFC 9110, section 7.6.1).
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
const OURS: [header::HeaderName; 2] = [TICKET, HeaderName::from_static(Outcome::HEADER)];

/// Opens one connection per running request, so no answer can meet another request.
#[derive(Debug, Clone, Copy)]
pub struct Upstream {
    address: SocketAddr,
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct Call {
    /// Head and body of the answer.
    pub response: Response<Incoming>,
    /// Whether the answer's end can be told from a cut.
    pub delimited: bool,
    /// Holds the connection open.
    pub driver: Driver,
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
    pub async fn connect(&self) -> Result<Line, Kind> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        let Ok(Ok(stream)) = connect else {
            return Err(Kind::UpstreamUnreachable);
        };
        // A socket that is already gone shows on the first write.
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Kind::UpstreamUnreachable)?;
        let driver = Driver::spawn(async move {
            // The sender sees the error too.
            let _ = connection.await;
        });
        Ok(Line {
            sender,
            driver,
            host: self.address,
        })
    }
}

/// An open connection to the upstream, good for one request.
#[derive(Debug)]
pub struct Line {
    sender: http1::SendRequest<Inflow>,
    driver: Driver,
    host: SocketAddr,
}

impl Line {
    /// Sends a request and waits for the head of its answer. Dropping the future or the call
    /// closes the connection, which cancels the request.
    ///
    /// # Errors
    ///
    /// [`Kind::UpstreamCut`] if the connection broke, [`Kind::UpstreamRefused`] if the upstream
    /// says that it did not run the request, or what is wrong with the request's body.
    pub async fn send(mut self, mut request: Request<Inflow>) -> Result<Call, Kind> {
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
        for name in OURS {
            response.headers_mut().remove(name);
        }
        Ok(Call {
            response,
            delimited,
            driver: self.driver,
        })
    }
}

/// Finds the reason of a failure: the request's own body or the connection.
fn failure(error: &hyper::Error) -> Kind {
    let mut source = error.source();
    while let Some(cause) = source {
        if let Some(cut) = cause.downcast_ref::<Cut>() {
            return match cut {
                Cut::Short => Kind::Cancelled,
                Cut::TooLarge => Kind::BodyTooLarge,
            };
        }
        source = cause.source();
    }
    Kind::UpstreamCut
}

/// Whether the upstream says that it did not run the request.
fn refused(response: &Response<Incoming>) -> bool {
    let said = response.headers().get(NOT_RUN);
    response.status().is_server_error() && said.is_some_and(|value| value == "true")
}

/// Whether a body that ends early can be told from a whole one.
fn is_delimited(response: &Response<Incoming>) -> bool {
    use hyper::body::Body;
    response.body().size_hint().exact().is_some()
        || response.headers().contains_key(header::TRANSFER_ENCODING)
}

/// Removes headers that concern one connection alone.
fn strip(headers: &mut HeaderMap) {
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}
