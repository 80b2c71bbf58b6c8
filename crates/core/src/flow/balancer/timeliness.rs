//! What a client can still gain from the opening of its flow.

use std::time::Duration;

use crate::flow::intent::Route;

/// Time after its first SYN at which a client without a SYN-ACK gives up the attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Time that a client needs of its limit when its SYN is placed: a few round trips and scheduling
/// delays, and a short request. A SYN that is younger never counts as expired, whatever the limit.
const MIN_OPENING_TIME: Duration = Duration::from_millis(50);

/// A SYN that has waited for the latency objective divided by this is late: the rest of the
/// objective is about the duration of a request at a busy upstream.
const LATE_DIVISOR: u32 = 2;

/// A SYN that has waited for the client's time limit divided by this is overdue: the rest is enough
/// for a new attempt, which goes first at all balancers.
const OVERDUE_DIVISOR: u32 = 2;

/// What a client can still gain from the opening of its flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timeliness {
    /// The request can meet its latency objective.
    OnTime,
    /// The request can be answered within the client's time limit.
    Late,
    /// As [`Self::Late`], but a new attempt of the client would be answered sooner.
    Overdue,
    /// The client gives up before an answer can arrive.
    Expired,
}

impl Timeliness {
    /// Timeliness of a SYN whose client sent the first copy `age` ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sassafrasmast_core::flow::{balancer::Timeliness, intent::Route};
    /// let route = Route {
    ///     timeout: Some(Duration::from_millis(1_000)),
    ///     latency_objective: Some(Duration::from_millis(150)),
    ///     ..Route::default()
    /// };
    /// let after = |millis| Timeliness::new(Duration::from_millis(millis), Some(&route));
    /// assert_eq!(after(0), Timeliness::OnTime);
    /// assert_eq!(after(400), Timeliness::Late);
    /// assert_eq!(after(600), Timeliness::Overdue);
    /// assert_eq!(after(980), Timeliness::Expired);
    /// ```
    pub fn new(age: Duration, route: Option<&Route>) -> Self {
        let timeout = route.and_then(|route| route.timeout);
        let limit = timeout.map_or(ATTEMPT_TIMEOUT, |timeout| timeout.min(ATTEMPT_TIMEOUT));
        let objective = route.and_then(|route| route.latency_objective);
        let expiry = limit.saturating_sub(MIN_OPENING_TIME).max(MIN_OPENING_TIME);
        if age >= expiry {
            Self::Expired
        } else if timeout.is_some_and(|timeout| age >= timeout / OVERDUE_DIVISOR) {
            Self::Overdue
        } else if objective.is_some_and(|objective| age >= objective / LATE_DIVISOR) {
            Self::Late
        } else {
            Self::OnTime
        }
    }
}
