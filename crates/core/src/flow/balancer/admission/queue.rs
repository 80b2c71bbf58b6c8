//! Queue of SYNs that wait for an upstream with capacity.

use std::{
    collections::{BTreeMap, HashMap},
    net::Ipv4Addr,
    time::Instant,
};

use super::turns::{Turn, Turns};
use crate::flow::{Key, Priority, ServiceName};

/// A queued SYN.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedSyn {
    /// The flow.
    pub flow: Key,
    /// Its class at its service.
    pub class: Priority,
    /// The packet.
    pub packet: Box<[u8]>,
    /// When it becomes late.
    pub late_at: Instant,
    /// When it is to be checked whether it still may be placed.
    pub check_at: Instant,
    /// Its turn among SYNs of other client addresses, if these take turns.
    pub turn: Option<Turn>,
}

/// Place of a SYN in the queue: a time, and a number that tells SYNs of the same time apart.
pub type Place = (Instant, u64);

/// Where a queued SYN is.
#[derive(Debug, Clone)]
struct Location {
    service: ServiceName,
    class: Priority,
    place: Place,
    check: Place,
}

/// Queued SYNs of one class.
///
/// Load answered: all clients return at once after an outage, or more arrive than upstreams bear.
/// In the order of arrival each request would be late, and many clients would be about to give up
/// when they are served. So SYNs that can still meet their objective go first, and of the others
/// the latest one, since its client is the least likely to have given up.
#[derive(Debug, Default)]
struct ClassQueue {
    on_time: BTreeMap<Place, QueuedSyn>,
    late: BTreeMap<Place, QueuedSyn>,
    turns: Turns,
}

impl ClassQueue {
    fn len(&self) -> usize {
        self.on_time.len() + self.late.len()
    }

    fn get(&self, place: &Place) -> Option<&QueuedSyn> {
        self.on_time.get(place).or_else(|| self.late.get(place))
    }

    /// Moves the SYNs that have become late. Each SYN is moved once.
    fn update(&mut self, now: Instant) {
        while let Some(first) = self.on_time.first_entry()
            && first.key().0 < now
        {
            let (place, syn) = first.remove_entry();
            if let Some(turn) = syn.turn {
                self.turns.set_late(turn, place);
            }
            self.late.insert(place, syn);
        }
    }

    /// The place of the SYN that is to be placed next.
    fn next(&mut self, now: Instant) -> Option<Place> {
        self.update(now);
        if let Some(place) = self.turns.first() {
            return Some(place);
        }
        let next = self.on_time.first_key_value();
        Some(*next.or_else(|| self.late.last_key_value())?.0)
    }

    /// The place of the SYN that became late, or will, after all others.
    fn newest(&self) -> Option<Place> {
        let last = self.on_time.last_key_value();
        Some(*last.or_else(|| self.late.last_key_value())?.0)
    }

    /// Number of SYNs that are placed before one that becomes late at `late_at`, which may be past,
    /// if no further ones arrive.
    fn ahead(&mut self, now: Instant, late_at: Instant, turn: Option<Turn>) -> usize {
        self.update(now);
        let (on_time, late) = (self.on_time.len(), self.late.len());
        match (turn, late_at >= now) {
            (Some(turn), true) => self.turns.ahead(turn).min(on_time),
            (Some(turn), false) => self.turns.ahead(turn).max(on_time).min(on_time + late),
            (None, true) => before(&self.on_time, late_at),
            (None, false) => on_time + late - before(&self.late, late_at),
        }
    }
}

/// Number of SYNs that become late before `late_at`, estimated as if the times were evenly spread:
/// counting them would cost as much as there are SYNs.
fn before(syns: &BTreeMap<Place, QueuedSyn>, late_at: Instant) -> usize {
    let (Some((first, _)), Some((last, _))) = (syns.first_key_value(), syns.last_key_value())
    else {
        return 0;
    };
    if late_at >= last.0 {
        return syns.len();
    }
    let span = last.0.saturating_duration_since(first.0).as_secs_f64();
    let part = late_at.saturating_duration_since(first.0).as_secs_f64();
    // The part is 0 if the span is.
    (syns.len() as f64 * part / span.max(f64::MIN_POSITIVE)) as usize
}

/// Queued SYNs of one service by class.
type ServiceQueue = BTreeMap<Priority, ClassQueue>;

/// Places of a service that went to more critical classes since a class got one, by class. Outlives
/// the class's queued SYNs, since a SYN that gets no place is taken out and queued again.
type Passed = BTreeMap<Priority, u32>;

