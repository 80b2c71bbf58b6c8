//! Generates connection ids that carry the agent's id.

use std::{sync::Arc, time::Duration};

use quinn::{ConnectionId, ConnectionIdGenerator};
use sassafrasmast_core::Blackboard;
use sassafrasmast_wire::{Cid, Incarnation, cid};

use super::Identity;

/// Seals connection ids with the key phase in force when they are created, so that a rotation
/// affects only new ids.
#[derive(Debug)]
pub struct CidGenerator {
    /// Holds the keys in force.
    pub blackboard: Arc<Blackboard>,
    /// The agent that terminates the flows.
    pub identity: Identity,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
}

impl ConnectionIdGenerator for CidGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let cid = Cid {
            agent: self.identity.agent,
            incarnation: self.incarnation,
            service: self.identity.service,
            nonce: rand::random(),
        };
        match self.blackboard.config() {
            Some(snapshot) => ConnectionId::new(&cid.seal(&snapshot.keys)),
            // Does not occur: the endpoint starts only once a configuration is in force.
            None => ConnectionId::new(&[0; cid::BYTES]),
        }
    }

    fn cid_len(&self) -> usize {
        cid::BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}
