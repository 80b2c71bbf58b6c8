//! Routes from client-facing addresses to services.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Backend;
use crate::flow::{Key, Priority, ServiceName, ranking};

/// Whether a request may be executed more than once.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent: clients retry it after any failure.
    Safe,
    /// Must be executed at most once.
    #[default]
    Once,
}

/// The services that flows to one address go to, and the kind of their requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Route {
    /// Kind of its requests.
    pub kind: Kind,
    /// Time limit of its requests, after which clients give up; `None` if operators configured none.
    pub timeout: Option<Duration>,
    /// Latency objective of its requests; `None` if operators configured none.
    pub latency_objective: Option<Duration>,
    /// Priority of its requests among those of the routes that lead to the same service.
    pub priority: Priority,
    /// Services that new flows are distributed to.
    pub backends: Vec<Backend>,
}

impl Route {
    /// The service of a new flow, by weighted hashing: the same flow always gets the same service
    /// while the weights are unchanged.
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

    /// Whether new flows may be routed to the service.
    pub fn routes_to(&self, service: &str) -> bool {
        self.backends
            .iter()
            .any(|backend| backend.weight > 0 && &*backend.service == service)
    }
}
