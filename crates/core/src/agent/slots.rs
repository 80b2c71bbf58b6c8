//! Slots and connections in use at the upstream.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::timeline::RequestId;

use super::SizeClass;

/// Requests that hold a slot and feeds that hold a connection.
#[derive(Debug, Clone, Default)]
pub(crate) struct Slots {
    used: BTreeMap<RequestId, (SizeClass, Instant)>,
    feeds: BTreeSet<RequestId>,
}

impl Slots {
    /// Takes a slot for a request; a slot already taken counts from `now`.
    pub fn acquire(&mut self, id: RequestId, size: SizeClass, now: Instant) {
        self.used.insert(id, (size, now));
    }

    /// Releases the slot of a request.
    pub fn release(&mut self, id: RequestId) {
        self.used.remove(&id);
    }

    /// Whether a request holds a slot.
    pub fn holds(&self, id: RequestId) -> bool {
        self.used.contains_key(&id)
    }

    /// When a request took its slot.
    pub fn acquired_at(&self, id: RequestId) -> Option<Instant> {
        self.used.get(&id).map(|(_, since)| *since)
    }

    /// Slots in use.
    pub fn used(&self) -> u16 {
        u16::try_from(self.used.len()).unwrap_or(u16::MAX)
    }

    /// Slots in use by large requests.
    pub fn large(&self) -> usize {
        let used = self.used.values();
        used.filter(|(size, _)| *size == SizeClass::Large).count()
    }

    /// Sum of the service time that the running requests still need, where `service_time` predicts
    /// their totals.
    pub fn remaining_service_time(
        &self,
        now: Instant,
        service_time: impl Fn(SizeClass) -> Duration,
    ) -> Duration {
        let used = self.used.values();
        used.map(|(size, since)| {
            service_time(*size).saturating_sub(now.saturating_duration_since(*since))
        })
        .sum()
    }

    /// Connections that feeds hold, including those of feeds being opened.
    pub fn connections_used(&self) -> usize {
        self.feeds.len()
    }

    /// Takes a connection for a feed.
    pub fn acquire_connection(&mut self, id: RequestId) {
        self.feeds.insert(id);
    }

    /// Releases the connection of a feed.
    pub fn release_connection(&mut self, id: RequestId) {
        self.feeds.remove(&id);
    }
}
