//! What the loop of a process takes in besides datagrams.

use std::sync::Arc;

use sassafrasmast_store::Range;
use tokio::sync::{mpsc, watch};

use crate::{
    metrics,
    peer::{self, Pull, View},
    platform::Platform,
    settings::Settings,
    signals::Signals,
    status,
    watcher::{Event, Watcher},
};

/// Inputs of one kind that wait for the loop.
pub(crate) const QUEUE_CAPACITY: usize = 256;

/// What the loop of a process takes in besides datagrams, and the ends that it answers at. Both
/// roles have these.
pub(crate) struct Inputs {
    pub(crate) signals: Signals,
    /// What following the store and asking other processes finds.
    pub(crate) events: mpsc::Receiver<Event>,
    /// Operators' status_requests for the status.
    pub(crate) status_requests: mpsc::Receiver<status::Request>,
    /// Takes status_requests to other processes.
    pub(crate) pulls: mpsc::Sender<Pull>,
    /// Takes what other processes are told.
    pub(crate) view: watch::Sender<Arc<View>>,
}

impl Inputs {
    /// Starts to follow the keys of `range` and serves other processes, metrics and status.
    ///
    /// # Errors
    ///
    /// When an address of the settings cannot be bound.
    pub(crate) async fn start<P: Platform>(
        settings: &Settings,
        platform: &Arc<P>,
        range: Range,
    ) -> anyhow::Result<Self> {
        let metrics_handle = metrics::install()?;
        let signals = Signals::new()?;
        let (sender, events) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(Watcher::new(Arc::clone(platform), range, sender.clone()).run());
        let pulls = peer::start_puller(sender);
        let (view, view_receiver) = watch::channel(Arc::default());
        peer::serve(settings.frames, view_receiver).await?;
        let status_requests = metrics::serve(settings.metrics, metrics_handle).await?;
        Ok(Self {
            signals,
            events,
            status_requests,
            pulls,
            view,
        })
    }
}
