//! Queued pulls of a newer configuration.

use std::net::SocketAddr;

use sassafrasmast_wire::ConfigVersion;
use tokio::sync::mpsc;

use crate::config::Puller;

/// A pull of the configuration from a process that has a newer one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// Address of the process.
    pub from: SocketAddr,
    /// The version in force there.
    pub version: ConfigVersion,
}

/// Passes queued pulls on to the puller.
pub(super) fn serve(mut pulls: mpsc::Receiver<Pull>, puller: Puller) {
    tokio::spawn(async move {
        while let Some(pull) = pulls.recv().await {
            log::debug!(
                "balancer: {} has config version {}",
                pull.from,
                pull.version
            );
            puller.request(pull.from);
        }
    });
}
