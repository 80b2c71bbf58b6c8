//! Opening packets that wait for an upstream with room.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::flow::Key;

/// Longest wait. A client gives its attempt up 1.4 s after the first packet, and the flow needs
/// two more round trips.
const LONGEST: Duration = Duration::from_millis(1_200);

/// Packets of an attempt to open a flow: the first one and two copies.
const COPIES: usize = 3;

/// An opening packet that waits.
#[derive(Debug, Clone)]
pub struct Opening {
    /// The flow.
    pub flow: Key,
    /// The packet.
    pub packet: Box<[u8]>,
    since: Instant,
    /// Which copies of the packet came here, by number.
    copies: [bool; COPIES],
}

impl Opening {
    /// Notes a copy of the packet.
    fn note_copy(&mut self, copy: u32) {
        let copy = usize::try_from(copy).unwrap_or(COPIES);
        if let Some(seen) = self.copies.get_mut(copy) {
            *seen = true;
        }
    }

    /// Whether the client's whole attempt came through here, so that no other balancer can have
    /// opened the flow.
    pub fn is_whole(&self) -> bool {
        self.copies.iter().all(|seen| *seen)
    }

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
    /// Notes a copy of a packet that waits. Tells whether the packet waits.
    pub fn note_copy(&mut self, flow: &Key, copy: u32) -> bool {
        let waiting = self
            .openings
            .iter_mut()
            .find(|opening| opening.flow == *flow);
        let Some(opening) = waiting else {
            return false;
        };
        opening.note_copy(copy);
        true
    }

    /// Packets that wait.
    pub fn len(&self) -> usize {
        self.openings.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.openings.is_empty()
    }

    /// Takes a packet, which is copy number `copy` of its attempt.
    pub fn push(&mut self, now: Instant, flow: Key, copy: u32, packet: &[u8]) {
        let mut opening = Opening {
            flow,
            packet: packet.into(),
            since: now,
            copies: [false; COPIES],
        };
        opening.note_copy(copy);
        self.openings.push_back(opening);
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
