//! Admission of SYNs while upstreams have less room than clients ask for: who gets the next place,
//! and who is told at once that there will be none.
//!
//! Classes, forecasts and returning callers apply to services whose routes differ in priority. For
//! all others SYNs wait in one class, as if there were no priorities.

mod classes;
mod in_flight;
mod queue;
mod returning;
mod statistics;
mod throughput;
mod timeliness;
mod turns;

use std::{collections::HashMap, net::Ipv4Addr, time::Instant};

pub use self::{
    classes::Classes,
    in_flight::InFlight,
    queue::{Queue, QueuedSyn},
    returning::{Returning, directory},
    statistics::{Count, Event, Statistics},
    throughput::{Overload, Throughput},
    timeliness::{Ages, Timeliness},
    turns::Turn,
};
use crate::flow::{Intent, Priority, ServiceName, intent::Route};

/// Factor of the observed rate of placements up to which it may be too low: a forecast that a SYN is
/// not placed in time must hold for that rate too. The rate of a second varies by a few tenths, and
/// a refusal uses up one of three attempts of the client.
const RATE_MARGIN: f64 = 1.5;

/// Queued SYNs, and what tells which of them can still be served.
#[derive(Debug)]
pub struct Admission {
    /// Share of the places that goes to each less critical class that waits.
    lower_class_share: f64,
    /// Whether client addresses take turns.
    fair_shares: bool,
    classes: Classes,
    /// Queued SYNs.
    pub queue: Queue,
    throughputs: HashMap<ServiceName, Throughput>,
    /// SYNs to services with classes that agents have not answered.
    pub in_flight: InFlight,
    /// Messages about callers that return.
    pub returning: Returning,
    /// What became of SYNs.
    pub statistics: Statistics,
}

impl Admission {
    /// An empty queue, without classes.
    pub fn new(lower_class_share: f64, fair_shares: bool) -> Self {
        Self {
            lower_class_share,
            fair_shares,
            classes: Classes::default(),
            queue: Queue::default(),
            throughputs: HashMap::new(),
            in_flight: InFlight::default(),
            returning: Returning::default(),
            statistics: Statistics::default(),
        }
    }

    /// Changes the share of the places that goes to each less critical class that waits.
    pub fn set_lower_class_share(&mut self, share: f64) {
        self.lower_class_share = share;
    }

    /// Applies the priorities of an intent.
    pub fn set_intent(&mut self, intent: &Intent) {
        self.classes = Classes::new(intent);
    }

    /// Whether requests of a service are told apart by class.
    pub fn has_classes(&self, service: &str) -> bool {
        self.classes.has(service)
    }

    /// Class of the requests of a route at a service, 0 if the service has no classes.
    pub fn class_of(&self, service: &str, route: Option<&Route>) -> Priority {
        self.classes.class_of(service, route)
    }

    /// Places that more critical classes may get in a row while a class waits.
    fn max_passed(&self) -> u32 {
        // At least 1, and at most the largest number, if the share is 0.
        (self.lower_class_share.recip().round().max(1.0) - 1.0) as u32
    }

    /// The turn of a further SYN of a client address, if addresses take turns at the service.
    pub fn next_turn(&self, service: &str, class: Priority, address: Ipv4Addr) -> Option<Turn> {
        let has_turns = self.fair_shares && self.has_classes(service);
        has_turns.then(|| self.queue.next_turn(service, class, address))
    }

    /// Takes out a SYN of the full queue to make room for another one: of a less critical class, or of
    /// an address that has had its turns if that of the other comes before.
    pub fn evict(
        &mut self,
        service: &str,
        class: Priority,
        turn: Option<Turn>,
    ) -> Option<QueuedSyn> {
        let less_critical = self.queue.evict(service, class);
        less_critical.or_else(|| self.queue.evict_after(service, class, turn?))
    }

    /// Takes out the SYN for a service that is to be placed next.
    pub fn pop(&mut self, now: Instant, service: &str) -> Option<QueuedSyn> {
        self.queue.pop(now, service, self.max_passed())
    }

    fn throughput(&mut self, now: Instant, service: &ServiceName) -> &mut Throughput {
        self.throughputs
            .entry(service.clone())
            .or_insert_with(|| Throughput::new(now))
    }

