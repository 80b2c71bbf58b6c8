//! What a client can still gain from the opening of its flow.

use std::time::Duration;

use crate::flow::intent::Route;

/// Time after its first SYN at which a client without a SYN-ACK gives up the attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Time that a client needs of its limit when its SYN is placed: a few round trips and scheduling
/// delays, and a short request. A SYN that is younger never counts as expired, whatever the limit.
const MIN_OPENING_TIME: Duration = Duration::from_millis(50);

/// Part of the latency objective left for the request while response times are not known.
const DEFAULT_RESPONSE_DIVISOR: u32 = 2;

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

/// Ages of a SYN at which its [`Timeliness`] changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ages {
    /// From this age on it is late, if its route has a latency objective.
    pub late: Option<Duration>,
    /// From this age on it is overdue, if its route has a time limit.
    pub overdue: Option<Duration>,
    /// From this age on it is expired.
    pub expired: Duration,
    /// From this age of its client's first attempt on it is expired, if its route has a time limit.
    pub timed_out: Option<Duration>,
}

impl Ages {
    /// The ages for SYNs of a route. `response_time` is the average time from the placement of a
    /// SYN until the client has the answer to its first request.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sassafrasmast_core::flow::{balancer::{Ages, Timeliness}, intent::Route};
    /// let route = Route {
    ///     timeout: Some(Duration::from_millis(1_000)),
    ///     latency_objective: Some(Duration::from_millis(150)),
    ///     ..Route::default()
    /// };
    /// let ages = Ages::new(Some(&route), None);
    /// assert_eq!(ages.timeliness(Duration::ZERO), Timeliness::OnTime);
    /// assert_eq!(ages.timeliness(Duration::from_millis(400)), Timeliness::Late);
    /// assert_eq!(ages.timeliness(Duration::from_millis(600)), Timeliness::Overdue);
    /// assert_eq!(ages.timeliness(Duration::from_millis(980)), Timeliness::Expired);
    /// ```
    pub fn new(route: Option<&Route>, response_time: Option<Duration>) -> Self {
        let timeout = route.and_then(|route| route.timeout);
        let objective = route.and_then(|route| route.latency_objective);
        let until_late = |objective: Duration| match response_time {
            Some(time) => objective.saturating_sub(time),
            None => objective / DEFAULT_RESPONSE_DIVISOR,
        };
        let until_placed = |limit: Duration, rest: Duration| {
            limit
                .saturating_sub(rest.max(MIN_OPENING_TIME))
                .max(MIN_OPENING_TIME)
        };
        let attempt = until_placed(ATTEMPT_TIMEOUT, Duration::ZERO);
        let timed_out =
            timeout.map(|timeout| until_placed(timeout, response_time.unwrap_or_default()));
        Self {
            late: objective.map(until_late),
            overdue: timeout.map(|timeout| timeout / OVERDUE_DIVISOR),
            expired: timed_out.map_or(attempt, |timed_out| timed_out.min(attempt)),
            timed_out,
        }
    }

    /// Timeliness of a SYN whose client sent the first copy `age` ago.
    pub fn timeliness(&self, age: Duration) -> Timeliness {
        self.timeliness_of_retry(age, age)
    }

    /// Timeliness of a SYN whose client sent the first copy `age` ago, and that of its first attempt
    /// `request_age` ago.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sassafrasmast_core::flow::{balancer::{Ages, Timeliness}, intent::Route};
    /// let route = Route {
    ///     timeout: Some(Duration::from_millis(4_000)),
    ///     latency_objective: Some(Duration::from_millis(800)),
    ///     ..Route::default()
    /// };
    /// let ages = Ages::new(Some(&route), None);
    /// let retry = |request_age| {
    ///     let request_age = Duration::from_millis(request_age);
    ///     ages.timeliness_of_retry(Duration::from_millis(10), request_age)
    /// };
    /// assert_eq!(retry(10), Timeliness::OnTime);
    /// assert_eq!(retry(3_000), Timeliness::Late);
    /// assert_eq!(retry(3_990), Timeliness::Expired);
    /// ```
    pub fn timeliness_of_retry(&self, age: Duration, request_age: Duration) -> Timeliness {
        let is_reached =
            |limit: Option<Duration>, age: Duration| limit.is_some_and(|limit| age >= limit);
        if age >= self.expired || is_reached(self.timed_out, request_age) {
            Timeliness::Expired
        } else if is_reached(self.overdue, age) {
            Timeliness::Overdue
        } else if is_reached(self.late, request_age) {
            Timeliness::Late
        } else {
            Timeliness::OnTime
        }
    }
}
