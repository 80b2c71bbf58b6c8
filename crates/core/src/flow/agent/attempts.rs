//! Callers whose earlier attempts ended without an answer.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use sassafrasmast_wire::flow::Attempt;

use crate::flow::{Key, deadline};

/// Limit of entries: those of a second in which each of 40 balancers refuses a hundred attempts;
/// about 100 bytes each.
const MAX_ENTRIES: usize = 4_096;

/// A caller: its address and the address that it connects to.
type Caller = (Ipv4Addr, SocketAddrV4);

/// An entry of a caller.
#[derive(Debug)]
struct Entry {
    began_at: Instant,
    expiry: (Instant, u64),
}

/// Directory of callers that may try again, kept for all balancers.
///
/// Load answered: an overload that lasts, in which callers return to any balancer. Entries may be
/// lost at any moment: the caller's next attempt then counts as its first.
#[derive(Debug, Default)]
pub struct Attempts {
    callers: HashMap<Caller, VecDeque<Entry>>,
    /// Callers in the order in which their entries expire.
    expiries: BTreeMap<(Instant, u64), Caller>,
    recorded: u64,
}

impl Attempts {
    /// Records an attempt that ended, until the caller's time limit has passed. Replaces the entry
    /// that expires first if there are too many.
    ///
    /// ```
    /// use std::time::{Duration, Instant};
    /// use sassafrasmast_core::flow::agent::Attempts;
    /// use sassafrasmast_wire::flow::Attempt;
    /// let (client, route) = ("100.64.0.1".parse().unwrap(), "198.18.0.1:443".parse().unwrap());
    /// let mut attempts = Attempts::default();
    /// let (limit, now) = (Duration::from_secs(1), Instant::now());
    /// attempts.record(now, &Attempt { client, route, age_ms: 500 }, limit);
    /// assert_eq!(attempts.take(now, client, route), Some(Duration::from_millis(500)));
    /// assert_eq!(attempts.take(now, client, route), None);
    /// ```
    pub fn record(&mut self, now: Instant, attempt: &Attempt, time_limit: Duration) {
        self.expire(now);
        let age = Duration::from_millis(attempt.age_ms.into());
        let Some(left) = time_limit.checked_sub(age) else {
            return;
        };
        let Some(began_at) = now.checked_sub(age) else {
            return;
        };
        if self.expiries.len() >= MAX_ENTRIES
            && let Some((_, caller)) = self.expiries.pop_first()
        {
            self.remove_first(caller);
        }
        self.recorded += 1;
        let expiry = (deadline(now, left), self.recorded);
        let caller = (attempt.client, attempt.route);
        self.expiries.insert(expiry, caller);
        let entries = self.callers.entry(caller).or_default();
        // Entries of a caller are in the order of their expiry.
        let index = entries.partition_point(|entry| entry.expiry < expiry);
        entries.insert(index, Entry { began_at, expiry });
    }

    /// Takes out the oldest entry of a caller, and returns the age of its first attempt.
    pub fn take(
        &mut self,
        now: Instant,
        client: Ipv4Addr,
        route: SocketAddrV4,
    ) -> Option<Duration> {
        self.expire(now);
        let entry = self.remove_first((client, route))?;
        self.expiries.remove(&entry.expiry);
        Some(now.saturating_duration_since(entry.began_at))
    }

    /// Takes out an entry of the caller of each flow, and returns those that had one with the age of
    /// the caller's first attempt in milliseconds.
    pub fn answer(&mut self, now: Instant, flows: &[Key]) -> Vec<(Key, u32)> {
        let mut earlier = Vec::new();
        for &flow in flows {
            if let Some(age) = self.take(now, *flow.client.ip(), flow.route) {
                earlier.push((flow, u32::try_from(age.as_millis()).unwrap_or(u32::MAX)));
            }
        }
        earlier
    }

    fn remove_first(&mut self, caller: Caller) -> Option<Entry> {
        let entries = self.callers.get_mut(&caller)?;
        let entry = entries.pop_front();
        if entries.is_empty() {
            self.callers.remove(&caller);
        }
        entry
    }

    /// Removes the entries whose time is over.
    fn expire(&mut self, now: Instant) {
        while let Some(first) = self.expiries.first_entry()
            && first.key().0 <= now
        {
            let caller = first.remove();
            self.remove_first(caller);
        }
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.expiries.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.expiries.is_empty()
    }
}
