//! Faults of the fabric.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

/// Faults that the fabric obeys until told otherwise.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Balancers behind a service address, replacing those of the settings.
    pub balancers: BTreeMap<SocketAddr, Vec<SocketAddr>>,
    /// Probability that a datagram is lost, each way.
    pub loss: f64,
    /// Balancers that the fabric sprays to, but to and from which all datagrams are lost.
    pub cut: BTreeSet<SocketAddr>,
    /// All datagrams from callers are lost.
    pub drop_inward: bool,
    /// All datagrams to callers are lost.
    pub drop_outward: bool,
    /// Callers that get a new address towards the balancers now, once.
    pub rebind: BTreeSet<SocketAddr>,
    /// All callers get a new address towards the balancers now, once.
    pub rebind_all: bool,
}
