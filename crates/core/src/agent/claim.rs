//! Claims of minted keys in the platform's store.

use std::time::{Duration, Instant};

use sassafrasmast_wire::{AgentId, Incarnation};
use serde::{Deserialize, Serialize};

/// Identifies a claim and the incarnation that created it, so that after a lost reply the result
/// can be found by reading the claim back. A nonce is never used for two keys or by two
/// incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Nonce {
    /// The claiming agent.
    pub agent: AgentId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of the claim within the incarnation.
    pub count: u64,
}

/// Result of creating a claim if it is absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Claim {
    /// The store holds this agent's nonce: created now, or read back after a lost reply.
    Ours,
    /// The store holds another nonce.
    Elsewhere,
    /// Neither could be determined in time. The claim may still take effect.
    Unsettled,
}

/// Shortest time for which a claim must stay in the store, counted from when its action was taken.
/// The claim's lease must not end earlier. A key may be repeated only until [`START_WINDOW`] before
/// that, as a repeat may claim the key and start that long after its arrival.
pub const MIN_LEASE: Duration = Duration::from_secs(1_800);

/// Time from requesting a claim during which the request that carries the key may start. The rest
/// of [`MIN_LEASE`] is a margin for paused processes and for clocks that run at different rates.
pub const START_WINDOW: Duration = Duration::from_secs(600);

/// Whether a claim that was requested at `requested` is surely still in the store, so that the
/// request that carries the key may start.
pub(super) fn holds(now: Instant, requested: Instant) -> bool {
    now < requested + START_WINDOW
}
