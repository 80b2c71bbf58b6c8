//! Signals that the platform sends.

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals that the platform sends.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    reload: Signal,
}

/// What a signal asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Request {
    /// Leave: the process is killed after a grace time.
    Stop,
    /// The settings file has changed.
    Reload,
}

impl Signals {
    /// Listens for signals.
    pub(crate) fn new() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).context("signals: SIGTERM")?,
            reload: signal(SignalKind::hangup()).context("signals: SIGHUP")?,
        })
    }

    /// The next signal.
    pub(crate) async fn next(&mut self) -> Request {
        tokio::select! {
            _ = self.terminate.recv() => Request::Stop,
            _ = self.reload.recv() => Request::Reload,
        }
    }
}
