//! Result of submitting a booking or a manifest.

use std::time::Duration;

use super::Answer;

/// What a caller finally knows about whether its request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// The request ran and its complete answer is known.
    Ran,
    /// The request did not run and will not.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Result of submitting a booking or a manifest, over all attempts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// What the caller knows after the last attempt.
    pub final_outcome: FinalOutcome,
    /// The last answer, if there was one.
    pub answer: Option<Answer>,
    /// Number of attempts on an open connection, including those that were not sent.
    pub attempts: u32,
    /// Time until the final outcome.
    pub elapsed: Duration,
    /// Errors of all attempts, oldest first.
    pub errors: Vec<String>,
}

impl Submission {
    /// Whether the last answer is a success.
    pub fn is_success(&self) -> bool {
        self.answer.as_ref().is_some_and(Answer::is_success)
    }
}
