//! Queue of SYNs that wait for an upstream with capacity.

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use crate::flow::{Key, Priority, ServiceName};

/// One of so many places goes to the class below the most critical one, so that none starves.
const PLACES_FOR_LOWER: u32 = 20;

/// A queued SYN.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedSyn {
    /// The flow.
    pub flow: Key,
    /// The packet.
    pub packet: Box<[u8]>,
    /// Priority of its route.
    pub priority: Priority,
    /// When it becomes late.
    pub late_at: Instant,
    /// When it is to be checked whether it still may be placed.
    pub check_at: Instant,
}

/// A time, and a number that tells SYNs of the same time apart.
type Time = (Instant, u64);

/// Place of a SYN in the queue: its priority, and when it becomes late.
type Place = (Priority, Time);

/// Queued SYNs by service.
///
/// Load answered: all clients return at once after an outage, or more arrive than upstreams bear.
/// In the order of arrival each request would be late, and many clients would be about to give up
/// when they are served. So SYNs that can still meet their objective go first, and of the others
/// the latest one, since its client is the least likely to have given up.
#[derive(Debug, Default)]
pub struct Queue {
    services: HashMap<ServiceName, BTreeMap<Place, QueuedSyn>>,
    /// Where the SYNs are, by the time of their next check.
    checks: BTreeMap<Time, (ServiceName, Place)>,
    pushed: u64,
    /// SYNs of the most critical class taken out since one of a lower class was.
    since_lower: u32,
}

impl Queue {
    /// Number of queued SYNs.
    pub fn len(&self) -> usize {
        self.checks.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.checks.is_empty()
    }

    /// Number of queued SYNs for a service.
    pub fn waiting_for(&self, service: &str) -> usize {
        self.services.get(service).map_or(0, BTreeMap::len)
    }

    /// Number of queued SYNs for a service by priority.
    pub fn waiting_by_priority(&self, service: &str) -> Vec<(Priority, u16)> {
        let mut waiting: BTreeMap<Priority, u16> = BTreeMap::new();
        for (priority, _) in self
            .services
            .get(service)
            .into_iter()
            .flat_map(BTreeMap::keys)
        {
            let count = waiting.entry(*priority).or_default();
            *count = count.saturating_add(1);
        }
        waiting.into_iter().collect()
    }

    /// Services with queued SYNs.
    pub fn services(&self) -> Vec<ServiceName> {
        self.services.keys().cloned().collect()
    }

    /// Queues a SYN for a service.
    pub fn push(&mut self, service: ServiceName, syn: QueuedSyn) {
        self.pushed += 1;
        let place = (syn.priority, (syn.late_at, self.pushed));
        let check = (syn.check_at, self.pushed);
        self.checks.insert(check, (service.clone(), place));
        self.services.entry(service).or_default().insert(place, syn);
    }

    /// Takes out the SYN for a service that is to be placed next.
    pub fn pop(&mut self, now: Instant, service: &str) -> Option<QueuedSyn> {
        let waiting = self.services.get(service)?;
        let (critical, _) = *waiting.first_key_value()?.0;
        self.since_lower += 1;
        let mut lower = waiting.keys().filter(|place| place.0 > critical);
        let lower = lower
            .next()
            .filter(|_| self.since_lower >= PLACES_FOR_LOWER);
        let priority = lower.map_or(critical, |place| place.0);
        if priority > critical {
            self.since_lower = 0;
        }
        let mut on_time = waiting.range((priority, (now, 0))..);
        let mut of_class = waiting.keys().rev().skip_while(|place| place.0 != priority);
        let place = match on_time.next().filter(|(place, _)| place.0 == priority) {
            Some((place, _)) => *place,
            None => *of_class.next()?,
        };
        self.remove(service, place)
    }

    /// Takes out a SYN that is to be checked by now.
    pub fn pop_due(&mut self, now: Instant) -> Option<QueuedSyn> {
        let due = self.checks.first_entry()?;
        if due.key().0 > now {
            return None;
        }
        let (service, place) = due.get().clone();
        self.remove(&service, place)
    }

    fn remove(&mut self, service: &str, place: Place) -> Option<QueuedSyn> {
        let waiting = self.services.get_mut(service)?;
        let syn = waiting.remove(&place)?;
        self.checks.remove(&(syn.check_at, place.1.1));
        if waiting.is_empty() {
            self.services.remove(service);
        }
        Some(syn)
    }
}
