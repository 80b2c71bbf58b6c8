//! Counters of a router.

use std::sync::atomic::{AtomicU64, Ordering};

use super::Reason;

/// Counts since start. Read at any time, written by all workers.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams routed by their connection id.
    pub forwarded: AtomicU64,
    /// First datagrams placed.
    pub placed: AtomicU64,
    /// First datagrams placed again after a handback.
    pub placed_again: AtomicU64,
    /// Stateless resets sent.
    pub reset: AtomicU64,
    /// Datagrams delivered to callers.
    pub delivered: AtomicU64,
    /// Frames that could not be decoded.
    pub malformed_frames: AtomicU64,
    /// Frames whose sender is not the agent they name.
    pub foreign_frames: AtomicU64,
    /// Probes sent.
    pub probes: AtomicU64,
    /// Control bytes sent and received, IP and UDP headers included.
    pub control_bytes: AtomicU64,
    /// Times forwarding was held until the configuration was verified.
    pub holds: AtomicU64,
    dropped: [AtomicU64; Reason::ALL.len()],
}

impl Counters {
    /// Adds one to `counter`.
    pub(super) fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds `amount` to `counter`.
    pub(super) fn add(counter: &AtomicU64, amount: u32) {
        counter.fetch_add(u64::from(amount), Ordering::Relaxed);
    }

    /// Counts a dropped datagram.
    pub(super) fn count_dropped(&self, reason: Reason) {
        Self::increment(&self.dropped[reason as usize]);
    }

    /// Datagrams dropped for `reason`.
    pub fn dropped(&self, reason: Reason) -> u64 {
        self.dropped[reason as usize].load(Ordering::Relaxed)
    }
}
