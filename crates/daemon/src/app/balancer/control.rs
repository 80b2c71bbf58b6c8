//! The control parts around the edge: configuration, operators' API and the trusted peers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_core::{Blackboard, config::Registration};
use sassafrasmast_wire::{AgentId, Incarnation, Load};
use tokio::time::sleep;

use super::Edge;
use crate::{
    api::{self, Loads},
    config,
    options::{Balancer, Settings},
    recorder::Recorder,
    store::Etcd,
};

/// Time between two looks at the list of balancers.
const TRUST_PERIOD: Duration = Duration::from_millis(250);

/// The running control parts. They end when this is dropped.
pub(super) struct Control {
    pub(super) config: config::Balancer,
    _api: api::Server,
}

impl Loads for Edge {
    fn load(&self, agent: AgentId) -> Option<(Incarnation, Load, Duration)> {
        let now = Instant::now();
        let (incarnation, load) = self.router().load(now, agent)?;
        let age = self.router().report_age(now, agent)?;
        Some((incarnation, load, age))
    }
}

impl Control {
    /// Starts the control parts.
    ///
    /// # Errors
    ///
    /// Names the address that cannot be bound.
    pub(super) async fn start(
        settings: &Settings,
        role: &Balancer,
        recorder: Recorder,
        edge: &Arc<Edge>,
    ) -> anyhow::Result<Self> {
        let own = Registration {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            listen: settings.listen,
            api: role.api,
        };
        let board = Arc::clone(recorder.blackboard());
        let store = Arc::new(Etcd::new(role.store.clone()));
        let peers = role.peers.clone();
        let config =
            config::Balancer::start(recorder, store, own, peers.clone(), edge.socket()).await?;
        tokio::spawn(trust(board, peers, Arc::clone(edge)));
        let context = api::Context {
            listen: settings.listen,
            installer: config.installer.clone(),
            executor: config.executor.clone(),
            loads: Arc::clone(edge) as Arc<dyn Loads>,
        };
        let api = api::Server::start(role.api, context)?;
        Ok(Self { config, _api: api })
    }
}

/// Keeps the router told of the other balancers, whose frames may show a newer configuration.
async fn trust(board: Arc<Blackboard>, peers: Vec<SocketAddr>, edge: Arc<Edge>) {
    let mut known = None;
    loop {
        let balancers = board.balancers();
        let unchanged = known
            .as_ref()
            .is_some_and(|known| Arc::ptr_eq(known, &balancers));
        if !unchanged {
            let listed = balancers.iter().map(|balancer| balancer.listen);
            edge.router()
                .set_trusted_balancers(listed.chain(peers.clone()).collect());
            known = Some(balancers);
        }
        sleep(TRUST_PERIOD).await;
    }
}
