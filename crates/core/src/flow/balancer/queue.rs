//! Queue of SYNs that wait for an upstream with capacity.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::flow::Key;

/// Maximum time in the queue. A client gives up 1.4 s after its first SYN, and the flow needs two
/// more round trips.
const MAX_WAIT: Duration = Duration::from_millis(1_200);

/// SYNs that a client sends to open a flow, copies 0 to 2: the first one and two retransmissions.
const SYNS_PER_FLOW: usize = 3;

/// A queued SYN.
#[derive(Debug, Clone)]
pub struct QueuedSyn {
    /// The flow.
    pub flow: Key,
    /// The packet.
    pub packet: Box<[u8]>,
    queued_at: Instant,
    /// Which copies of the SYN arrived at this balancer, by number.
    seen_copies: [bool; SYNS_PER_FLOW],
}

impl QueuedSyn {
    /// Records a copy of the SYN.
    fn record_copy(&mut self, copy: u32) {
        let copy = usize::try_from(copy).unwrap_or(SYNS_PER_FLOW);
        if let Some(seen) = self.seen_copies.get_mut(copy) {
            *seen = true;
        }
    }

    /// Whether all copies of the SYN arrived here, so that no other balancer can have opened the
    /// flow.
    pub fn has_all_copies(&self) -> bool {
        self.seen_copies.iter().all(|seen| *seen)
    }

    /// Whether the maximum time in the queue has passed.
    pub fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.queued_at) >= MAX_WAIT
    }
}

/// Queued SYNs in the order of their arrival.
#[derive(Debug, Default)]
pub struct Queue {
    entries: VecDeque<QueuedSyn>,
}

impl Queue {
    /// Records a copy of a queued SYN. Returns whether the flow's SYN is queued.
    pub fn record_copy(&mut self, flow: &Key, copy: u32) -> bool {
        let queued = self.entries.iter_mut().find(|entry| entry.flow == *flow);
        let Some(entry) = queued else {
            return false;
        };
        entry.record_copy(copy);
        true
    }

    /// Number of queued SYNs.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Queues a SYN, which is copy number `copy`.
    pub fn push(&mut self, now: Instant, flow: Key, copy: u32, packet: &[u8]) {
        let mut entry = QueuedSyn {
            flow,
            packet: packet.into(),
            queued_at: now,
            seen_copies: [false; SYNS_PER_FLOW],
        };
        entry.record_copy(copy);
        self.entries.push_back(entry);
    }

    /// Empties the queue and returns its content.
    pub fn take_all(&mut self) -> VecDeque<QueuedSyn> {
        std::mem::take(&mut self.entries)
    }

    /// Puts back a SYN that still waits.
    pub fn put_back(&mut self, entry: QueuedSyn) {
        self.entries.push_back(entry);
    }
}
