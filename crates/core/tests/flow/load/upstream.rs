//! An upstream with slots and a queue.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

#[derive(Debug, Clone)]
pub struct Upstream {
    /// Number of the upstream's start.
    pub start: u64,
    pub is_down: bool,
    pub cold_until: Duration,
    /// Factor of the time that requests take.
    pub slowdown: f64,
    pub running: usize,
    pub waiting: VecDeque<u32>,
    /// Requests that have arrived on each open flow.
    pub flows: HashMap<u32, u32>,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            start: 0,
            is_down: false,
            cold_until: Duration::ZERO,
            slowdown: 1.0,
            running: 0,
            waiting: VecDeque::new(),
            flows: HashMap::new(),
        }
    }
}

impl Upstream {
    /// Starts the upstream anew; its flows are lost.
    pub fn restart(&mut self, cold_until: Duration) {
        *self = Self {
            start: self.start + 1,
            cold_until,
            ..Self::default()
        };
    }
}
