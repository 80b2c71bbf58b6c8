//! Claims of keys minted by callers.

use std::time::{Duration, Instant};

use sassafrasmast_wire::{AgentId, Incarnation};
use serde::{Deserialize, Serialize};

/// Names the maker of a claim, so that a lost reply can be settled by reading back. Never used
/// for two keys, nor by two incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Nonce {
    /// Claiming agent.
    pub agent: AgentId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Counts the claims of the incarnation.
    pub count: u64,
}

/// Result of one create-if-absent of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Claim {
    /// The store holds our nonce: created now, or read back after a lost reply.
    Ours,
    /// The store holds another nonce.
    Elsewhere,
    /// Neither could be found out in time. The claim may still take effect.
    Unsettled,
}

/// Time for which a claim must stay in the store, from the moment the action was taken. A caller
/// may repeat a key for as long; its lease must not end before.
pub const MIN_LEASE: Duration = Duration::from_secs(1_800);

/// Time after which a claim no longer allows a start. The rest of [`MIN_LEASE`] is the margin for a
/// paused process and for clocks that run at different speeds.
pub const START_WINDOW: Duration = Duration::from_secs(600);

/// Whether a claim that was asked for at `asked` surely still holds.
pub(super) fn holds(now: Instant, asked: Instant) -> bool {
    now < asked + START_WINDOW
}
