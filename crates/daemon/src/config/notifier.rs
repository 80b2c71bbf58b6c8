//! Notifies other processes of new versions.

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

/// Time between frames after the initial burst: 50 frames of about 40 bytes per second.
const FRAME_INTERVAL: Duration = Duration::from_millis(20);

/// Size of the IP and UDP headers of a frame.
const IP_UDP_HEADER_BYTES: u64 = 28;

/// Number of times that each target is notified, as frames may be lost.
const ROUNDS: usize = 3;

/// Pause between rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(700);

/// Sends frames with the new version from the address at which other processes know this one.
#[derive(Debug)]
pub struct Notifier {
    installer: Installer,
    socket: Arc<UdpSocket>,
    listen: SocketAddr,
}

impl Notifier {
    /// A notifier that sends from `socket`, which is bound to `listen`.
    pub fn new(installer: Installer, socket: Arc<UdpSocket>, listen: SocketAddr) -> Self {
        Self {
            installer,
            socket,
            listen,
        }
    }

    /// Sends notifications of each new version until the future is dropped. A newer version ends
    /// the notifications of an older one, as its frames serve for both.
    pub async fn run(self) {
        let mut versions = self.installer.subscribe();
        let mut notified: Option<Arc<Snapshot>> = None;
        loop {
            let Some(current) = self.installer.blackboard().config() else {
                if versions.changed().await.is_err() {
                    return;
                }
                continue;
            };
            let targets = self
                .dissemination(notified.as_deref(), &current.document)
                .targets;
            let version = current.document.version;
            notified = Some(current);
            tokio::select! {
                () = self.notify(version, &targets) => if versions.changed().await.is_err() {
                    return;
                },
                changed = versions.changed() => if changed.is_err() {
                    return;
                },
            }
        }
    }

    fn dissemination(&self, before: Option<&Snapshot>, document: &Document) -> Dissemination {
        let balancers = self.installer.blackboard().balancers();
        let listens: Vec<_> = balancers.iter().map(|b| b.listen).collect();
        let before = before.map(|before| &before.document);
        Dissemination::new(before, document, &listens, self.listen, &mut rand::rng())
    }

    async fn notify(&self, version: ConfigVersion, targets: &[Address]) {
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
                    sleep(FRAME_INTERVAL).await;
                }
                // The next round repeats a lost frame, and frames with data carry the version too.
                let _ = timeout(FRAME_INTERVAL, self.socket.send_to(&buffer, target)).await;
                let bytes = buffer.len() as u64 + IP_UDP_HEADER_BYTES;
                self.installer.blackboard().add_control_bytes(bytes);
            }
            sleep(ROUND_PAUSE).await;
        }
    }
}
