//! Handling of signals sent by the platform.

use anyhow::Context;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Streams of the handled signals.
#[derive(Debug)]
pub(crate) struct Signals {
    terminate: Signal,
    reload: Signal,
}

/// Meaning of a signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Command {
    /// Prepare to stop: the platform kills the process after a grace period.
    Stop,
    /// Read the settings file again.
    Reload,
}

impl Signals {
    /// Installs the signal handlers.
    pub(crate) fn new() -> anyhow::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())
                .context("cannot install the SIGTERM handler")?,
            reload: signal(SignalKind::hangup()).context("cannot install the SIGHUP handler")?,
        })
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> Command {
        tokio::select! {
            _ = self.terminate.recv() => Command::Stop,
            _ = self.reload.recv() => Command::Reload,
        }
    }
}
