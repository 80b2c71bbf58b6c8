//! The fleet's secrets.

use std::collections::BTreeMap;

use sassafrasmast_wire::{KeyPhase, Keys, keys::Secret};
use serde::{Deserialize, Serialize};

/// Secrets from which the keys for connection ids, tickets and reset tokens are derived. Texts for
/// operators call the secret of a phase its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Secrets {
    /// Key phase that seals new connection ids and tickets.
    pub sealing: KeyPhase,
    /// Secrets of all key phases that open connection ids and tickets.
    pub phases: BTreeMap<KeyPhase, Secret>,
    /// Root secret of the stateless reset tokens. Not rotated while flows are open.
    pub reset: Secret,
}

impl Secrets {
    /// Derives the keys; `None` if the sealing phase has no secret.
    pub fn keys(&self) -> Option<Keys> {
        let phases = self.phases.iter().map(|(&phase, &secret)| (phase, secret));
        Keys::new(self.sealing, phases, self.reset)
    }

    /// Key phase that the next rotation step adds or starts to seal with.
    pub fn next_phase(&self) -> KeyPhase {
        self.sealing.wrapping_add(1)
    }

    /// Key phase that the first rotation step has added and that does not seal yet; `None` if there
    /// is none.
    pub fn pending_phase(&self) -> Option<KeyPhase> {
        let next = self.next_phase();
        self.phases.contains_key(&next).then_some(next)
    }
}
