//! Handler of the calls that both roles answer.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use rand::seq::IndexedRandom;
use sassafrasmast_core::{
    Blackboard,
    config::{Document, Registration},
};
use sassafrasmast_wire::{Address, ConfigVersion};

use super::{Call, Handler, Reply};

/// Largest number of balancers in one reply. If there are more, they are chosen at random.
const MAX_BALANCERS_PER_REPLY: usize = 16;

/// Largest number of events in one reply. The sender calls again for the rest.
const MAX_EVENTS_PER_REPLY: usize = 4_096;

/// The extent of the configuration that a process has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extent {
    Whole,
    Part,
}

/// Answers calls from the data on the blackboard.
#[derive(Debug)]
pub struct CommonHandler {
    blackboard: Arc<Blackboard>,
    extent: Extent,
}

impl CommonHandler {
    /// The handler of a balancer, which has the full configuration.
    pub fn balancer(blackboard: Arc<Blackboard>) -> Self {
        let extent = Extent::Whole;
        Self { blackboard, extent }
    }

    /// The handler of an agent, which has its part of the configuration.
    pub fn agent(blackboard: Arc<Blackboard>) -> Self {
        let extent = Extent::Part;
        Self { blackboard, extent }
    }

    fn config(
        &self,
        from: SocketAddr,
        known_version: ConfigVersion,
        agent_address: Option<Address>,
    ) -> Reply {
        let Some(snapshot) = self.blackboard.config() else {
            return Reply::Version(0);
        };
        let document = &snapshot.document;
        if document.version <= known_version {
            return Reply::Version(document.version);
        }
        match agent_address {
            Some(agent_address) if agent_address.ip() != from.ip() => {
                Reply::Refused("the call comes from another address".to_owned())
            }
            Some(agent_address) => self.part(document, known_version, agent_address),
            None if self.extent == Extent::Part => Reply::Redirect(self.addresses()),
            None => Reply::Config(Box::new(document.clone())),
        }
    }

    /// The part for the agent at `agent_address`. An agent that is no longer admitted but has a
    /// configuration gets a document without services and upstreams, from which it learns that. One
    /// that has none gets no document, and so no secrets.
    fn part(
        &self,
        document: &Document,
        known_version: ConfigVersion,
        agent_address: Address,
    ) -> Reply {
        match document.for_agent(agent_address) {
            Some(part) => Reply::Config(Box::new(part)),
            None if self.extent == Extent::Part => Reply::Redirect(self.addresses()),
            None if known_version > 0 => Reply::Config(Box::new(document.without_services())),
            None => Reply::NotAdmitted(document.version),
        }
    }

    fn balancers(&self) -> Vec<Registration> {
        let known = self.blackboard.balancers();
        let chosen = known.choose_multiple(&mut rand::rng(), MAX_BALANCERS_PER_REPLY);
        chosen.cloned().collect()
    }

    fn addresses(&self) -> Vec<Address> {
        self.balancers().iter().map(|b| b.listen).collect()
    }

    fn events(&self, after: u64) -> Reply {
        let events = self
            .blackboard
            .events(after)
            .into_iter()
            .take(MAX_EVENTS_PER_REPLY);
        let texts = events.filter_map(|(number, event)| {
            let text = serde_json::to_string(&event).ok()?;
            Some((number, text))
        });
        Reply::Events(texts.collect())
    }
}

#[async_trait]
impl Handler for CommonHandler {
    async fn answer(&self, from: SocketAddr, call: Call) -> Reply {
        match call {
            Call::Config {
                known_version,
                agent_address,
            } => self.config(from, known_version, agent_address),
            Call::Balancers => Reply::Balancers(self.balancers()),
            Call::Version => Reply::Version(self.blackboard.version()),
            Call::Events { after } => self.events(after),
            Call::Relay(_) => Reply::Refused("requests are not run here".to_owned()),
        }
    }
}
