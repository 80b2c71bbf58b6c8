//! The answer of a request on its way to the caller.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};
use sassafrasmast_core::error::{self, Kind, Outcome};

use super::Outflow;

/// Header that carries a fresh ticket.
pub const TICKET: &str = "sassafrasmast-ticket";

/// Status, headers, outcome and body.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the upstream.
    pub headers: HeaderMap,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Seconds after which to come back.
    pub retry_after: Option<u64>,
    /// The body.
    pub content: Content,
}

/// The body of an answer.
#[derive(Debug)]
pub enum Content {
    /// It is here.
    Whole(Bytes),
    /// It is still arriving.
    Stream(Box<Outflow>),
}

impl Answer {
    /// The answer that the table gives for `kind`.
    pub fn refusal(kind: Kind) -> Self {
        Self::error(kind, kind.answer().outcome)
    }

    /// The answer for `kind` with an outcome that differs from the table's.
    pub fn error(kind: Kind, outcome: Outcome) -> Self {
        let error::Answer {
            status,
            retry_after,
            ..
        } = kind.answer();
        Self {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            headers: HeaderMap::new(),
            outcome,
            retry_after,
            content: Content::Whole(Bytes::from(format!("{kind}\n"))),
        }
    }

    /// The head as sent to the caller.
    pub fn head(&self, ticket: Option<&str>) -> Response<()> {
        let mut response = Response::new(());
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        let headers = response.headers_mut();
        headers.insert(
            Outcome::HEADER,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if let Some(seconds) = self.retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if let Some(value) = ticket.and_then(|ticket| HeaderValue::from_str(ticket).ok()) {
            headers.insert(TICKET, value);
        }
        response
    }
}
