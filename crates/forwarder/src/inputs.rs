//! Inputs of a process's event loop other than datagrams.

use std::sync::Arc;

use sassafrasmast_store::Range;
use tokio::sync::{mpsc, watch};

use crate::{
    metrics_server,
    peer::{self, Pull, View},
    platform::Platform,
    settings::Settings,
    signals::Signals,
    status,
    watcher::{Event, Watcher},
};

/// Events, or calls of the upstream, that may wait for the event loop.
pub(crate) const EVENT_QUEUE_CAPACITY: usize = 256;

/// Channels of a process's event loop, the same for both roles.
pub(crate) struct Inputs {
    pub(crate) signals: Signals,
    /// Events of the store's watcher and results of pulls from peers.
    pub(crate) events: mpsc::Receiver<Event>,
    /// Status requests of operators.
    pub(crate) status_requests: mpsc::Receiver<status::Request>,
    /// Accepts requests to pull from a peer.
    pub(crate) pulls: mpsc::Sender<Pull>,
    /// Accepts the view from which requests of peers are answered.
    pub(crate) view: watch::Sender<Arc<View>>,
}

impl Inputs {
    /// Starts the watcher on the keys of `range` and the servers for peers, metrics and status.
    ///
    /// # Errors
    ///
    /// When an address of the settings cannot be bound.
    pub(crate) async fn start<P: Platform>(
        settings: &Settings,
        platform: &Arc<P>,
        range: Range,
    ) -> anyhow::Result<Self> {
        let metrics_handle = metrics_server::install()?;
        let signals = Signals::new()?;
        let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        tokio::spawn(Watcher::new(Arc::clone(platform), range, sender.clone()).run());
        let pulls = peer::start_puller(sender);
        let (view, view_receiver) = watch::channel(Arc::default());
        peer::serve(settings.frames, view_receiver.clone()).await?;
        let status_requests =
            metrics_server::serve(settings.metrics, metrics_handle, view_receiver).await?;
        Ok(Self {
            signals,
            events,
            status_requests,
            pulls,
            view,
        })
    }
}