    /// Records the first SYN of a flow.
    pub fn record_arrival(&mut self, now: Instant, service: &ServiceName, class: Priority) {
        self.throughput(now, service).record_arrival(now, class);
    }

    /// Records that a SYN is sent to an agent.
    pub fn record_placed(&mut self, now: Instant, service: &ServiceName, class: Priority) {
        self.throughput(now, service).record_placement(now);
        self.queue.record_placed(service, class);
        self.statistics.record(service, class, Event::Placed);
    }

    /// Records that an agent returned a SYN.
    pub fn record_returned(&mut self, now: Instant, service: &ServiceName) {
        self.throughput(now, service).record_return(now);
    }

    /// Records that a SYN was refused by the forecast.
    pub fn record_refused(&mut self, now: Instant, service: &ServiceName, class: Priority) {
        self.throughput(now, service).record_refusal(now, class);
    }

    /// SYNs that ask for room by class, for a service with classes: those that wait, and those that
    /// were refused by the forecast lately. Without these a balancer that gets few places would refuse
    /// more, ask for less and get even fewer.
    pub fn demand(&mut self, now: Instant, service: &ServiceName) -> Vec<(Priority, u16)> {
        let mut demand = self.throughput(now, service).refused_lately(now);
        for (class, waiting) in self.queue.waiting_by_class(service) {
            *demand.entry(class).or_default() += waiting;
        }
        let saturated = |count| u16::try_from(count).unwrap_or(u16::MAX);
        let demand = demand.into_iter();
        demand
            .map(|(class, count)| (class, saturated(count)))
            .collect()
    }

    /// Queues a SYN.
    pub fn push(&mut self, now: Instant, service: ServiceName, syn: QueuedSyn) {
        self.throughput(now, &service).observe(now, true);
        self.queue.push(service, syn);
    }

    /// Whether SYNs for a service have been queued since the last tick.
    pub fn is_backlogged(&self, service: &str) -> bool {
        let throughput = self.throughputs.get(service);
        throughput.is_some_and(Throughput::is_backlogged)
    }

    /// Whether a SYN that is not placed now, and becomes late and expires at these times, will not be
    /// placed before it expires. True only if that follows from the rates of the last second.
    ///
    /// Load answered: more arrives than upstreams bear. A SYN that becomes late waits until none on
    /// time does, which does not happen while more arrive than are placed.
    pub fn is_unservable(
        &mut self,
        now: Instant,
        service: &ServiceName,
        class: Priority,
        turn: Option<Turn>,
        (late_at, expires_at): (Instant, Instant),
    ) -> bool {
        let (more_critical, own) = self.queue.ahead(now, service, class, late_at, turn);
        let floor = self.lower_class_share;
        let throughput = self.throughput(now, service);
        let Some(placed) = throughput.placements_per_s(now) else {
            return false;
        };
        let placed = placed * RATE_MARGIN;
        let arrivals = throughput.arrivals_per_s(now, |other| other < class) * RATE_MARGIN;
        // What more critical classes leave goes to this one after those that wait, the floor at once.
        let (rate, ahead) = if placed - arrivals > placed * floor {
            (placed - arrivals, more_critical + own)
        } else {
            (placed * floor, own)
        };
        let time_left = |until: Instant| until.saturating_duration_since(now).as_secs_f64();
        if ahead as f64 / rate <= time_left(late_at) {
            return false;
        }
        let spare = rate - throughput.arrivals_per_s(now, |other| other == class);
        spare <= 0.0 || ahead as f64 / spare > time_left(expires_at)
    }

    /// Updates the history of all services, and returns those whose overload has begun or ended.
    pub fn update(&mut self, now: Instant) -> Vec<(ServiceName, Overload)> {
        self.in_flight.expire(now);
        let mut changes = Vec::new();
        for (service, throughput) in &mut self.throughputs {
            throughput.observe(now, self.queue.waiting_for(service) > 0);
            if let Some(change) = throughput.update_overload(now) {
                changes.push((service.clone(), change));
            }
        }
        changes
    }

    /// Removes what is known of services that got no SYNs lately.
    pub fn sweep(&mut self, now: Instant) {
        self.throughputs
            .retain(|_, throughput| !throughput.is_idle(now));
    }

    /// Whether SYNs are queued or messages are to be sent, so that ticks must come often.
    pub fn has_pending_work(&self) -> bool {
        !self.queue.is_empty() || !self.returning.is_empty()
    }
}
