//! Return paths: the balancer through which each caller is answered.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// A balancer from which nothing was received for this long is replaced by one that is live.
const BALANCER_TIMEOUT: Duration = Duration::from_secs(2);

/// Callers and balancers from which nothing was received for this long are removed.
const EXPIRY: Duration = Duration::from_secs(60);

/// Largest number of balancers in the table.
const MAX_BALANCERS: usize = 1_024;

/// Bounded table from caller to balancer.
///
/// An entry takes 80 bytes (caller 32, balancer 32, time 16) and its share of the hash table's
/// spare capacity.
#[derive(Debug)]
pub struct ReturnPaths {
    callers: HashMap<SocketAddr, (SocketAddr, Instant)>,
    balancers: HashMap<SocketAddr, Instant>,
    capacity: usize,
}

impl ReturnPaths {
    /// An empty table for at most `capacity` callers.
    pub fn new(capacity: usize) -> Self {
        Self {
            callers: HashMap::new(),
            balancers: HashMap::new(),
            capacity,
        }
    }

    /// Records that `balancer` is live.
    pub fn record_balancer(&mut self, balancer: SocketAddr, now: Instant) {
        if self.balancers.len() < MAX_BALANCERS || self.balancers.contains_key(&balancer) {
            self.balancers.insert(balancer, now);
        }
    }

    /// Records that a datagram from `caller` arrived through `balancer`. Returns `false` if the
    /// table is full and the caller is new.
    pub fn record_caller(
        &mut self,
        caller: SocketAddr,
        balancer: SocketAddr,
        now: Instant,
    ) -> bool {
        self.record_balancer(balancer, now);
        if self.callers.len() >= self.capacity && !self.callers.contains_key(&caller) {
            return false;
        }
        self.callers.insert(caller, (balancer, now));
        true
    }

    /// The balancer through which to answer `caller`: the one that forwarded its last datagram or,
    /// if that one is not live, the one from which something was received last.
    pub fn balancer_for(&mut self, caller: SocketAddr, now: Instant) -> Option<SocketAddr> {
        let (balancer, _) = *self.callers.get(&caller)?;
        if self.is_live(balancer, now) {
            return Some(balancer);
        }
        let latest = self.balancers.iter().max_by_key(|(_, heard)| **heard);
        match latest {
            Some((&other, _)) if self.is_live(other, now) => {
                if let Some(entry) = self.callers.get_mut(&caller) {
                    entry.0 = other;
                }
                Some(other)
            }
            _ => Some(balancer),
        }
    }

    /// Removes callers and balancers from which nothing was received for `EXPIRY`.
    pub fn expire(&mut self, now: Instant) {
        let is_unexpired = |heard: Instant| now.saturating_duration_since(heard) < EXPIRY;
        self.callers.retain(|_, (_, heard)| is_unexpired(*heard));
        self.balancers.retain(|_, heard| is_unexpired(*heard));
    }

    /// Number of callers in the table.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Whether no caller is in the table.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    fn is_live(&self, balancer: SocketAddr, now: Instant) -> bool {
        let heard = self.balancers.get(&balancer);
        heard.is_some_and(|heard| now.saturating_duration_since(*heard) < BALANCER_TIMEOUT)
    }
}
