//! Results of started requests.

use std::{sync::Arc, time::Duration};

use super::StoredAnswer;

/// How a started request ended. Reported once for each.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finish {
    /// The upstream's answer arrived completely.
    Whole {
        /// The answer, if it is small enough to store. Only needed for requests with a key.
        answer: Option<Arc<StoredAnswer>>,
        /// Time from the hand-over to the end of the answer; for feeds, to the head of the answer.
        latency: Duration,
        /// Whether the status was 500 or above.
        failed: bool,
    },
    /// The connection broke after part of the request was sent; the request may have run.
    Cut,
    /// The upstream answered that it refused the request without running it.
    Refused,
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// Nothing was sent for a reason other than the upstream, such as a body that can't be sent
    /// again.
    Unsent,
    /// The upstream did not answer before the deadline; the request may have run.
    Timeout,
}
