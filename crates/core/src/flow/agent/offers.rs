//! Room at an upstream that is kept for balancers with queued SYNs.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::flow::Priority;

/// Time for which room is kept for a balancer: two delays between zones and a scheduling delay.
const OFFER_TIMEOUT: Duration = Duration::from_millis(20);

/// Time for which a balancer's demand is remembered: it repeats it several times in that time while
/// its SYNs wait.
const DEMAND_TIMEOUT: Duration = Duration::from_millis(100);

/// Class of SYNs at a balancer, `None` if the balancer does not state it. Such SYNs come first, so that
/// a balancer of an earlier build does not get fewer places for that.
pub type Class = Option<Priority>;

/// What a balancer with queued SYNs asks for and was offered.
#[derive(Debug)]
struct Demand {
    /// SYNs that wait at the balancer by class, the most critical ones first.
    waiting: Vec<(Class, usize)>,
    received_at: Instant,
    /// When and for which class each offer was made that the balancer has not used yet.
    offered_at: VecDeque<(Instant, Class)>,
}

impl Demand {
    /// SYNs of a class that have no offer. The balancer uses offers for its most critical SYNs.
    fn without_offer(&self, class: Class) -> usize {
        let mut offers = self.offered_at.len();
        for &(other, count) in &self.waiting {
            if other == class {
                return count.saturating_sub(offers);
            }
            offers = offers.saturating_sub(count);
        }
        0
    }

    /// Forgets `count` SYNs, the most critical ones first.
    fn forget_first(&mut self, mut count: usize) {
        for (_, waiting) in &mut self.waiting {
            let forgotten = count.min(*waiting);
            *waiting -= forgotten;
            count -= forgotten;
        }
    }

    /// Forgets SYNs, the least critical ones first, until `count` are left.
    fn keep_first(&mut self, mut count: usize) {
        for (_, waiting) in &mut self.waiting {
            *waiting = count.min(*waiting);
            count -= *waiting;
        }
    }
}

/// Room that is kept for balancers with queued SYNs.
///
/// Load answered: many balancers wait for the same upstream. If each saw its free place, all would
/// send a SYN and all but one would get it back. So each place is offered to one balancer, the one
/// with the most SYNs of a class waiting.
#[derive(Debug, Default)]
pub struct Offers {
    demands: BTreeMap<SocketAddrV4, Demand>,
}

impl Offers {
    /// Records how many SYNs of each class wait at a balancer.
    pub fn record_demand(
        &mut self,
        now: Instant,
        balancer: SocketAddrV4,
        waiting: impl Iterator<Item = (Class, u16)>,
    ) {
        let demand = self.demands.entry(balancer).or_insert_with(|| Demand {
            waiting: Vec::new(),
            received_at: now,
            offered_at: VecDeque::new(),
        });
        demand.waiting = waiting
            .map(|(class, count)| (class, count.into()))
            .collect();
        demand.waiting.sort_unstable();
        demand.received_at = now;
    }

    /// Records that a SYN of a balancer arrived. If it uses an offer, returns the time since that
    /// was made.
    pub fn use_offer(&mut self, now: Instant, balancer: SocketAddrV4) -> Option<Duration> {
        let demand = self.demands.get_mut(&balancer)?;
        let (offered_at, _) = demand.offered_at.pop_front()?;
        demand.forget_first(1);
        Some(now.saturating_duration_since(offered_at))
    }

    /// Number of offers that were made to a balancer and not used.
    pub fn offered_to(&self, balancer: SocketAddrV4) -> usize {
        self.demands
            .get(&balancer)
            .map_or(0, |demand| demand.offered_at.len())
    }

    /// The class of the offer that a balancer's next SYN uses.
    pub fn class_of_next(&self, balancer: SocketAddrV4) -> Option<Class> {
        let offered = &self.demands.get(&balancer)?.offered_at;
        offered.front().map(|(_, class)| *class)
    }

    /// Number of offers that were not used.
    pub fn offered(&self) -> usize {
        let offered = self.demands.values().map(|demand| demand.offered_at.len());
        offered.sum()
    }

    /// Classes of which a balancer has SYNs without an offer.
    pub fn classes(&self) -> impl Iterator<Item = Class> {
        self.demands.values().flat_map(|demand| {
            let classes = demand.waiting.iter().map(|(class, _)| *class);
            classes.filter(|&class| demand.without_offer(class) > 0)
        })
    }

    /// Makes an offer to the balancer with the most SYNs of a class for which it has none, and
    /// returns it.
    ///
    /// ```
    /// use std::time::Instant;
    /// use sassafrasmast_core::flow::agent::Offers;
    /// let (now, balancer) = (Instant::now(), "10.0.0.1:7000".parse().unwrap());
    /// let mut offers = Offers::default();
    /// assert_eq!(offers.offer(now, Some(2)), None);
    /// offers.record_demand(now, balancer, [(Some(2), 1)].into_iter());
    /// assert_eq!(offers.offer(now, Some(1)), None);
    /// assert_eq!(offers.offer(now, Some(2)), Some(balancer));
    /// assert_eq!(offers.offer(now, Some(2)), None);
    /// ```
    pub fn offer(&mut self, now: Instant, class: Class) -> Option<SocketAddrV4> {
        let (balancer, demand) = self
            .demands
            .iter_mut()
            .max_by_key(|(_, demand)| demand.without_offer(class))
            .filter(|(_, demand)| demand.without_offer(class) > 0)?;
        demand.offered_at.push_back((now, class));
        Some(*balancer)
    }

    /// Withdraws offers that were not used in time, and forgets old demands.
    pub fn expire(&mut self, now: Instant) {
        let is_within = |at: Instant, timeout| now.saturating_duration_since(at) < timeout;
        self.demands.retain(|_, demand| {
            let made = demand.offered_at.len();
            demand
                .offered_at
                .retain(|&(at, _)| is_within(at, OFFER_TIMEOUT));
            if demand.offered_at.len() < made {
                // The balancer has no use for more until it asks again.
                demand.keep_first(demand.offered_at.len());
            }
            is_within(demand.received_at, DEMAND_TIMEOUT)
        });
    }

    /// Whether a balancer waits for room.
    pub fn is_empty(&self) -> bool {
        self.demands.is_empty()
    }
}
