//! Rate limit per process for `Hello` frames and configuration fetches.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use sassafrasmast_wire::Address;

/// Minimum time between two operations for the same process.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of peers tracked at once. While all entries are recent, new peers are refused.
const MAX_PROCESSES: usize = 8_192;

/// Allows one operation per process and second.
#[derive(Debug, Default)]
pub(super) struct Throttle {
    last_allowed: HashMap<Address, Instant>,
}

impl Throttle {
    /// Whether the operation is allowed for `process` now; if so, it is recorded.
    pub(super) fn allow(&mut self, now: Instant, process: Address) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < MIN_INTERVAL;
        if self.last_allowed.get(&process).is_some_and(recent) {
            return false;
        }
        if self.last_allowed.len() >= MAX_PROCESSES {
            self.last_allowed.retain(|_, at| recent(at));
        }
        let room = self.last_allowed.len() < MAX_PROCESSES;
        if room {
            self.last_allowed.insert(process, now);
        }
        room
    }
}
