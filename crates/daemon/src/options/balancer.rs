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
    /// Other balancers to ask for the configuration while the store is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Local address to bind for a service address, where the two differ.
    #[serde(default)]
    pub bind: BTreeMap<SocketAddr, SocketAddr>,
    /// How new flows choose among agents.
    #[serde(default)]
    pub policy: Policy,
}
