//! Settings of an agent.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use sassafrasmast_wire::Incarnation;

/// Settings of an [`super::Agent`].
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The agent's own address, by which it finds its upstream in the configuration.
    pub listen: SocketAddr,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Most requests in the queue, including those whose key is being claimed; also the most
    /// pending relays.
    pub max_queued: usize,
    /// Most idempotency keys in the registry.
    pub max_keys: usize,
    /// Most bytes of stored answers.
    pub max_answer_bytes: usize,
    /// Time a ticket stays valid.
    pub ticket_lifetime: Duration,
    /// Time after the start of a drain from which waiting requests are refused.
    pub drain_grace: Duration,
    /// Most claims per second written to the store by all agents of the fleet together.
    pub fleet_claims_per_s: f64,
    /// Whether inputs are recorded for [`super::Agent::take_inputs`].
    pub record_inputs: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
            incarnation: 0,
            max_queued: 256,
            max_keys: 131_072,
            max_answer_bytes: 32 << 20,
            ticket_lifetime: Duration::from_secs(300),
            drain_grace: Duration::from_secs(3),
            fleet_claims_per_s: 200.0,
            record_inputs: false,
        }
    }
}
