//! The calls that both roles answer.

use std::{net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use rand::seq::IndexedRandom;
use sassafrasmast_core::{
    Blackboard,
    config::{Document, Registration},
};
use sassafrasmast_wire::{Address, ConfigVersion};

use super::{Call, Handler, Reply};

/// Balancers named in one reply; a random choice of them if there are more.
const MAX_BALANCERS: usize = 16;

/// Events in one reply; the asker asks again for the rest.
const MAX_EVENTS: usize = 4_096;

/// How much of the configuration a process has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extent {
    Whole,
    Part,
}

/// Answers from the blackboard.
#[derive(Debug)]
pub struct Common {
    board: Arc<Blackboard>,
    extent: Extent,
}

impl Common {
    /// Answers for a balancer, which has the whole configuration.
    pub fn balancer(board: Arc<Blackboard>) -> Self {
        let extent = Extent::Whole;
        Self { board, extent }
    }

    /// Answers for an agent, which has its part of the configuration.
    pub fn agent(board: Arc<Blackboard>) -> Self {
        let extent = Extent::Part;
        Self { board, extent }
    }

    fn config(&self, from: SocketAddr, have: ConfigVersion, agent: Option<Address>) -> Reply {
        let Some(snapshot) = self.board.config() else {
            return Reply::Version(0);
        };
        let document = &snapshot.document;
        if document.version <= have {
            return Reply::Version(document.version);
        }
        match agent {
            Some(agent) if agent.ip() != from.ip() => {
                Reply::Refused("the call comes from another address".to_owned())
            }
            Some(agent) => self.part(document, have, agent),
            None if self.extent == Extent::Part => Reply::Elsewhere(self.addresses()),
            None => Reply::Config(Box::new(document.clone())),
        }
    }

    /// The part of `agent`. One that has a configuration and is no longer admitted learns that
    /// it is not; one that has none gets no secrets.
    fn part(&self, document: &Document, have: ConfigVersion, agent: Address) -> Reply {
        match document.for_agent(agent) {
            Some(part) => Reply::Config(Box::new(part)),
            None if self.extent == Extent::Part => Reply::Elsewhere(self.addresses()),
            None if have > 0 => Reply::Config(Box::new(document.without_services())),
            None => Reply::NotAdmitted(document.version),
        }
    }

    fn balancers(&self) -> Vec<Registration> {
        let known = self.board.balancers();
        let chosen = known.choose_multiple(&mut rand::rng(), MAX_BALANCERS);
        chosen.cloned().collect()
    }

    fn addresses(&self) -> Vec<Address> {
        self.balancers().iter().map(|b| b.listen).collect()
    }

    fn events(&self, after: u64) -> Reply {
        let events = self.board.events(after).into_iter().take(MAX_EVENTS);
        let texts = events.filter_map(|(number, event)| {
            let text = serde_json::to_string(&event).ok()?;
            Some((number, text))
        });
        Reply::Events(texts.collect())
    }
}

#[async_trait]
impl Handler for Common {
    async fn answer(&self, from: SocketAddr, call: Call) -> Reply {
        match call {
            Call::Config { have, agent } => self.config(from, have, agent),
            Call::Balancers => Reply::Balancers(self.balancers()),
            Call::Version => Reply::Version(self.board.version()),
            Call::Events { after } => self.events(after),
            Call::Relay(_) => Reply::Refused("requests are not run here".to_owned()),
        }
    }
}
