//! A whole answer.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use sassafrasmast_core::error::Outcome;

/// Header that carries a fresh ticket.
pub(super) const TICKET_HEADER: &str = "sassafrasmast-ticket";

/// A whole answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran, if the answer says it.
    pub outcome: Option<Outcome>,
    /// A fresh ticket for the next request.
    pub ticket: Option<String>,
    /// When to come back.
    pub retry_after: Option<Duration>,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// An answer from its parts.
    pub fn new(status: u16, headers: &HeaderMap, body: Bytes) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let outcomes = [Outcome::Ran, Outcome::NotRun, Outcome::Unknown];
        let outcome = text(Outcome::HEADER).and_then(|text| {
            outcomes
                .into_iter()
                .find(|outcome| outcome.as_str() == text)
        });
        Self {
            status,
            outcome,
            ticket: text(TICKET_HEADER).map(str::to_owned),
            retry_after: text("retry-after")
                .and_then(|text| text.parse().ok())
                .map(Duration::from_secs),
            body,
        }
    }

    /// Whether the status tells of success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}
