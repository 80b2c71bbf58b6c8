//! How the handing over of a request to the upstream ended.

use std::{sync::Arc, time::Duration};

use super::StoredAnswer;

/// Reported once for each started request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finish {
    /// The upstream's answer arrived whole.
    Whole {
        /// The answer, if it is small enough to keep. Only needed for requests with a key.
        answer: Option<Arc<StoredAnswer>>,
        /// Time between handing over and the end of the answer (head of the answer for feeds).
        latency: Duration,
        /// Whether the upstream failed inside (status 500 and above).
        failed: bool,
    },
    /// The connection broke after something was sent; the request may have run.
    Cut,
    /// The upstream said that it refused the request and did not run it.
    Refused,
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// Nothing was sent for a reason that lies here, such as a body that can't be sent again.
    Unsent,
    /// The upstream did not answer before the deadline; the request may have run.
    Timeout,
}
