//! When a peer was last told our config version.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use sassafrasmast_wire::Address;

/// Least time between two greetings of one peer.
const GREETING_GAP: Duration = Duration::from_secs(1);

/// Peers remembered at once.
const MAX_PEERS: usize = 8_192;

/// Bounds the greetings of each peer.
#[derive(Debug, Default)]
pub(super) struct Peers {
    greeted: HashMap<Address, Instant>,
}

impl Peers {
    /// Whether `peer` may be greeted now; if so it counts as greeted.
    pub(super) fn greet(&mut self, now: Instant, peer: Address) -> bool {
        let recent = |at: &Instant| now.saturating_duration_since(*at) < GREETING_GAP;
        if self.greeted.get(&peer).is_some_and(recent) {
            return false;
        }
        if self.greeted.len() >= MAX_PEERS {
            self.greeted.retain(|_, at| recent(at));
        }
        let room = self.greeted.len() < MAX_PEERS;
        if room {
            self.greeted.insert(peer, now);
        }
        room
    }
}
