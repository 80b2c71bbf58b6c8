//! A wish to fetch the configuration from a process that has a newer one.

use std::net::SocketAddr;

use sassafrasmast_wire::ConfigVersion;
use tokio::sync::mpsc;

use crate::config::Puller;

/// Whom to ask, and why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pull {
    /// Address of the process that is ahead.
    pub from: SocketAddr,
    /// The version it has in force.
    pub version: ConfigVersion,
}

/// Hands the wishes to the puller.
pub(super) fn watch(mut wanted: mpsc::Receiver<Pull>, puller: Puller) {
    tokio::spawn(async move {
        while let Some(pull) = wanted.recv().await {
            log::debug!("balancer: {} has version {}", pull.from, pull.version);
            puller.request(pull.from);
        }
    });
}
