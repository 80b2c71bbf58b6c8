//! Reload of settings while a process runs.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::{log::Log, platform::Platform, settings::Settings};

/// Interval of reading the settings: the file may change without a signal.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// State of the periodic reload.
#[derive(Debug)]
pub struct Reload {
    read_at: Instant,
    /// The last error that was logged, so that it is not repeated on each read.
    last_error: Option<String>,
}

impl Reload {
    /// Starts the interval at `now`, when the settings were read.
    pub fn new(now: Instant) -> Self {
        Self {
            read_at: now,
            last_error: None,
        }
    }

    /// Whether the settings are due to be read again.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.read_at) >= READ_INTERVAL
    }

    /// Reads the settings and applies those that may change at run time. Returns whether any was
    /// applied; only then are those logged that need a restart. Invalid settings are logged and
    /// change nothing.
    pub fn run(
        &mut self,
        now: Instant,
        platform: &impl Platform,
        settings: &mut Settings,
        log: &mut Log,
    ) -> bool {
        self.read_at = now;
        match platform.settings() {
            Ok(new) if new == *settings => {
                self.last_error = None;
                false
            }
            Ok(new) => {
                self.last_error = None;
                let before = settings.clone();
                let needs_restart = settings.apply(new);
                if *settings == before {
                    return false;
                }
                log.line(now, "reload", || [("needs_restart", json!(needs_restart))]);
                true
            }
            Err(error) => {
                let reason = format!("{error:#}");
                if self.last_error.as_ref() != Some(&reason) {
                    log.line(now, "reload_refused", || {
                        [("reason", reason.as_str().into())]
                    });
                    self.last_error = Some(reason);
                }
                false
            }
        }
    }
}
