//! Settings of a router.

use std::time::Duration;

use crate::config::ZoneName;

use super::Policy;

/// Silence after which an agent counts as dead; longer than the idle timeout of flows.
pub const DEFAULT_DEAD_AFTER: Duration = Duration::from_secs(20);

/// Cost of placing a flow in another availability zone, expressed as additional wait.
const DEFAULT_REMOTE_PENALTY: Duration = Duration::from_millis(2);

/// Control bytes per second: 80 % of the limit of 3 KB/s. The rest is a reserve for bytes that are
/// spent without a check of the budget, such as calls between processes.
const DEFAULT_CONTROL_BYTES_PER_S: u32 = 2_400;

/// Maximum burst of control bytes.
const DEFAULT_CONTROL_BURST_BYTES: u32 = 600;

/// Settings of a router, fixed at start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The balancer's availability zone.
    pub zone: ZoneName,
    /// Policy for the placement of new flows.
    pub policy: Policy,
    /// Added to the predicted wait of agents in other zones.
    pub remote_penalty: Duration,
    /// Silence of an agent after which it counts as dead and its flows are reset. Must not be
    /// shorter than the idle timeout of the flows.
    pub dead_after: Duration,
    /// Control bytes per second in both directions, IP and UDP headers included.
    pub control_bytes_per_s: u32,
    /// Maximum burst of control bytes.
    pub control_burst_bytes: u32,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: ZoneName::new(),
            policy: Policy::default(),
            remote_penalty: DEFAULT_REMOTE_PENALTY,
            dead_after: DEFAULT_DEAD_AFTER,
            control_bytes_per_s: DEFAULT_CONTROL_BYTES_PER_S,
            control_burst_bytes: DEFAULT_CONTROL_BURST_BYTES,
            seed: 0,
        }
    }
}
