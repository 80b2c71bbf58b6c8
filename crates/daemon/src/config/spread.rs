//! Tells other processes about a new version.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use sassafrasmast_core::config::{
    Dissemination, Document, Snapshot, dissemination::MAX_BURST_FRAMES,
};
use sassafrasmast_wire::{Address, Body, ConfigVersion, Frame};
use tokio::{
    net::UdpSocket,
    time::{sleep, timeout},
};

use super::Installer;

/// Pause between frames after the burst: 50 frames of about 40 bytes each second.
const PACE: Duration = Duration::from_millis(20);

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
            let targets = self.audience(told.as_deref(), &current.document).targets;
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

    fn audience(&self, before: Option<&Snapshot>, document: &Document) -> Dissemination {
        let balancers = self.installer.board().balancers();
        let listens: Vec<_> = balancers.iter().map(|b| b.listen).collect();
        let before = before.map(|before| &before.document);
        Dissemination::new(before, document, &listens, self.listen, &mut rand::rng())
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
                if round > 0 || sent >= MAX_BURST_FRAMES {
                    sleep(PACE).await;
                }
                // A lost frame is told again in the next round, and data frames tell as well.
                let _ = timeout(PACE, self.socket.send_to(&buffer, target)).await;
                let bytes = buffer.len() as u64 + HEADER_BYTES;
                self.installer.board().add_control_bytes(bytes);
            }
            sleep(ROUND_PAUSE).await;
        }
    }
}
