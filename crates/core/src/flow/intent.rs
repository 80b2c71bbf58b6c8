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
    /// Merges `next` into `current`, and returns whether that changed it.
    pub(super) fn replace_if_newer(current: &mut Option<Arc<Self>>, next: Arc<Self>) -> bool {
        let merged = match current {
            Some(current) => Self::merge(current, &next),
            None => next,
        };
        let changes = current
            .as_ref()
            .is_none_or(|current| !Arc::ptr_eq(current, &merged));
        *current = Some(merged);
        changes
    }

    /// The policy of the higher version, and zones out and revision of the later one. The order in
    /// which intents are merged does not matter. Returns `current` itself if `other` adds nothing.
    ///
    /// A store that has come back from an older copy holds an older policy at a later revision until
    /// operators have written the latest one again. At equal revisions zones out are united: a
    /// process keeps zones out for some time after such a return.
    ///
    /// ```
    /// use std::sync::Arc;
    /// use sassafrasmast_core::flow::{Intent, intent::Policy};
    /// let intent = |revision, version| Arc::new(Intent {
    ///     revision,
    ///     policy: Policy { version, ..Policy::default() },
    ///     ..Intent::default()
    /// });
    /// assert_eq!(Intent::merge(&intent(9, 3), &intent(8, 4)), intent(9, 4));
    /// ```
    pub fn merge(current: &Arc<Self>, other: &Arc<Self>) -> Arc<Self> {
        let (earlier, later) = if other.revision > current.revision {
            (current, other)
        } else {
            (other, current)
        };
        let mut merged = Arc::clone(later);
        if earlier.policy.version > later.policy.version {
            Arc::make_mut(&mut merged).keep_newer_policy(earlier);
        }
        if earlier.revision == later.revision && !earlier.zones_out.is_subset(&later.zones_out) {
            let zones = earlier.zones_out.iter().cloned();
            Arc::make_mut(&mut merged).zones_out.extend(zones);
        }
        merged
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
