//! What the loop of a process takes in besides datagrams.

use std::sync::Arc;

use sassafrasmast_store::Range;
use tokio::sync::{mpsc, watch};

use crate::{
    follow::{Event, Follower},
    metrics,
    peer::{self, Known, Pull},
    platform::Platform,
    settings::Settings,
    signals::Signals,
    status,
};

/// Inputs of one kind that wait for the loop.
pub(crate) const WAITING: usize = 256;

/// What the loop of a process takes in besides datagrams, and the ends that it answers at. Both
/// roles have these.
pub(crate) struct Inputs {
    pub(crate) signals: Signals,
    /// What following the store and asking other processes finds.
    pub(crate) events: mpsc::Receiver<Event>,
    /// Operators' questions for the status.
    pub(crate) questions: mpsc::Receiver<status::Question>,
    /// Takes questions to other processes.
    pub(crate) pulls: mpsc::Sender<Pull>,
    /// Takes what other processes are told.
    pub(crate) known: watch::Sender<Arc<Known>>,
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
        let recorded = metrics::install()?;
        let signals = Signals::new()?;
        let (sender, events) = mpsc::channel(WAITING);
        tokio::spawn(Follower::new(Arc::clone(platform), range, sender.clone()).run());
        let pulls = peer::puller(sender);
        let (known, latest) = watch::channel(Arc::default());
        peer::serve(settings.frames, latest).await?;
        let questions = metrics::serve(settings.metrics, recorded).await?;
        Ok(Self {
            signals,
            events,
            questions,
            pulls,
            known,
        })
    }
}
