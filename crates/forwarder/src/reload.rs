//! Settings that change while a process runs.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::{log::Log, platform::Platform, settings::Settings};

/// How often the settings are read again: they may change without a signal.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings again when it is time to.
#[derive(Debug)]
pub struct Reload {
    read_at: Instant,
    last_error: Option<String>,
}

impl Reload {
    /// The settings were read at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            read_at: now,
            last_error: None,
        }
    }

    /// Whether it is time to read the settings again.
    pub fn is_due(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.read_at) >= READ_INTERVAL
    }

    /// Reads the settings and takes over what may change. Tells whether anything did; settings
    /// that are wrong change nothing.
    pub fn read(
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
                let fixed = settings.reload(new);
                if *settings == before {
                    return false;
                }
                log.line(now, "reload", || [("needs_restart", json!(fixed))]);
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
