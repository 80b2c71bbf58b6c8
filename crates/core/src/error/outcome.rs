//! Outcome of a request, as reported to its caller.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a request ran. Every final answer carries it in the header [`Outcome::HEADER`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream ran the request and its answer is complete.
    Ran,
    /// The upstream did not run this request and never will.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Name of the header that carries the outcome.
    pub const HEADER: &'static str = "sassafrasmast-outcome";

    /// Value of the header.
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
