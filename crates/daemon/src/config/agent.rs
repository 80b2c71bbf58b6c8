//! The parts that keep an agent's configuration.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use sassafrasmast_wire::Address;
use tokio::{task::JoinSet, time::sleep};

use super::{Installer, Puller, jitter::jittered};
use crate::{
    peer::{self, Call, Handler, Reply, Server},
    recorder::Recorder,
};

/// Longest time between two questions for the list of balancers.
const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Time between questions while no balancer is known.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(500);

/// An agent's running configuration tasks. They end when this is dropped.
#[derive(Debug)]
pub struct Agent {
    /// Puts documents in force and reports new versions.
    pub installer: Installer,
    /// Pulls from balancers whose frames show a newer version.
    pub puller: Puller,
    _tasks: JoinSet<()>,
}

impl Agent {
    /// Starts the tasks of the agent that listens on `listen`: peer calls, answered by `handler`
    /// (at least what [`peer::Common::agent`] answers), pulls, and the list of balancers, first
    /// asked of `entries`.
    ///
    /// # Errors
    ///
    /// If the address for peer calls cannot be bound.
    pub async fn start(
        recorder: Recorder,
        listen: SocketAddr,
        entries: Vec<SocketAddr>,
        handler: Arc<dyn Handler>,
    ) -> anyhow::Result<Self> {
        let server = Server::bind(listen).await?;
        let installer = Installer::new(recorder);
        let puller = Puller::start(installer.clone(), listen, Some(listen), entries.clone());
        let mut tasks = JoinSet::new();
        tasks.spawn(server.run(handler));
        tasks.spawn(list(installer.clone(), listen, entries));
        Ok(Self {
            installer,
            puller,
            _tasks: tasks,
        })
    }
}

/// Keeps the list of balancers on the blackboard. When no known one answers, the entries of the
/// settings are asked again.
async fn list(installer: Installer, listen: SocketAddr, entries: Vec<SocketAddr>) {
    loop {
        let board = installer.board();
        let known: Vec<Address> = board.balancers().iter().map(|b| b.listen).collect();
        let first = known.choose(&mut rand::rng());
        let second = entries.choose(&mut rand::rng());
        let mut wait = FIRST_LIST_INTERVAL;
        for &target in first.into_iter().chain(second) {
            if let Ok(Reply::Balancers(list)) =
                peer::call(listen.ip(), target, &Call::Balancers).await
            {
                board.set_balancers(list);
                wait = LIST_INTERVAL;
                break;
            }
        }
        sleep(jittered(wait)).await;
    }
}