/// Queued SYNs by service and class.
#[derive(Debug, Default)]
pub struct Queue {
    services: HashMap<ServiceName, ServiceQueue>,
    passed: HashMap<ServiceName, Passed>,
    locations: HashMap<Key, Location>,
    /// Which SYN is where in the order of checks.
    checks: BTreeMap<Place, Key>,
    pushed: u64,
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
        let waiting = self.services.get(service);
        waiting.map_or(0, |waiting| waiting.values().map(ClassQueue::len).sum())
    }

    /// Number of queued SYNs for a service by class.
    pub fn waiting_by_class(&self, service: &str) -> impl Iterator<Item = (Priority, usize)> {
        let waiting = self.services.get(service).into_iter().flatten();
        waiting.map(|(&class, syns)| (class, syns.len()))
    }

    /// Whether a SYN of a more critical class is queued for a service.
    pub fn has_more_critical(&self, service: &str, class: Priority) -> bool {
        let waiting = self.services.get(service);
        let first = waiting.and_then(BTreeMap::first_key_value);
        first.is_some_and(|(&first, _)| first < class)
    }

    /// Numbers of SYNs that are placed before one of `class` that becomes late at `late_at`, if no
    /// further ones arrive: those of more critical classes, and those before it in its own.
    pub fn ahead(
        &mut self,
        now: Instant,
        service: &str,
        class: Priority,
        late_at: Instant,
        turn: Option<Turn>,
    ) -> (usize, usize) {
        let Some(waiting) = self.services.get_mut(service) else {
            return (0, 0);
        };
        let more_critical = waiting.range(..class).map(|(_, syns)| syns.len()).sum();
        let own = waiting.get_mut(&class);
        (
            more_critical,
            own.map_or(0, |own| own.ahead(now, late_at, turn)),
        )
    }

    /// Services with queued SYNs.
    pub fn services(&self) -> Vec<ServiceName> {
        self.services.keys().cloned().collect()
    }

    /// Queues a SYN for a service.
    pub fn push(&mut self, service: ServiceName, syn: QueuedSyn) {
        self.pushed += 1;
        let location = Location {
            class: syn.class,
            place: (syn.late_at, self.pushed),
            check: (syn.check_at, self.pushed),
            service: service.clone(),
        };
        self.checks.insert(location.check, syn.flow);
        let waiting = self.services.entry(service).or_default();
        let flow = syn.flow;
        let syns = waiting.entry(syn.class).or_default();
        if let Some(turn) = syn.turn {
            syns.turns.insert(*flow.client.ip(), turn, location.place);
        }
        syns.on_time.insert(location.place, syn);
        if let Some(earlier) = self.locations.insert(flow, location) {
            self.remove_at(&earlier);
        }
    }

    /// Takes out the SYN for a service that is to be placed next: of the most critical class that
    /// waits, or of one that more critical ones have passed `max_passed` times.
    pub fn pop(&mut self, now: Instant, service: &str, max_passed: u32) -> Option<QueuedSyn> {
        let waiting = self.services.get_mut(service)?;
        let most_critical = *waiting.first_key_value()?.0;
        let passed = self.passed.get(service).into_iter().flatten();
        let starved = passed
            .filter(|&(class, &passed)| passed >= max_passed && waiting.contains_key(class))
            .max_by_key(|&(_, passed)| passed)
            .map(|(&class, _)| class);
        let syns = waiting.get_mut(&starved.unwrap_or(most_critical))?;
        let place = syns.next(now)?;
        let flow = syns.get(&place)?.flow;
        self.remove(&flow)
    }

    /// Records that a SYN of `class` got a place, which passed the less critical ones that wait.
    pub fn record_placed(&mut self, service: &str, class: Priority) {
        if let Some(passed) = self.passed.get_mut(service) {
            passed.remove(&class);
        }
        let waiting = self.services.get(service).into_iter().flatten();
        let mut lower = waiting
            .map(|(&other, _)| other)
            .filter(|&other| other > class);
        let Some(first) = lower.next() else {
            return;
        };
        let passed = match self.passed.get_mut(service) {
            Some(passed) => passed,
            None => self.passed.entry(service.into()).or_default(),
        };
        for other in std::iter::once(first).chain(lower) {
            let count = passed.entry(other).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Takes out a SYN that is to be checked by now.
    pub fn pop_due(&mut self, now: Instant) -> Option<QueuedSyn> {
        let (&(check_at, _), &flow) = self.checks.first_key_value()?;
        if check_at > now {
            return None;
        }
        self.remove(&flow)
    }

    /// Takes out the newest SYN of the least critical class of a service, if that is less critical
    /// than `class`.
    pub fn evict(&mut self, service: &str, class: Priority) -> Option<QueuedSyn> {
        let waiting = self.services.get(service)?;
        let (&lowest, syns) = waiting.last_key_value()?;
        if lowest <= class {
            return None;
        }
        let flow = syns.get(&syns.newest()?)?.flow;
        self.remove(&flow)
    }

    /// The turn of a further SYN of a client address in a class.
    pub fn next_turn(&self, service: &str, class: Priority, address: Ipv4Addr) -> Turn {
        let waiting = self.services.get(service);
        let syns = waiting.and_then(|waiting| waiting.get(&class));
        syns.map_or(0, |syns| syns.turns.next(address))
    }

    /// Takes out the SYN of a class whose turn comes last, if it comes after `turn`.
    pub fn evict_after(&mut self, service: &str, class: Priority, turn: Turn) -> Option<QueuedSyn> {
        let syns = self.services.get(service)?.get(&class)?;
        let (last, place) = syns.turns.last()?;
        if last <= turn {
            return None;
        }
        let flow = syns.get(&place)?.flow;
        self.remove(&flow)
    }

    /// Takes out the SYN of a flow.
    pub fn remove(&mut self, flow: &Key) -> Option<QueuedSyn> {
        let location = self.locations.remove(flow)?;
        self.remove_at(&location)
    }

    fn remove_at(&mut self, location: &Location) -> Option<QueuedSyn> {
        self.checks.remove(&location.check);
        let waiting = self.services.get_mut(&location.service)?;
        let syns = waiting.get_mut(&location.class)?;
        let on_time = syns.on_time.remove(&location.place);
        let syn = on_time.or_else(|| syns.late.remove(&location.place));
        if let Some(syn) = &syn
            && let Some(turn) = syn.turn
        {
            syns.turns
                .remove(*syn.flow.client.ip(), turn, location.place);
        }
        if syns.len() == 0 {
            waiting.remove(&location.class);
        }
        if waiting.is_empty() {
            self.services.remove(&location.service);
        }
        syn
    }
}
