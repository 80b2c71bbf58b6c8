//! Ring buffer of events.

use std::collections::VecDeque;

use super::Event;

/// Ring buffer of the latest events, numbered from 1.
#[derive(Debug)]
pub struct Ring {
    events: VecDeque<Event>,
    capacity: usize,
    last_number: u64,
}

impl Ring {
    /// An empty ring buffer that keeps the last `capacity` events, at least one.
    pub fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity,
            last_number: 0,
        }
    }

    /// Appends an event and drops the oldest one if the buffer is full.
    pub fn push(&mut self, event: Event) {
        if self.events.len() >= self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
        self.last_number += 1;
    }

    /// Events with a number above `after`, oldest first.
    pub fn after(&self, after: u64) -> Vec<(u64, Event)> {
        let first = self.last_number - self.events.len() as u64 + 1;
        let numbered = (first..).zip(self.events.iter());
        numbered
            .filter(|(number, _)| *number > after)
            .map(|(n, e)| (n, e.clone()))
            .collect()
    }
}
