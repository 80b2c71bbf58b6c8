//! The parts that keep a balancer's configuration.

use std::{net::SocketAddr, sync::Arc};

use sassafrasmast_core::config::Registration;
use tokio::{
    net::UdpSocket,
    task::{AbortHandle, JoinSet},
};

use super::{Executor, Installer, Puller, Registrar, Spread, Watcher};
use crate::{
    peer::{Common, Server},
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
    pub executor: Executor,
    registrar: Registrar,
    registration: AbortHandle,
    _tasks: JoinSet<()>,
}

impl Balancer {
    /// Starts the tasks: peer calls on `own.listen`, the watch on the store, the registration,
    /// pulls and the spread of new versions from `socket`, which is bound to `own.listen`.
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
        let board = recorder.blackboard().clone();
        board.set_balancers(vec![own.clone()]);
        let installer = Installer::new(recorder.clone());
        let spread = Spread::new(installer.clone(), socket, own.listen);
        let puller = Puller::start(installer.clone(), own.listen, None, peers);
        let executor = Executor::new(store.clone(), installer.clone());
        let watcher = Watcher::new(store.clone(), installer.clone());
        let registrar = Registrar::new(store, recorder, own);
        let mut tasks = JoinSet::new();
        tasks.spawn(server.run(Arc::new(Common::balancer(board))));
        tasks.spawn(watcher.run());
        let registration = tasks.spawn(registrar.clone().register());
        tasks.spawn(registrar.clone().list());
        tasks.spawn(spread.run());
        Ok(Self {
            installer,
            puller,
            executor,
            registrar,
            registration,
            _tasks: tasks,
        })
    }

    /// Withdraws the registration; the other tasks go on.
    pub async fn leave(&self) {
        self.registration.abort();
        self.registrar.leave().await;
    }
}
