//! Rate limit per peer for `Hello` frames and configuration fetches.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use sassafrasmast_wire::Address;

/// Minimum time between two operations for the same peer.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of peers tracked at once. While all entries are recent, new peers are refused.
const MAX_PEERS: usize = 8_192;

/// Allows one operation per peer and second.
#[derive(Debug, Default)]
pub(super) struct Throttle {
    last_allowed: HashMap<Address, Instant>,
}

impl Throttle {
    /// Whether the operation is allowed for `peer` now; if so, it is recorded.
    pub(super) fn allow(&mut self, now: Instant, peer: Address) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < MIN_INTERVAL;
        if self.last_allowed.get(&peer).is_some_and(recent) {
            return false;
        }
        if self.last_allowed.len() >= MAX_PEERS {
            self.last_allowed.retain(|_, at| recent(at));
        }
        let room = self.last_allowed.len() < MAX_PEERS;
        if room {
            self.last_allowed.insert(peer, now);
        }
        room
    }
}
