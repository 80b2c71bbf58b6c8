//! Sliding-window rate limiter for new flows of a cold upstream.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Length of the window: the second that the limit applies to, and a margin for the time between
/// the decision and the packet's arrival at the upstream.
pub const WINDOW: Duration = Duration::from_millis(1_050);

/// Counts admitted flows in a sliding window of [`WINDOW`].
#[derive(Debug, Default)]
pub struct Limiter {
    admitted: VecDeque<Instant>,
}

impl Limiter {
    /// Number of new flows that may still be admitted at `now` under `limit` per window.
    pub fn headroom(&mut self, now: Instant, limit: usize) -> usize {
        while self
            .admitted
            .front()
            .is_some_and(|&at| now.saturating_duration_since(at) >= WINDOW)
        {
            self.admitted.pop_front();
        }
        limit.saturating_sub(self.admitted.len())
    }

    /// Counts one admitted flow.
    ///
    /// ```
    /// use std::time::Instant;
    /// use sassafrasmast_core::flow::Limiter;
    /// let now = Instant::now();
    /// let mut limiter = Limiter::default();
    /// limiter.admit(now);
    /// assert_eq!(limiter.headroom(now, 3), 2);
    /// ```
    pub fn admit(&mut self, now: Instant) {
        self.admitted.push_back(now);
    }
}
