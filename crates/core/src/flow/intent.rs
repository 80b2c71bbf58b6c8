//! What operators have set.

mod backend;
mod policy;
mod route;
mod service;

use std::{collections::BTreeSet, sync::Arc};

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

    /// Whether operators have taken the zone out.
    pub fn is_out(&self, zone: &str) -> bool {
        self.zones_out.contains(zone)
    }
}
