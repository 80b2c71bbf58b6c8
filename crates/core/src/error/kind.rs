//! Error kinds of requests.

use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;

use super::{Answer, Outcome};

/// `Retry-After` seconds for overload and other short-lived conditions.
const SHORT_RETRY_AFTER_S: Option<u64> = Some(1);

/// `Retry-After` seconds for an outage of the store.
const LONG_RETRY_AFTER_S: Option<u64> = Some(5);

/// Why a request is answered with an error. [`Kind::answer`] gives the answer for each kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, ThisError)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// The queue is full, or the expected wait exceeds the deadline.
    #[error("the service is overloaded")]
    Overloaded,
    /// The deadline passed while the request was waiting.
    #[error("the deadline passed before the request was started")]
    DeadlinePassed,
    /// The agent is draining and no peer took the request.
    #[error("the upstream is leaving")]
    Draining,
    /// Operators took the availability zone out of service.
    #[error("the availability zone is out")]
    ZoneOut,
    /// The process has no configuration, or the upstream is not admitted.
    #[error("the service is not ready")]
    NotReady,
    /// The upstream could not be reached; nothing was sent.
    #[error("the upstream cannot be reached")]
    UpstreamUnreachable,
    /// The upstream reported that it refused the request.
    #[error("the upstream refused the request")]
    UpstreamRefused,
    /// The connection to the upstream broke after the request was handed over.
    #[error("the upstream's answer was cut")]
    UpstreamCut,
    /// The upstream did not answer before the deadline.
    #[error("the upstream did not answer in time")]
    UpstreamTimeout,
    /// The ticket has expired and its request has not run.
    #[error("the ticket has expired")]
    TicketExpired,
    /// The ticket expired so long ago that it is no longer known whether its request ran.
    #[error("the ticket is no longer known")]
    TicketForgotten,
    /// The ticket was not issued by this fleet or is for another service.
    #[error("the ticket is not valid")]
    TicketInvalid,
    /// The idempotency key was already used for a different request.
    #[error("the idempotency key belongs to another request")]
    KeyReused,
    /// The agent named in the ticket is gone.
    #[error("the executor of this ticket is gone")]
    HomeGone,
    /// The idempotency key was claimed by another agent and the result is not known here.
    #[error("the idempotency key was claimed elsewhere")]
    ClaimedElsewhere,
    /// The key could not be claimed: the store is down or the write budget is exhausted.
    #[error("the claim cannot be made now")]
    ClaimUnavailable,
    /// The request is malformed.
    #[error("the request is malformed")]
    BadRequest,
    /// The request's body is larger than the service allows.
    #[error("the request body is too large")]
    BodyTooLarge,
    /// The request ran, but its answer was not kept, or is no longer kept, for repetition.
    #[error("the answer of this request is no longer kept")]
    AnswerDropped,
    /// The caller cancelled the request.
    #[error("the caller cancelled the request")]
    Cancelled,
}

impl Kind {
    /// The answer that a caller gets for this kind.
    ///
    /// ```
    /// use sassafrasmast_core::error::{Kind, Outcome};
    /// assert_eq!(Kind::Overloaded.answer().status, 503);
    /// assert_eq!(Kind::HomeGone.answer().outcome, Outcome::Unknown);
    /// ```
    pub fn answer(self) -> Answer {
        let (status, outcome, retry_after) = match self {
            Self::Overloaded | Self::UpstreamRefused => (503, Outcome::NotRun, SHORT_RETRY_AFTER_S),
            Self::DeadlinePassed => (504, Outcome::NotRun, SHORT_RETRY_AFTER_S),
            Self::Draining => (503, Outcome::NotRun, Some(0)),
            Self::ZoneOut | Self::NotReady | Self::UpstreamUnreachable => {
                (503, Outcome::NotRun, SHORT_RETRY_AFTER_S)
            }
            Self::UpstreamCut => (502, Outcome::Unknown, SHORT_RETRY_AFTER_S),
            Self::UpstreamTimeout => (504, Outcome::Unknown, SHORT_RETRY_AFTER_S),
            Self::TicketExpired => (410, Outcome::NotRun, None),
            Self::TicketForgotten => (410, Outcome::Unknown, None),
            Self::TicketInvalid | Self::BadRequest => (400, Outcome::NotRun, None),
            Self::KeyReused => (422, Outcome::NotRun, None),
            Self::HomeGone | Self::ClaimedElsewhere => (409, Outcome::Unknown, None),
            Self::ClaimUnavailable => (503, Outcome::Unknown, LONG_RETRY_AFTER_S),
            Self::BodyTooLarge => (413, Outcome::NotRun, None),
            Self::AnswerDropped => (409, Outcome::Ran, None),
            Self::Cancelled => (499, Outcome::Unknown, None),
        };
        Answer {
            status,
            outcome,
            retry_after,
        }
    }
}
