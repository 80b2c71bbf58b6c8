//! Errors in traces.

use thiserror::Error as ThisError;

/// Why a trace cannot be parsed or replayed.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// A line is neither an event nor an expectation.
    #[error("line {line}: {reason}")]
    InvalidLine {
        /// Number of the line, from 1.
        line: usize,
        /// Error of the JSON parser.
        reason: String,
    },
    /// An input precedes the settings of its process.
    #[error("process {0} has inputs before its settings")]
    MissingSettings(String),
    /// An input could not be applied.
    #[error("process {process}: the input at {at_ns} ns cannot be applied")]
    InvalidInput {
        /// The process.
        process: String,
        /// Time of the event.
        at_ns: u64,
    },
    /// The trace has neither settings nor inputs.
    #[error("the trace has no inputs to replay")]
    NoInputs,
}
