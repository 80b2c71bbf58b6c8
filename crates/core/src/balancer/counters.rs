//! Counters of a router, published as metrics.

use std::sync::atomic::{AtomicU64, Ordering};

use super::Reason;

/// Counts since the start of the process. All workers write them concurrently.
#[derive(Debug, Default)]
pub struct Counters {
    /// Datagrams routed by their connection id.
    pub forwarded: AtomicU64,
    /// First datagrams of flows placed on an agent.
    pub placed: AtomicU64,
    /// First datagrams placed on another agent after a handback.
    pub placed_again: AtomicU64,
    /// Stateless resets sent.
    pub reset: AtomicU64,
    /// Datagrams delivered to callers.
    pub delivered: AtomicU64,
    /// Frames that could not be decoded.
    pub malformed_frames: AtomicU64,
    /// Frames dropped because the sender is not the agent they name, or may not send such frames.
    pub foreign_frames: AtomicU64,
    /// Probes sent.
    pub probes: AtomicU64,
    /// Bytes of control frames sent and received, IP and UDP headers included.
    pub control_bytes: AtomicU64,
    /// Number of holds, in which nothing is forwarded until the configuration is verified.
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

    /// Number of datagrams dropped for `reason`.
    pub fn dropped(&self, reason: Reason) -> u64 {
        self.dropped[reason as usize].load(Ordering::Relaxed)
    }
}
