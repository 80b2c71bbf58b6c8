//! Pulls newer configurations from peers.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use rand::seq::IndexedRandom;
use sassafrasmast_wire::Address;
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

use super::{Installer, Origin, jitter::jittered};
use crate::peer::{self, Call, Reply};

/// Largest number of queued requests; more are dropped, as one pull serves all queued requests.
const MAX_QUEUED_REQUESTS: usize = 16;

/// Pause after a successful pull, so that a burst of frames causes few calls.
const PULL_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a pull that returned no newer version.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// Time between pulls from a random peer while no configuration is in force.
const FIRST_PULL_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time without a requested pull before a pull from a random peer.
const IDLE_INTERVAL: Duration = Duration::from_secs(15);

/// Further peers that are asked after a peer redirected the pull.
const MAX_REDIRECTS: usize = 3;

/// Handle of the pulling task. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Puller {
    requests: mpsc::Sender<Address>,
}

/// State of the pulling task.
#[derive(Debug)]
struct Task {
    installer: Installer,
    listen: SocketAddr,
    agent_address: Option<Address>,
    peers: Vec<Address>,
    requests: mpsc::Receiver<Address>,
}

impl Puller {
    /// Starts the pulling task of the process that listens on `listen`. For an agent, which gets
    /// only its part of the configuration, `agent_address` is its address. `peers` are asked in
    /// addition to the known balancers.
    pub fn start(
        installer: Installer,
        listen: SocketAddr,
        agent_address: Option<Address>,
        peers: Vec<Address>,
    ) -> Self {
        let (sender, requests) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let task = Task {
            installer,
            listen,
            agent_address,
            peers,
            requests,
        };
        tokio::spawn(task.run());
        Self { requests: sender }
    }

    /// Requests a pull from `from`, whose frame carried a higher version. Returns at once.
    pub fn request(&self, from: Address) {
        // If the queue is full, a pull is already due.
        let _ = self.requests.try_send(from);
    }
}

impl Task {
    async fn run(mut self) {
        loop {
            let wait = self.interval();
            let target = match timeout(wait, self.requests.recv()).await {
                Ok(Some(from)) => Some(from),
                Ok(None) => return,
                Err(_) => self.random_peer(),
            };
            let Some(target) = target else { continue };
            let newer = self.pull(target).await;
            while self.requests.try_recv().is_ok() {}
            sleep(if newer { PULL_PAUSE } else { FAILED_PAUSE }).await;
        }
    }

    fn interval(&self) -> Duration {
        if self.installer.blackboard().version() == 0 {
            return FIRST_PULL_INTERVAL;
        }
        jittered(IDLE_INTERVAL)
    }

    fn random_peer(&self) -> Option<Address> {
        let balancers = self.installer.blackboard().balancers();
        let known = balancers.iter().map(|b| b.listen);
        let mut all: Vec<_> = known.chain(self.peers.iter().copied()).collect();
        all.retain(|&peer| peer != self.listen);
        all.choose(&mut rand::rng()).copied()
    }

    /// Pulls from `target`, or from the peers to which it redirects. Returns whether a newer
    /// version was put in force.
    async fn pull(&self, target: Address) -> bool {
        let mut targets = VecDeque::from([target]);
        let mut asked = Vec::new();
        while let Some(peer) = targets.pop_front() {
            if asked.contains(&peer) || asked.len() > MAX_REDIRECTS || peer == self.listen {
                continue;
            }
            asked.push(peer);
            let call = Call::Config {
                known_version: self.installer.blackboard().version(),
                agent_address: self.agent_address,
            };
            match peer::call(self.listen.ip(), peer, &call).await {
                Ok(Reply::Config(document)) => {
                    return self.installer.install(*document, Origin::Peer(peer));
                }
                Ok(Reply::Redirect(others)) => targets.extend(others),
                Ok(Reply::Version(_) | Reply::NotAdmitted(_)) => return false,
                Ok(other) => {
                    log::debug!("config: unexpected reply to a pull from {peer}: {other:?}")
                }
                Err(error) => log::debug!("config: cannot pull from {peer}: {error}"),
            }
        }
        false
    }
}
