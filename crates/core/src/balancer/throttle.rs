//! When a peer was last told our config version.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use sassafrasmast_wire::Address;

/// Least time between two greetings of one peer.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Throttle remembered at once.
const MAX_PEERS: usize = 8_192;

/// Bounds the greetings of each peer.
#[derive(Debug, Default)]
pub(super) struct Throttle {
    last_allowed: HashMap<Address, Instant>,
}

impl Throttle {
    /// Whether `peer` may be last_allowed now; if so it counts as last_allowed.
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
