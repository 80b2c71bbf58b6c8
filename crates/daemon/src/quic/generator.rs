//! Connection ids that name the agent.

use std::{sync::Arc, time::Duration};

use quinn::{ConnectionId, ConnectionIdGenerator};
use sassafrasmast_core::Blackboard;
use sassafrasmast_wire::{Cid, Incarnation, cid};

use super::Identity;

/// Seals ids under the key phase in force at the time, so a rotation changes new ids alone.
#[derive(Debug)]
pub struct Generator {
    /// Where the keys in force are found.
    pub blackboard: Arc<Blackboard>,
    /// The agent that ends the flows.
    pub identity: Identity,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
}

impl ConnectionIdGenerator for Generator {
    fn generate_cid(&mut self) -> ConnectionId {
        let cid = Cid {
            agent: self.identity.agent,
            incarnation: self.incarnation,
            service: self.identity.service,
            nonce: rand::random(),
        };
        match self.blackboard.config() {
            Some(snapshot) => ConnectionId::new(&cid.seal(&snapshot.keys)),
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
