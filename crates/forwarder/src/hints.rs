//! What the event loop of a process tells its watcher of the store.

use std::sync::Arc;

use sassafrasmast_core::flow::Revision;
use tokio::sync::{Notify, watch};

use crate::peer::Snapshot;

/// What the event loop of a process tells its watcher of the store.
#[derive(Debug, Default)]
pub struct Hints {
    /// Whether a service has no upstream, so that agents are to be learned of sooner.
    pub starved: watch::Sender<bool>,
    /// Notified when the balancer needs a list of agents that is complete at present.
    pub list_requests: Arc<Notify>,
    /// Revision up to which a peer knew a change that this process did not.
    pub peer_changes: watch::Sender<Revision>,
}

impl Hints {
    /// Records what a pull from a peer returned.
    pub fn record_snapshot(&self, snapshot: &Snapshot) {
        if snapshot.intent.is_some() {
            self.peer_changes.send_replace(snapshot.revision);
        }
    }
}
