//! A wish to fetch the configuration from a process that has a newer one.

use std::net::SocketAddr;

use sassafrasmast_wire::ConfigVersion;
use tokio::sync::mpsc;

/// Whom to ask, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// Address of the process that is ahead.
    pub from: SocketAddr,
    /// The version it has in force.
    pub version: ConfigVersion,
}

/// Logs what is wanted.
pub(super) fn watch(mut wanted: mpsc::Receiver<Pull>) {
    tokio::spawn(async move {
        while let Some(pull) = wanted.recv().await {
            log::info!("balancer: {} has version {}", pull.from, pull.version);
        }
    });
}
