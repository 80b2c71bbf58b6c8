//! A bounded buffer of events.

use std::collections::VecDeque;

use super::Event;

/// Keeps the last events, numbered from 1.
#[derive(Debug)]
pub struct Ring {
    events: VecDeque<Event>,
    capacity: usize,
    last: u64,
}

impl Ring {
    /// A ring of `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity,
            last: 0,
        }
    }

    /// Appends an event; the oldest one goes when the ring is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
        self.last += 1;
    }

    /// Events numbered higher than `after`, oldest first.
    pub fn after(&self, after: u64) -> Vec<(u64, Event)> {
        let first = self.last - self.events.len() as u64 + 1;
        let numbered = (first..).zip(self.events.iter());
        numbered
            .filter(|(number, _)| *number > after)
            .map(|(n, e)| (n, e.clone()))
            .collect()
    }
}
