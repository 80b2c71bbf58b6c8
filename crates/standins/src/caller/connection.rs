//! One HTTP/3 connection.

use std::{future::poll_fn, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use h3::client::{RequestStream, SendRequest};
use h3_quinn::OpenStreams;
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::{task::JoinHandle, time::timeout};

use super::{Answer, Error, Feed};

/// Path from which tickets are fetched.
const TICKET_PATH: &str = "/.well-known/sassafrasmast/ticket";

/// Bytes of an answer after which reading stops.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Authority of all requests.
const AUTHORITY: &str = "localhost";

/// Bidirectional stream of one request.
type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// One HTTP/3 connection with the ticket of its last answer.
#[derive(Debug)]
pub struct Connection {
    quic: quinn::Connection,
    requests: Requests,
    driver: JoinHandle<()>,
    /// A ticket that has not been used yet.
    pub ticket: Option<String>,
}

/// Opens request streams. Exists because the wrapped type has no `Debug`.
struct Requests(SendRequest<OpenStreams, Bytes>);

impl std::fmt::Debug for Requests {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Requests")
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        // 0x100 is the HTTP/3 code H3_NO_ERROR.
        self.quic.close(0x100_u32.into(), b"");
        self.driver.abort();
    }
}

impl Connection {
    /// Starts HTTP/3 on a QUIC connection.
    ///
    /// # Errors
    ///
    /// [`Error::Connect`].
    pub async fn new(quic: quinn::Connection) -> Result<Self, Error> {
        let (mut driver, requests) = h3::client::new(h3_quinn::Connection::new(quic.clone()))
            .await
            .map_err(|error| Error::Connect(error.to_string()))?;
        let driver = tokio::spawn(async move {
            // The error is available from the QUIC connection.
            let _ = poll_fn(|context| driver.poll_close(context)).await;
        });
        Ok(Self {
            quic,
            requests: Requests(requests),
            driver,
            ticket: None,
        })
    }

    /// The QUIC connection, for its statistics and its close.
    pub fn quic(&self) -> &quinn::Connection {
        &self.quic
    }

    /// Fetches a ticket.
    ///
    /// # Errors
    ///
    /// As [`Self::request`]; [`Error::Status`] or [`Error::InvalidAnswer`] without a ticket.
    pub async fn fetch_ticket(&mut self, limit: Duration) -> Result<String, Error> {
        let request = request("GET", TICKET_PATH)?;
        let answer = self.request(request, Bytes::new(), limit).await?;
        if !answer.is_success() {
            return Err(status_error(&answer));
        }
        self.ticket
            .take()
            .ok_or_else(|| Error::InvalidAnswer("no ticket".to_owned()))
    }

    /// Sends a request and reads its complete answer.
    ///
    /// # Errors
    ///
    /// [`Error::Unsent`] if the connection accepts no further request, [`Error::Timeout`] after
    /// `limit`, [`Error::Length`], or the error that ended the connection or the stream.
    pub async fn request(
        &mut self,
        request: Request<()>,
        body: Bytes,
        limit: Duration,
    ) -> Result<Answer, Error> {
        let exchange = async {
            let opened = self.open(request).await;
            let stream = opened.map_err(|error| Error::Unsent(error.to_string()))?;
            let (mut outward, mut inward) = stream.split();
            let sending = async {
                if !body.is_empty() {
                    outward.send_data(body).await?;
                }
                outward.finish().await
            };
            let receiving = async {
                let response = inward.recv_response().await?;
                let mut body = BytesMut::new();
                while let Some(data) = inward.recv_data().await? {
                    body.extend_from_slice(data.chunk());
                    if body.len() > MAX_ANSWER_BYTES {
                        break;
                    }
                }
                Ok((response, body))
            };
            // An early answer stops the sending. If sending fails, there may still be an answer.
            tokio::pin!(receiving);
            let received: Result<_, h3::error::StreamError> = tokio::select! {
                received = &mut receiving => received,
                _ = sending => receiving.await,
            };
            received.map_err(|error| self.termination_error(&error.to_string()))
        };
        let (response, body) = timeout(limit, exchange)
            .await
            .map_err(|_| Error::Timeout)??;
        check_length(response.headers(), body.len())?;
        let answer = Answer::new(
            response.status().as_u16(),
            response.headers(),
            body.freeze(),
        );
        self.ticket.clone_from(&answer.ticket);
        Ok(answer)
    }

    /// Opens a feed, which keeps the connection open.
    ///
    /// # Errors
    ///
    /// [`Error::Timeout`] after `limit`, [`Error::Status`], or the error that ended the connection
    /// or the stream.
    pub async fn open_feed(mut self, path: &str, limit: Duration) -> Result<Feed, Error> {
        let opening = async {
            let mut stream = self.open(request("GET", path)?).await?;
            stream
                .finish()
                .await
                .map_err(|error| self.termination_error(&error.to_string()))?;
            let response: Response<()> = stream
                .recv_response()
                .await
                .map_err(|error| self.termination_error(&error.to_string()))?;
            Ok((response, stream))
        };
        let (response, stream) = timeout(limit, opening)
            .await
            .map_err(|_| Error::Timeout)??;
        if response.status() != StatusCode::OK {
            return Err(Error::Status {
                status: response.status().as_u16(),
                body: String::new(),
            });
        }
        Ok(Feed::new(self, stream))
    }

    /// Reports the close or loss of the connection if it ended, otherwise a stream error with the
    /// text `stream_error`.
    pub fn termination_error(&self, stream_error: &str) -> Error {
        match self.quic.close_reason() {
            Some(quinn::ConnectionError::ApplicationClosed(close)) => Error::Closed {
                code: close.error_code.into_inner(),
                reason: String::from_utf8_lossy(&close.reason).into_owned(),
            },
            Some(error) => Error::Lost(error.to_string()),
            None => Error::Stream(stream_error.to_owned()),
        }
    }

    async fn open(&mut self, request: Request<()>) -> Result<Stream, Error> {
        let opened = self.requests.0.send_request(request).await;
        opened.map_err(|error| self.termination_error(&error.to_string()))
    }
}

/// A request without a body.
pub(super) fn request(method: &str, path: &str) -> Result<Request<()>, Error> {
    Request::builder()
        .method(method)
        .uri(format!("https://{AUTHORITY}{path}"))
        .body(())
        .map_err(|error| Error::InvalidAnswer(error.to_string()))
}

/// Error for an answer that is not a success.
fn status_error(answer: &Answer) -> Error {
    Error::Status {
        status: answer.status,
        body: String::from_utf8_lossy(&answer.body).into_owned(),
    }
}

/// Checks the length of a body against its Content-Length header.
fn check_length(headers: &HeaderMap, got: usize) -> Result<(), Error> {
    let declared = headers.get(hyper::header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok()?.parse().ok());
    let got = got as u64;
    match declared {
        Some(expected) if expected != got => Err(Error::Length { expected, got }),
        _ => Ok(()),
    }
}
