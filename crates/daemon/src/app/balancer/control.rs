//! The control plane of a balancer: configuration, operators' API and the list of trusted peers.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use sassafrasmast_core::{Blackboard, config::Registration};
use sassafrasmast_wire::{AgentId, Incarnation, Load};
use tokio::time::sleep;

use super::DataPlane;
use crate::{
    api::{self, Loads},
    config,
    options::{Balancer, Settings},
    recorder::Recorder,
    store::Etcd,
};

/// Time between two checks of the list of balancers.
const TRUSTED_PEERS_INTERVAL: Duration = Duration::from_millis(250);

/// The running tasks of the control plane. They end when this is dropped.
pub(super) struct Control {
    pub(super) config: config::Balancer,
    _api: api::Server,
}

impl Loads for DataPlane {
    fn load(&self, agent: AgentId) -> Option<(Incarnation, Load, Duration)> {
        let now = Instant::now();
        let (incarnation, load) = self.router().load(now, agent)?;
        let age = self.router().report_age(now, agent)?;
        Some((incarnation, load, age))
    }
}

impl Control {
    /// Starts the control plane.
    ///
    /// # Errors
    ///
    /// If an address cannot be bound; the error names it.
    pub(super) async fn start(
        settings: &Settings,
        role: &Balancer,
        recorder: Recorder,
        data_plane: &Arc<DataPlane>,
    ) -> anyhow::Result<Self> {
        let registration = Registration {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            listen: settings.listen,
            api: role.api,
        };
        let blackboard = Arc::clone(recorder.blackboard());
        let store = Arc::new(Etcd::new(role.store.clone()));
        let peers = role.peers.clone();
        let config = config::Balancer::start(
            recorder,
            store,
            registration,
            peers.clone(),
            data_plane.socket(),
        )
        .await?;
        tokio::spawn(update_trusted_peers(
            blackboard,
            peers,
            Arc::clone(data_plane),
        ));
        let context = api::Context {
            listen: settings.listen,
            installer: config.installer.clone(),
            confirmer: config.confirmer.clone(),
            loads: Arc::clone(data_plane) as Arc<dyn Loads>,
        };
        let api = api::Server::start(role.api, context)?;
        Ok(Self { config, _api: api })
    }
}

/// Passes changes of the list of balancers on to the router, which accepts newer config versions
/// only from trusted peers.
async fn update_trusted_peers(
    blackboard: Arc<Blackboard>,
    peers: Vec<SocketAddr>,
    data_plane: Arc<DataPlane>,
) {
    let mut applied = None;
    loop {
        let balancers = blackboard.balancers();
        let unchanged = applied
            .as_ref()
            .is_some_and(|applied| Arc::ptr_eq(applied, &balancers));
        if !unchanged {
            let listed = balancers.iter().map(|balancer| balancer.listen);
            data_plane
                .router()
                .set_trusted_balancers(listed.chain(peers.clone()).collect());
            applied = Some(balancers);
        }
        sleep(TRUSTED_PEERS_INTERVAL).await;
    }
}
