//! Faults injected into the fabric.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

/// Faults of the fabric, in force until the next `POST /standin/fault`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Balancers behind a service address, which replace those of the settings.
    pub balancers: BTreeMap<SocketAddr, Vec<SocketAddr>>,
    /// Probability that a datagram is lost, in each direction.
    pub loss: f64,
    /// Balancers that the fabric still picks, but to and from which all datagrams are lost.
    pub cut: BTreeSet<SocketAddr>,
    /// All datagrams from callers are lost.
    pub drop_inward: bool,
    /// All datagrams to callers are lost.
    pub drop_outward: bool,
    /// Callers whose address towards the balancers changes once, now.
    pub rebind: BTreeSet<SocketAddr>,
    /// Changes the address of all callers towards the balancers once, now.
    pub rebind_all: bool,
}
