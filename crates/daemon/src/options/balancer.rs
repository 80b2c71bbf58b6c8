//! Settings of the balancer role.

use std::{collections::BTreeMap, net::SocketAddr};

use sassafrasmast_core::balancer::Policy;
use serde::Deserialize;

/// Settings of a balancer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Balancer {
    /// Address of the operators' API (HTTP).
    pub api: SocketAddr,
    /// Addresses of the platform's store.
    pub store: Vec<SocketAddr>,
    /// Other balancers, queried for the configuration while the store is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Local address to bind, by service address; for services whose address is not the one to
    /// bind.
    #[serde(default)]
    pub bind: BTreeMap<SocketAddr, SocketAddr>,
    /// How agents are chosen for new flows.
    #[serde(default)]
    pub policy: Policy,
}
