//! The fleet's secrets.

use std::collections::BTreeMap;

use sassafrasmast_wire::{KeyPhase, Keys, keys::Secret};
use serde::{Deserialize, Serialize};

/// Secrets from which ids, tickets and reset tokens derive.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secrets {
    /// Phase that seals new ids.
    pub sealing: KeyPhase,
    /// All phases that open ids.
    pub phases: BTreeMap<KeyPhase, Secret>,
    /// Root of the stateless reset tokens. Not rotated while flows are open.
    pub reset: Secret,
}

impl Secrets {
    /// Derives the keys; `None` if the sealing phase has no secret.
    pub fn keys(&self) -> Option<Keys> {
        let phases = self.phases.iter().map(|(&phase, &secret)| (phase, secret));
        Keys::new(self.sealing, phases, self.reset)
    }

    /// Phase that the next rotation adds or starts to seal with.
    pub fn next_phase(&self) -> KeyPhase {
        self.sealing.wrapping_add(1)
    }

    /// Phase whose key was added by the first step of a rotation and does not seal yet.
    pub fn prepared(&self) -> Option<KeyPhase> {
        let next = self.next_phase();
        self.phases.contains_key(&next).then_some(next)
    }
}
