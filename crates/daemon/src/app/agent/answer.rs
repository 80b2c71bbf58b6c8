//! Answers on the way to the caller.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use sassafrasmast_core::{
    agent::StoredAnswer,
    error::{self, Kind, Outcome},
};

/// Header that carries a new ticket.
pub const TICKET: HeaderName = HeaderName::from_static("sassafrasmast-ticket");

/// Status, headers, outcome and body. The rest of a body that is still arriving is a
/// [`super::ResponseBody`].
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers from the upstream.
    pub headers: HeaderMap,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Reason for which there is no answer from the upstream.
    pub kind: Option<Kind>,
    /// Seconds after which the caller may try again.
    pub retry_after: Option<u64>,
    /// The body, as far as it has arrived.
    pub body: Bytes,
}

impl Answer {
    /// An answer from the upstream.
    pub fn ran(status: StatusCode, headers: HeaderMap, body: Bytes) -> Self {
        Self {
            status,
            headers,
            outcome: Outcome::Ran,
            kind: None,
            retry_after: None,
            body,
        }
    }

    /// The error answer for `kind` with the outcome of [`Kind::answer`].
    pub fn refusal(kind: Kind) -> Self {
        Self::error(kind, kind.answer().outcome)
    }

    /// The error answer for `kind` with an outcome that may differ from that of [`Kind::answer`].
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
            kind: Some(kind),
            retry_after,
            body: Bytes::from(format!("{kind}\n")),
        }
    }

    /// The stored answer of an earlier run.
    pub fn from_stored(stored: &StoredAnswer) -> Self {
        let mut headers = HeaderMap::new();
        for (name, value) in &stored.headers {
            let name = HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
                headers.append(name, value);
            }
        }
        let status = StatusCode::from_u16(stored.status);
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self::ran(status, headers, Bytes::copy_from_slice(&stored.body))
    }

    /// Copies a complete answer, to be stored for repeats of its key.
    pub fn to_stored(&self) -> Arc<StoredAnswer> {
        let pairs = self.headers.iter();
        let owned = pairs.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
        Arc::new(StoredAnswer {
            status: self.status.as_u16(),
            headers: owned.collect(),
            body: self.body.to_vec(),
        })
    }

    /// The head to send to the caller.
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
