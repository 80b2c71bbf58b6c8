//! Tells other processes about a new version.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc, time::Duration};

use sassafrasmast_core::config::{Document, Snapshot};
use sassafrasmast_wire::{Address, Body, ConfigVersion, Frame};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

use super::Installer;

/// Frames sent without a pause when a version is new.
const BURST: usize = 64;

/// Pause between frames after the burst: 50 frames of about 40 bytes each second.
const PACE: Duration = Duration::from_millis(20);

/// Balancers that tell the same agent when there are more agents than [`BURST`].
const SHARE: usize = 3;

/// Bytes of IP and UDP headers.
const HEADER_BYTES: u64 = 28;

/// Rounds of telling, in case that frames are lost.
const ROUNDS: usize = 3;

/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(700);

/// Sends frames with the new version from the address that others know as this process's.
#[derive(Debug)]
pub struct Spread {
    installer: Installer,
    socket: Arc<UdpSocket>,
    listen: SocketAddr,
}

impl Spread {
    /// Spreads from `socket`, which is bound to `listen`.
    pub fn new(installer: Installer, socket: Arc<UdpSocket>, listen: SocketAddr) -> Self {
        Self {
            installer,
            socket,
            listen,
        }
    }

    /// Tells of each new version until the task is dropped. A newer version ends the telling of
    /// an older one; the frames of the newer one serve for both.
    pub async fn run(self) {
        let mut versions = self.installer.subscribe();
        let mut told: Option<Arc<Snapshot>> = None;
        loop {
            let Some(current) = self.installer.board().config() else {
                if versions.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let targets = self.targets(told.as_deref(), &current.document);
            let version = current.document.version;
            told = Some(current);
            tokio::select! {
                () = self.tell(version, &targets) => if versions.changed().await.is_err() {
                    return;
                },
                changed = versions.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    }

    /// Who is to be told, most urgent first: agents that the change is about, balancers, others.
    fn targets(&self, before: Option<&Snapshot>, document: &Document) -> Vec<Address> {
        let balancers = self.installer.board().balancers();
        let listens: Vec<_> = balancers.iter().map(|b| b.listen).collect();
        let rank = listens.iter().position(|&l| l == self.listen).unwrap_or(0);
        let urgent = before.map_or_else(BTreeSet::new, |b| concerned(&b.document, document));
        let others = document.upstreams.values().map(|u| u.agent);
        let others: Vec<_> = others.filter(|a| !urgent.contains(a)).collect();
        let urgent: Vec<_> = urgent.into_iter().collect();
        let mut peers = listens.clone();
        peers.rotate_left(rank);
        peers.retain(|&peer| peer != self.listen);
        let mut targets = share(&urgent, rank, listens.len());
        targets.extend(peers);
        targets.extend(share(&others, rank, listens.len()));
        targets
    }

    async fn tell(&self, version: ConfigVersion, targets: &[Address]) {
        let mut buffer = Vec::new();
        if Frame::new(version, Body::Hello)
            .encode(&mut buffer)
            .is_err()
        {
            return;
        }
        for round in 0..ROUNDS {
            for (sent, target) in targets.iter().enumerate() {
                if round > 0 || sent >= BURST {
                    sleep(PACE).await;
                }
                // A lost frame is told again in the next round, and data frames tell as well.
                let _ = timeout(PACE, self.socket.send_to(&buffer, target)).await;
                let bytes = buffer.len() as u64 + HEADER_BYTES;
                self.installer.board().spend(bytes);
            }
            sleep(ROUND_PAUSE).await;
        }
    }
}

/// Agents whose own upstream or zone differs between the two documents.
fn concerned(before: &Document, after: &Document) -> BTreeSet<Address> {
    let both = before.upstreams.iter().chain(&after.upstreams);
    let changed = both.filter(|(agent, upstream)| {
        before.upstreams.get(agent) != after.upstreams.get(agent)
            || before.zones.get(&upstream.zone) != after.zones.get(&upstream.zone)
    });
    changed.map(|(_, upstream)| upstream.agent).collect()
}

/// The part of `list` that the balancer with `rank` of `count` tells: all of a short list, else
/// so much that each member is told by [`SHARE`] balancers.
fn share(list: &[Address], rank: usize, count: usize) -> Vec<Address> {
    if list.len() <= BURST || count <= SHARE {
        return list.to_vec();
    }
    let mine = |index: &usize| (index + rank) % count < SHARE;
    let chosen = list.iter().enumerate().filter(|(index, _)| mine(index));
    chosen.map(|(_, &address)| address).collect()
}
