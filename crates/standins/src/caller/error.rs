//! What can go wrong for a caller.

use thiserror::Error as ThisError;

/// Why a caller got no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// No connection could be opened.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection took no further request; nothing of it was sent.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The other end closed the connection and said why.
    #[error("closed with code {code}: {reason}")]
    Closed {
        /// Application error code of the close.
        code: u64,
        /// Reason in words.
        reason: String,
    },
    /// The connection was lost: reset, idle for too long, or a transport error.
    #[error("connection lost: {0}")]
    Lost(String),
    /// The stream of the request was reset or refused.
    #[error("stream ended: {0}")]
    Stream(String),
    /// No answer in time.
    #[error("timeout")]
    Timeout,
    /// The answer has another length than it says.
    #[error("answer of {got} bytes instead of {expected}")]
    Length {
        /// Bytes that the answer says it has.
        expected: u64,
        /// Bytes that it has.
        got: u64,
    },
    /// A feed's line is missing or doubled.
    #[error("feed line {got} instead of {expected}")]
    Gap {
        /// Number of the next line.
        expected: u64,
        /// Number of the line that came.
        got: u64,
    },
    /// The answer is no success.
    #[error("status {status}: {body}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Body.
        body: String,
    },
    /// The answer does not parse or belongs to another request.
    #[error("wrong answer: {0}")]
    InvalidAnswer(String),
}
