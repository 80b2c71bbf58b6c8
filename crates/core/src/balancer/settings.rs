//! Settings of a router.

use std::time::Duration;

use crate::config::ZoneName;

use super::Policy;

/// Silence after which the flows of an agent are over; longer than their own idle timeout.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Cost of placing a flow in another availability zone, as added wait.
const DEFAULT_REMOTE_PENALTY: Duration = Duration::from_millis(2);

/// Control bytes a second; leaves a fifth of 3 KB/s to calls between processes.
const DEFAULT_CONTROL_BYTES_PER_S: u32 = 2_400;

/// Control bytes at once.
const DEFAULT_CONTROL_BURST_BYTES: u32 = 600;

/// What a router is told at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The balancer's availability zone.
    pub zone: ZoneName,
    /// How new flows are placed.
    pub policy: Policy,
    /// Added to the predicted wait of agents of other zones.
    pub remote_penalty: Duration,
    /// Silence after which flows of an agent are reset. Not shorter than the idle timeout of
    /// the flows themselves.
    pub idle_timeout: Duration,
    /// Control bytes a second, both directions, IP and UDP headers included.
    pub control_bytes_per_s: u32,
    /// Control bytes at once.
    pub control_burst_bytes: u32,
    /// Seed of the random generator.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: ZoneName::new(),
            policy: Policy::default(),
            remote_penalty: DEFAULT_REMOTE_PENALTY,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            control_bytes_per_s: DEFAULT_CONTROL_BYTES_PER_S,
            control_burst_bytes: DEFAULT_CONTROL_BURST_BYTES,
            seed: 0,
        }
    }
}
