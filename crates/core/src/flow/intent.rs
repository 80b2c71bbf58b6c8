//! What operators have set.

mod backend;
mod policy;
mod route;
mod service;

use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

pub use self::{
    backend::Backend,
    policy::Policy,
    route::{Kind, Route},
    service::Service,
};
use super::{Revision, ZoneName};

/// What operators have set, as of one revision. Never replaced by an older one within a process.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// Revision of the store that this was read at.
    pub revision: Revision,
    /// Routes, services and limits.
    pub policy: Policy,
    /// Zones that get no new flows.
    pub zones_out: BTreeSet<ZoneName>,
}

impl Intent {
    /// Replaces the intent in force by a newer one and tells whether it was newer.
    pub(super) fn advance(current: &mut Option<Arc<Self>>, next: Arc<Self>) -> bool {
        let is_newer = current
            .as_ref()
            .is_none_or(|current| next.revision > current.revision);
        if is_newer {
            *current = Some(next);
        }
        is_newer
    }

    /// Digest of all but the revision. Equal intents have equal digests in all processes of one
    /// build.
    ///
    /// ```
    /// use sassafrasmast_core::flow::Intent;
    /// let later = Intent { revision: 7, ..Intent::default() };
    /// assert_eq!(later.digest(), Intent::default().digest());
    /// ```
    pub fn digest(&self) -> u64 {
        let policy = &self.policy;
        let routes = policy.routes.iter().map(digest);
        let services = policy.services.iter().map(digest);
        let rest = digest((policy.version, policy.idle_timeout, &self.zones_out));
        // Maps have no order, so the order of the sum must not matter.
        routes.chain(services).fold(rest, u64::wrapping_add)
    }

    /// Whether operators have taken the zone out.
    pub fn is_out(&self, zone: &str) -> bool {
        self.zones_out.contains(zone)
    }
}

fn digest(part: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    part.hash(&mut hasher);
    hasher.finish()
}
