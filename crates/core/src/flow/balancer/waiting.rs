//! Opening packets that wait for an upstream with room.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::flow::Key;

/// Longest wait. A client gives its attempt up 1.4 s after the first packet, and the flow needs
/// two more round trips.
const LONGEST: Duration = Duration::from_millis(1_200);

/// An opening packet that waits.
#[derive(Debug, Clone)]
pub struct Opening {
    /// The flow.
    pub flow: Key,
    /// The packet.
    pub packet: Box<[u8]>,
    since: Instant,
}

impl Opening {
    /// Whether the wait is over: the client is about to give up.
    pub fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) >= LONGEST
    }
}

/// Opening packets in the order of their arrival.
#[derive(Debug, Default)]
pub struct Waiting {
    openings: VecDeque<Opening>,
}

impl Waiting {
    /// Whether a flow's opening packet waits.
    pub fn contains(&self, flow: &Key) -> bool {
        self.openings.iter().any(|opening| opening.flow == *flow)
    }

    /// Packets that wait.
    pub fn len(&self) -> usize {
        self.openings.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.openings.is_empty()
    }

    /// Takes a packet.
    pub fn push(&mut self, now: Instant, flow: Key, packet: &[u8]) {
        self.openings.push_back(Opening {
            flow,
            packet: packet.into(),
            since: now,
        });
    }

    /// Takes all packets out.
    pub fn take(&mut self) -> VecDeque<Opening> {
        std::mem::take(&mut self.openings)
    }

    /// Puts a packet back that still waits.
    pub fn put_back(&mut self, opening: Opening) {
        self.openings.push_back(opening);
    }
}
