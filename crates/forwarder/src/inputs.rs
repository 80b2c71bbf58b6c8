//! Inputs of a process's event loop other than datagrams.

use std::sync::Arc;

use rand::Rng;
use tokio::sync::{mpsc, watch};

use crate::{
    event::Event,
    hints::Hints,
    membership::Schedule,
    metrics_server,
    peer::{self, View},
    platform::Platform,
    puller::{self, Pull},
    settings::{Role, Settings},
    status,
    watcher::Watcher,
};

/// Events, or calls of the upstream, that may wait for the event loop.
pub(crate) const EVENT_QUEUE_CAPACITY: usize = 256;

/// Channels of a process's event loop, the same for both roles.
pub(crate) struct Inputs {
    /// Events of the store's watcher and results of pulls from peers.
    pub(crate) events: mpsc::Receiver<Event>,
    /// Status requests of operators.
    pub(crate) status_requests: mpsc::Receiver<status::Request>,
    /// Accepts requests to pull from a peer.
    pub(crate) pulls: mpsc::Sender<Pull>,
    /// Accepts the view from which requests of peers are answered.
    pub(crate) view: watch::Sender<Arc<View>>,
    /// Accepts what the watcher of the store is to know.
    pub(crate) hints: Hints,
}

impl Inputs {
    /// Starts the watcher and the servers for peers, metrics and status.
    ///
    /// # Errors
    ///
    /// When an address of the settings cannot be bound.
    pub(crate) async fn start<P: Platform>(
        settings: &Settings,
        platform: &Arc<P>,
    ) -> anyhow::Result<Self> {
        let metrics_handle = metrics_server::install()?;
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let schedule = matches!(settings.role, Role::Balancer)
            .then(|| Schedule::new(settings.link_bytes_per_s, rand::rng().random()));
        let hints = Hints::default();
        let watcher = Watcher::new(
            Arc::clone(platform),
            settings.peers.clone(),
            schedule,
            &hints,
            sender.clone(),
        );
        tokio::spawn(watcher.run());
        let pulls = puller::start_puller(sender);
        let (view, view_receiver) = watch::channel(Arc::default());
        peer::serve(settings.frames, view_receiver.clone()).await?;
        let status_requests =
            metrics_server::serve(settings.metrics, metrics_handle, view_receiver).await?;
        Ok(Self {
            events,
            status_requests,
            pulls,
            view,
            hints,
        })
    }
}
