//! Errors of the operators' API.

use std::net::SocketAddr;

use dropshot::{ErrorStatusCode, HttpError, HttpResponseError};
use sassafrasmast_core::config::{self, Outcome};
use sassafrasmast_wire::ConfigVersion;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use thiserror::Error as ThisError;

/// Error of a request; its JSON form is the body of the answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema, ThisError)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum Error {
    /// The changes break a rule of the configuration.
    #[error("{reason}")]
    Refused {
        /// The broken rule.
        refusal: config::Error,
        /// The rule in words.
        reason: String,
    },
    /// Another plan was confirmed first; this one is not and will not be in force.
    #[error("the plan was made for version {base}, but version {current} is in force: plan anew")]
    Conflict {
        /// Version the plan was made for.
        base: ConfigVersion,
        /// Version in force.
        current: ConfigVersion,
    },
    /// The plan's version is so old that its outcome is no longer recorded.
    #[error(
        "the plan was made for version {base}, long before version {current}: whether it was \
         confirmed is no longer known"
    )]
    Forgotten {
        /// Version the plan was made for.
        base: ConfigVersion,
        /// Version in force.
        current: ConfigVersion,
    },
    /// The store holds a lower version than the one in force; nothing was confirmed.
    #[error("the store holds version {stored}, but version {known} is in force: try again soon")]
    StoreBehind {
        /// Version the store holds.
        stored: ConfigVersion,
        /// Version in force.
        known: ConfigVersion,
    },
    /// The plan was changed after it was made.
    #[error("the plan is not the one that its digest names: plan anew")]
    Altered,
    /// The store does not answer; this confirm wrote nothing.
    #[error("the store does not answer; this confirm wrote nothing")]
    StoreDown,
    /// The store stopped answering while the plan was being confirmed.
    #[error(
        "the store stopped answering: the plan may or may not be confirmed; confirm again with \
         the same operation to learn which"
    )]
    Unsettled,
    /// The operation id is empty, too long or has other characters than letters, digits, `-` and
    /// `_`.
    #[error("an operation id has 1 to 64 letters, digits, '-' or '_'")]
    BadOperation,
    /// This balancer has no configuration yet.
    #[error("this balancer has no configuration yet")]
    NotReady,
    /// The address belongs to no process of the fleet.
    #[error("no process of the fleet listens on {address}")]
    UnknownProcess {
        /// The given address.
        address: SocketAddr,
    },
    /// Another process did not answer, or its reply was not usable.
    #[error("{address} did not answer: {reason}")]
    Unreachable {
        /// Its address.
        address: SocketAddr,
        /// Why.
        reason: String,
    },
    /// The request is malformed, or this process failed to handle it.
    #[error("{message}")]
    Http {
        /// What was wrong.
        message: String,
        /// HTTP status.
        status: u16,
    },
}

impl Error {
    /// HTTP status of the answer.
    ///
    /// ```
    /// use sassafrasmastd::api::Error;
    /// assert_eq!(Error::Conflict { base: 1, current: 2 }.status(), 409);
    /// ```
    pub fn status(&self) -> u16 {
        match self {
            Self::Refused { .. } => 422,
            Self::Conflict { .. } | Self::Forgotten { .. } => 409,
            Self::Altered | Self::BadOperation => 400,
            Self::StoreBehind { .. } | Self::StoreDown | Self::NotReady => 503,
            Self::Unsettled => 504,
            Self::UnknownProcess { .. } => 404,
            Self::Unreachable { .. } => 502,
            Self::Http { status, .. } => *status,
        }
    }

    /// The error of a confirm with this outcome; `None` if it succeeded.
    pub(super) fn from_outcome(outcome: &Outcome) -> Option<Self> {
        Some(match outcome {
            Outcome::Confirmed { .. } => return None,
            &Outcome::Conflict { base, current } => Self::Conflict { base, current },
            &Outcome::Forgotten { base, current } => Self::Forgotten { base, current },
            &Outcome::StoreBehind { stored, known } => Self::StoreBehind { stored, known },
            Outcome::Altered => Self::Altered,
            Outcome::Refused(refusal) => refusal.clone().into(),
            Outcome::NotConfirmed => Self::StoreDown,
            Outcome::Unsettled => Self::Unsettled,
        })
    }
}

impl From<config::Error> for Error {
    fn from(refusal: config::Error) -> Self {
        let reason = refusal.to_string();
        Self::Refused { refusal, reason }
    }
}

impl From<HttpError> for Error {
    fn from(error: HttpError) -> Self {
        Self::Http {
            message: error.external_message,
            status: error.status_code.as_u16(),
        }
    }
}

impl HttpResponseError for Error {
    fn status_code(&self) -> ErrorStatusCode {
        ErrorStatusCode::from_u16(self.status()).unwrap_or(ErrorStatusCode::INTERNAL_SERVER_ERROR)
    }
}
