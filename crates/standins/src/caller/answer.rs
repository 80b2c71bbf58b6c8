//! A complete answer.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use sassafrasmast_core::error::Outcome;

/// Header that carries a new ticket.
pub(super) const TICKET_HEADER: &str = "sassafrasmast-ticket";

/// A complete answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Whether the request ran, if the answer has the outcome header.
    pub outcome: Option<Outcome>,
    /// A new ticket for the next request.
    pub ticket: Option<String>,
    /// Time to wait before the next attempt.
    pub retry_after: Option<Duration>,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Builds an answer from its parts.
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

    /// Whether the status is a success (2xx).
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}
