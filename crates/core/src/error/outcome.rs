//! What happened to a request, as told to its caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran. Every final answer carries it in the header [`Outcome::HEADER`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream ran the request and the answer is whole.
    Ran,
    /// The upstream did not and will never run this request.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Name of the header that carries the outcome.
    pub const HEADER: &'static str = "sassafrasmast-outcome";

    /// Text of the header's value.
    ///
    /// ```
    /// use sassafrasmast_core::error::Outcome;
    /// assert_eq!(Outcome::NotRun.as_str(), "not-run");
    /// ```
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
