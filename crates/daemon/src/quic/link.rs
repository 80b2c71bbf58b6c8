//! The way back: which balancer to answer each caller through.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// A balancer that was not heard for this long is left when another one was.
const SILENT: Duration = Duration::from_secs(2);

/// Callers not heard for this long are forgotten.
const FORGET: Duration = Duration::from_secs(60);

/// Balancers remembered at most.
const MAX_BALANCERS: usize = 1_024;

/// Bounded table from caller to balancer.
///
/// An entry takes 80 bytes (caller 32, balancer 32, time 16) and its share of the hash table's
/// spare room.
#[derive(Debug)]
pub struct Link {
    callers: HashMap<SocketAddr, (SocketAddr, Instant)>,
    balancers: HashMap<SocketAddr, Instant>,
    capacity: usize,
}

impl Link {
    /// A table of at most `capacity` callers.
    pub fn new(capacity: usize) -> Self {
        Self {
            callers: HashMap::new(),
            balancers: HashMap::new(),
            capacity,
        }
    }

    /// Notes that `balancer` is alive.
    pub fn heard(&mut self, balancer: SocketAddr, now: Instant) {
        if self.balancers.len() < MAX_BALANCERS || self.balancers.contains_key(&balancer) {
            self.balancers.insert(balancer, now);
        }
    }

    /// Notes that a datagram of `caller` came through `balancer`. Returns `false` if the table
    /// is full and the caller is new.
    pub fn arrived(&mut self, caller: SocketAddr, balancer: SocketAddr, now: Instant) -> bool {
        self.heard(balancer, now);
        if self.callers.len() >= self.capacity && !self.callers.contains_key(&caller) {
            return false;
        }
        self.callers.insert(caller, (balancer, now));
        true
    }

    /// The balancer through which to answer `caller`: the one last heard from for it, or another
    /// recently heard one once that one is silent.
    pub fn route(&mut self, caller: SocketAddr, now: Instant) -> Option<SocketAddr> {
        let (balancer, _) = *self.callers.get(&caller)?;
        if self.is_recent(balancer, now) {
            return Some(balancer);
        }
        let latest = self.balancers.iter().max_by_key(|(_, heard)| **heard);
        match latest {
            Some((&other, _)) if self.is_recent(other, now) => {
                if let Some(entry) = self.callers.get_mut(&caller) {
                    entry.0 = other;
                }
                Some(other)
            }
            _ => Some(balancer),
        }
    }

    /// Forgets callers and balancers that were not heard for long.
    pub fn expire(&mut self, now: Instant) {
        let fresh = |heard: Instant| now.saturating_duration_since(heard) < FORGET;
        self.callers.retain(|_, (_, heard)| fresh(*heard));
        self.balancers.retain(|_, heard| fresh(*heard));
    }

    /// Callers in the table.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Whether no caller is in the table.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }

    fn is_recent(&self, balancer: SocketAddr, now: Instant) -> bool {
        let heard = self.balancers.get(&balancer);
        heard.is_some_and(|heard| now.saturating_duration_since(*heard) < SILENT)
    }
}
