//! A route.

use serde::{Deserialize, Serialize};

use super::Backend;
use crate::flow::{Key, ServiceName, ranking};

/// Whether a request may be repeated.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent: clients repeat it after any failure.
    Safe,
    /// Runs at most once.
    #[default]
    Once,
}

/// Where the flows of one address go, and what they carry.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Whether its requests may be repeated.
    pub kind: Kind,
    /// Services that new flows go to.
    pub backends: Vec<Backend>,
}

impl Route {
    /// The service of a new flow. The same flow always gets the same one while weights last.
    pub fn service(&self, flow: &Key) -> Option<&ServiceName> {
        let total: u64 = self
            .backends
            .iter()
            .map(|backend| u64::from(backend.weight))
            .sum();
        if total == 0 {
            return None;
        }
        let mut point = ranking::hash(flow, "backend") % total;
        self.backends
            .iter()
            .find(|backend| {
                let weight = u64::from(backend.weight);
                let hit = point < weight;
                point = point.saturating_sub(weight);
                hit
            })
            .map(|backend| &backend.service)
    }

    /// Whether new flows may go to the service.
    pub fn routes_to(&self, service: &str) -> bool {
        self.backends
            .iter()
            .any(|backend| backend.weight > 0 && &*backend.service == service)
    }
}
