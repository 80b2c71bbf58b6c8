//! What occupies the upstream.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::timeline::RequestId;

use super::Weight;

/// Requests that hold a slot and feeds that hold a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Slots {
    used: BTreeMap<RequestId, (Weight, Instant)>,
    feeds: BTreeSet<RequestId>,
}

impl Slots {
    /// Takes a slot.
    pub fn take(&mut self, id: RequestId, weight: Weight, now: Instant) {
        self.used.insert(id, (weight, now));
    }

    /// Gives back a slot.
    pub fn free(&mut self, id: RequestId) {
        self.used.remove(&id);
    }

    /// Whether a request holds a slot.
    pub fn holds(&self, id: RequestId) -> bool {
        self.used.contains_key(&id)
    }

    /// When a request took its slot.
    pub fn since(&self, id: RequestId) -> Option<Instant> {
        self.used.get(&id).map(|(_, since)| *since)
    }

    /// Slots in use.
    pub fn used(&self) -> u16 {
        u16::try_from(self.used.len()).unwrap_or(u16::MAX)
    }

    /// Slots that heavy requests use.
    pub fn heavy(&self) -> usize {
        let weights = self.used.values();
        weights
            .filter(|(weight, _)| *weight == Weight::Heavy)
            .count()
    }

    /// Service time that the running requests still need, by `service`.
    pub fn remaining(&self, now: Instant, service: impl Fn(Weight) -> Duration) -> Duration {
        let used = self.used.values();
        used.map(|(weight, since)| {
            service(*weight).saturating_sub(now.saturating_duration_since(*since))
        })
        .sum()
    }

    /// Open feeds, those being opened included.
    pub fn feeds(&self) -> usize {
        self.feeds.len()
    }

    /// A feed takes a connection.
    pub fn open(&mut self, id: RequestId) {
        self.feeds.insert(id);
    }

    /// A feed gives back its connection.
    pub fn close(&mut self, id: RequestId) {
        self.feeds.remove(&id);
    }
}
