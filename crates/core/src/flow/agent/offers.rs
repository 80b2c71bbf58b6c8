//! Room at an upstream that is kept for balancers with queued SYNs.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

/// Time for which room is kept for a balancer: two delays between zones and a scheduling delay.
const OFFER_TIMEOUT: Duration = Duration::from_millis(20);

/// Time for which a balancer's demand is remembered: it repeats it several times in that time while
/// its SYNs wait.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(100);

/// What a balancer with queued SYNs asks for and was offered.
#[derive(Debug)]
struct Demand {
    /// SYNs that wait at the balancer.
    waiting: usize,
    received_at: Instant,
    /// When each offer was made that the balancer has not used yet.
    offered_at: VecDeque<Instant>,
}

/// Room that is kept for balancers with queued SYNs.
///
/// Load answered: many balancers wait for the same upstream. If each saw its free place, all would
/// send a SYN and all but one would get it back. So each place is offered to one balancer, the one
/// with the most SYNs waiting.
#[derive(Debug, Default)]
pub struct Offers {
    demands: BTreeMap<SocketAddrV4, Demand>,
}

impl Offers {
    /// Records that `waiting` SYNs wait at a balancer.
    pub fn record_demand(&mut self, now: Instant, balancer: SocketAddrV4, waiting: usize) {
        let demand = self.demands.entry(balancer).or_insert_with(|| Demand {
            waiting,
            received_at: now,
            offered_at: VecDeque::new(),
        });
        demand.waiting = waiting;
        demand.received_at = now;
    }

    /// Records that a SYN of a balancer arrived. If it uses an offer, returns the time since that
    /// was made.
    pub fn use_offer(&mut self, now: Instant, balancer: SocketAddrV4) -> Option<Duration> {
        let demand = self.demands.get_mut(&balancer)?;
        let offered_at = demand.offered_at.pop_front()?;
        demand.waiting = demand.waiting.saturating_sub(1);
        Some(now.saturating_duration_since(offered_at))
    }

    /// Number of offers that were made to a balancer and not used.
    pub fn offered_to(&self, balancer: SocketAddrV4) -> usize {
        self.demands
            .get(&balancer)
            .map_or(0, |demand| demand.offered_at.len())
    }

    /// Number of offers that were not used.
    pub fn offered(&self) -> usize {
        let offered = self.demands.values().map(|demand| demand.offered_at.len());
        offered.sum()
    }

    /// Makes an offer to the balancer with the most SYNs for which it has none, and returns it.
    ///
    /// ```
    /// use std::time::Instant;
    /// use sassafrasmast_core::flow::agent::Offers;
    /// let (now, balancer) = (Instant::now(), "10.0.0.1:7000".parse().unwrap());
    /// let mut offers = Offers::default();
    /// assert_eq!(offers.offer(now), None);
    /// offers.record_demand(now, balancer, 1);
    /// assert_eq!(offers.offer(now), Some(balancer));
    /// assert_eq!(offers.offer(now), None);
    /// ```
    pub fn offer(&mut self, now: Instant) -> Option<SocketAddrV4> {
        let without_offer =
            |demand: &Demand| demand.waiting.saturating_sub(demand.offered_at.len());
        let (balancer, demand) = self
            .demands
            .iter_mut()
            .max_by_key(|(_, demand)| without_offer(demand))
            .filter(|(_, demand)| without_offer(demand) > 0)?;
        demand.offered_at.push_back(now);
        Some(*balancer)
    }

    /// Withdraws offers that were not used in time, and forgets old demands.
    pub fn expire(&mut self, now: Instant) {
        let is_within = |at: Instant, timeout| now.saturating_duration_since(at) < timeout;
        self.demands.retain(|_, demand| {
            let made = demand.offered_at.len();
            demand.offered_at.retain(|&at| is_within(at, OFFER_TIMEOUT));
            if demand.offered_at.len() < made {
                // The balancer has no use for more until it asks again.
                demand.waiting = demand.offered_at.len();
            }
            is_within(demand.received_at, DEMAND_TIMEOUT)
        });
    }

    /// Whether a balancer waits for room.
    pub fn is_empty(&self) -> bool {
        self.demands.is_empty()
    }
}
