//! Configuration tasks of an agent.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::seq::IndexedRandom;
use sassafrasmast_wire::Address;
use tokio::{task::JoinSet, time::sleep};

use super::{Installer, Puller, jitter::jittered};
use crate::{
    peer::{self, Call, Handler, Reply, Server},
    recorder::Recorder,
};

/// Longest time between two requests for the list of balancers.
const LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Longest time between requests while no balancer answers.
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
    /// Starts the tasks of the agent that listens on `listen`: a server for peer calls, pulls, and
    /// the refresh of the list of balancers, which is first requested from `entries`. `handler`
    /// answers at least the calls that [`peer::CommonHandler::agent`] answers.
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
        tasks.spawn(refresh_balancers(installer.clone(), listen, entries));
        Ok(Self {
            installer,
            puller,
            _tasks: tasks,
        })
    }
}

/// Keeps the list of balancers on the blackboard current. If the known balancer that is asked does
/// not answer, one of `entries` is asked.
async fn refresh_balancers(installer: Installer, listen: SocketAddr, entries: Vec<SocketAddr>) {
    loop {
        let blackboard = installer.blackboard();
        let known: Vec<Address> = blackboard.balancers().iter().map(|b| b.listen).collect();
        let first = known.choose(&mut rand::rng());
        let second = entries.choose(&mut rand::rng());
        let mut wait = FIRST_LIST_INTERVAL;
        for &target in first.into_iter().chain(second) {
            if let Ok(Reply::Balancers(list)) =
                peer::call(listen.ip(), target, &Call::Balancers).await
            {
                blackboard.set_balancers(list);
                wait = LIST_INTERVAL;
                break;
            }
        }
        sleep(jittered(wait)).await;
    }
}
