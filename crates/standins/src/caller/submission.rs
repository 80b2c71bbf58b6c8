//! What became of a booking or a manifest.

use std::time::Duration;

use super::Answer;

/// What a caller knows about its request in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// It ran and this is its whole answer.
    Ran,
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What became of a booking or a manifest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Submission {
    /// What the caller knows in the end.
    pub final_outcome: FinalOutcome,
    /// The last answer, if there was one.
    pub answer: Option<Answer>,
    /// Times the request was sent.
    pub attempts: u32,
    /// Time until the end.
    pub elapsed: Duration,
    /// What went wrong on the way, oldest first.
    pub errors: Vec<String>,
}

impl Submission {
    /// Whether the last answer tells of success.
    pub fn is_success(&self) -> bool {
        self.answer.as_ref().is_some_and(Answer::is_success)
    }
}
