//! Bounds the new flows of a cold upstream in any sliding second.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// The window that the limit holds for, and a margin for the time between the decision and the
/// packet's arrival at the upstream.
pub const WINDOW: Duration = Duration::from_millis(1_050);

/// Counts new flows in a sliding window.
#[derive(Debug, Default)]
pub struct Gate {
    admitted: VecDeque<Instant>,
}

impl Gate {
    /// New flows that may still be admitted at `now` under `limit` a window.
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
    /// use sassafrasmast_core::flow::Gate;
    /// let now = Instant::now();
    /// let mut gate = Gate::default();
    /// gate.admit(now);
    /// assert_eq!(gate.headroom(now, 3), 2);
    /// ```
    pub fn admit(&mut self, now: Instant) {
        self.admitted.push_back(now);
    }
}
