//! Errors of a caller.

use thiserror::Error as ThisError;

/// Reason why a caller has no complete or valid answer.
#[derive(Debug, Clone, PartialEq, Eq, ThisError)]
pub enum Error {
    /// No connection could be opened.
    #[error("cannot connect: {0}")]
    Connect(String),
    /// The connection accepted no further request; no part of the request was sent.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The peer closed the connection with a code and a reason.
    #[error("closed with code {code}: {reason}")]
    Closed {
        /// Application error code of the close.
        code: u64,
        /// Reason text.
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
    /// The length of the answer differs from its Content-Length.
    #[error("answer of {got} bytes instead of {expected}")]
    Length {
        /// Content-Length of the answer.
        expected: u64,
        /// Bytes received.
        got: u64,
    },
    /// A line of a feed is missing, duplicated or from another upstream.
    #[error("feed line {got} instead of {expected}")]
    UnexpectedLine {
        /// Number of the expected line.
        expected: u64,
        /// Number of the line received.
        got: u64,
    },
    /// The status of the answer is not a success.
    #[error("status {status}: {body}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Body.
        body: String,
    },
    /// The answer does not parse or belongs to another request, or the request cannot be built.
    #[error("wrong answer: {0}")]
    InvalidAnswer(String),
}
