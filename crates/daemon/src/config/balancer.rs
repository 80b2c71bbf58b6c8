//! Configuration tasks of a balancer.

use std::{net::SocketAddr, sync::Arc};

use sassafrasmast_core::config::Registration;
use tokio::{
    net::UdpSocket,
    task::{AbortHandle, JoinSet},
};

use super::{Confirmer, Installer, Notifier, Puller, Registrar, Watcher};
use crate::{
    peer::{CommonHandler, Server},
    recorder::Recorder,
    store::Store,
};

/// A balancer's running configuration tasks. They end when this is dropped.
#[derive(Debug)]
pub struct Balancer {
    /// Puts documents in force and reports new versions.
    pub installer: Installer,
    /// Pulls from peers whose frames show a newer version.
    pub puller: Puller,
    /// Confirms plans.
    pub confirmer: Confirmer,
    registrar: Registrar,
    registration: AbortHandle,
    _tasks: JoinSet<()>,
}

impl Balancer {
    /// Starts the tasks: the server for peer calls on `own.listen`, the watch on the store, the
    /// registration, pulls, and notifications of new versions from `socket`, which is bound to
    /// `own.listen`.
    ///
    /// # Errors
    ///
    /// If the address for peer calls cannot be bound.
    pub async fn start(
        recorder: Recorder,
        store: Arc<dyn Store>,
        own: Registration,
        peers: Vec<SocketAddr>,
        socket: Arc<UdpSocket>,
    ) -> anyhow::Result<Self> {
        let server = Server::bind(own.listen).await?;
        let blackboard = recorder.blackboard().clone();
        blackboard.set_balancers(vec![own.clone()]);
        let installer = Installer::new(recorder.clone());
        let notifier = Notifier::new(installer.clone(), socket, own.listen);
        let puller = Puller::start(installer.clone(), own.listen, None, peers);
        let confirmer = Confirmer::new(store.clone(), installer.clone());
        let watcher = Watcher::new(store.clone(), installer.clone());
        let registrar = Registrar::new(store, recorder, own);
        let mut tasks = JoinSet::new();
        tasks.spawn(server.run(Arc::new(CommonHandler::balancer(blackboard))));
        tasks.spawn(watcher.run());
        let registration = tasks.spawn(registrar.clone().keep_registered());
        tasks.spawn(registrar.clone().keep_list_current());
        tasks.spawn(notifier.run());
        Ok(Self {
            installer,
            puller,
            confirmer,
            registrar,
            registration,
            _tasks: tasks,
        })
    }

    /// Withdraws the registration; the other tasks continue.
    pub async fn leave(&self) {
        self.registration.abort();
        self.registrar.leave().await;
    }
}
