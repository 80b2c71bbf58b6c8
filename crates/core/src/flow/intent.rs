//! The operators' configuration of flow forwarding.

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

/// The operators' configuration as of one revision. A process never replaces it by an older one.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Intent {
    /// Store revision that the intent reflects, see [`Revision`].
    pub revision: Revision,
    /// Routes, services and limits.
    pub policy: Policy,
    /// Availability zones that get no new flows.
    pub zones_out: BTreeSet<ZoneName>,
}

impl Intent {
    /// Replaces `current` if `next` is newer, and returns whether it is.
    pub(super) fn replace_if_newer(current: &mut Option<Arc<Self>>, mut next: Arc<Self>) -> bool {
        let is_newer = current
            .as_ref()
            .is_none_or(|current| next.revision > current.revision);
        if is_newer {
            if let Some(current) = current
                && next.policy.version < current.policy.version
            {
                Arc::make_mut(&mut next).keep_newer_policy(current);
            }
            *current = Some(next);
        }
        is_newer
    }

    /// Keeps the policy of an earlier intent if its version is higher: a store that has come back
    /// from an older copy holds an older policy until operators have written the latest one again.
    ///
    /// ```
    /// use sassafrasmast_core::flow::{Intent, intent::Policy};
    /// let intent = |revision, version| Intent {
    ///     revision,
    ///     policy: Policy { version, ..Policy::default() },
    ///     ..Intent::default()
    /// };
    /// let mut restored = intent(9, 3);
    /// restored.keep_newer_policy(&intent(8, 4));
    /// assert_eq!(restored, intent(9, 4));
    /// ```
    pub fn keep_newer_policy(&mut self, earlier: &Self) {
        if self.policy.version < earlier.policy.version {
            self.policy = earlier.policy.clone();
        }
    }

    /// Digest of all fields but the revision. Equal intents have equal digests in all processes of
    /// the same build.
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
        // Map iteration order differs between processes, so the digests are combined by addition.
        routes.chain(services).fold(rest, u64::wrapping_add)
    }

    /// Whether operators have taken the zone out of service.
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.zones_out.contains(zone)
    }
}

fn digest(part: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    part.hash(&mut hasher);
    hasher.finish()
}
