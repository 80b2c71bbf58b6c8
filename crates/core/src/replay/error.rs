//! Why a trace could not be replayed.

use thiserror::Error as ThisError;

/// A fault of the trace itself.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// A line is neither an event nor a stated outcome.
    #[error("line {line}: {reason}")]
    Line {
        /// Number of the line, from 1.
        line: usize,
        /// What is wrong with it.
        reason: String,
    },
    /// An input came before the settings of its process.
    #[error("process {0} has inputs before its settings")]
    Unknown(String),
    /// An input could not be applied.
    #[error("process {process}: the input at {at_ns} ns cannot be applied")]
    Input {
        /// The process.
        process: String,
        /// Time of the event.
        at_ns: u64,
    },
    /// The trace has no inputs.
    #[error("the trace has no inputs to replay")]
    Empty,
}
