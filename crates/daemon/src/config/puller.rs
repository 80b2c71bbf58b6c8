//! Asks peers for a newer configuration.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use rand::seq::IndexedRandom;
use sassafrasmast_wire::Address;
use tokio::{
    sync::mpsc,
    time::{sleep, timeout},
};

use super::{Installer, Origin, jitter::jittered};
use crate::peer::{self, Call, Reply};

/// Requests waiting to be served; more are dropped, as any one of them serves all.
const MAX_WAITING: usize = 16;

/// Pause after a pull, so that a burst of frames causes few calls.
const PULL_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a pull that brought nothing.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// Time between pulls from a random peer while nothing is in force here.
const BOOT_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time between pulls from a random peer without being asked.
const IDLE_INTERVAL: Duration = Duration::from_secs(15);

/// Other peers tried when one says that the configuration is elsewhere.
const MAX_DETOURS: usize = 3;

/// Handle on the pulling task. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Puller {
    requests: mpsc::Sender<Address>,
}

/// What the pulling task knows.
#[derive(Debug)]
struct Task {
    installer: Installer,
    listen: SocketAddr,
    agent: Option<Address>,
    peers: Vec<Address>,
    requests: mpsc::Receiver<Address>,
}

impl Puller {
    /// Starts the pulling task of the process that listens on `listen`. `agent` is its address
    /// if it is an agent, which gets its part only. `peers` are asked besides the known balancers.
    pub fn start(
        installer: Installer,
        listen: SocketAddr,
        agent: Option<Address>,
        peers: Vec<Address>,
    ) -> Self {
        let (sender, requests) = mpsc::channel(MAX_WAITING);
        let task = Task {
            installer,
            listen,
            agent,
            peers,
            requests,
        };
        tokio::spawn(task.run());
        Self { requests: sender }
    }

    /// Asks for a pull from `from`, whose frame showed a newer version. Returns at once.
    pub fn request(&self, from: Address) {
        // A full queue means that a pull is under way already.
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
        if self.installer.board().version() == 0 {
            return BOOT_INTERVAL;
        }
        jittered(IDLE_INTERVAL)
    }

    fn random_peer(&self) -> Option<Address> {
        let balancers = self.installer.board().balancers();
        let known = balancers.iter().map(|b| b.listen);
        let mut all: Vec<_> = known.chain(self.peers.iter().copied()).collect();
        all.retain(|&peer| peer != self.listen);
        all.choose(&mut rand::rng()).copied()
    }

    /// Pulls from `target`, or from where it points. Returns whether a newer version came.
    async fn pull(&self, target: Address) -> bool {
        let mut targets = VecDeque::from([target]);
        let mut asked = Vec::new();
        while let Some(peer) = targets.pop_front() {
            if asked.contains(&peer) || asked.len() > MAX_DETOURS || peer == self.listen {
                continue;
            }
            asked.push(peer);
            let call = Call::Config {
                have: self.installer.board().version(),
                agent: self.agent,
            };
            match peer::call(self.listen.ip(), peer, &call).await {
                Ok(Reply::Config(document)) => {
                    return self.installer.install(*document, Origin::Peer(peer));
                }
                Ok(Reply::Elsewhere(others)) => targets.extend(others),
                Ok(Reply::Version(_) | Reply::NotAdmitted(_)) => return false,
                Ok(other) => log::debug!("config: unexpected reply from {peer}: {other:?}."),
                Err(error) => log::debug!("config: cannot pull from {peer}: {error}."),
            }
        }
        false
    }
}
