//! Puts documents in force.

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Instant,
};

use sassafrasmast_core::{
    Blackboard,
    config::{Document, Snapshot},
    timeline::Kind,
};
use sassafrasmast_wire::{Address, ConfigVersion};
use tokio::sync::watch;

use crate::recorder::Recorder;

/// Where a document came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The platform's store.
    Store,
    /// A confirm by this process.
    Confirm,
    /// Another process.
    Peer(Address),
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => write!(f, "the store"),
            Self::Confirm => write!(f, "a confirm"),
            Self::Peer(address) => write!(f, "{address}"),
        }
    }
}

/// Validates documents, puts them in force and notifies subscribers of new versions. Nothing else
/// puts documents in force.
#[derive(Debug, Clone)]
pub struct Installer {
    recorder: Recorder,
    version: Arc<watch::Sender<ConfigVersion>>,
    refused: Arc<Mutex<Option<(ConfigVersion, Origin)>>>,
}

impl Installer {
    /// An installer for the process of `recorder`.
    pub fn new(recorder: Recorder) -> Self {
        let version = Arc::new(watch::Sender::new(recorder.blackboard().version()));
        Self {
            recorder,
            version,
            refused: Arc::default(),
        }
    }

    /// The blackboard that holds the configuration in force.
    pub fn blackboard(&self) -> &Arc<Blackboard> {
        self.recorder.blackboard()
    }

    /// The recorder of the process.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// A channel that reports each new version in force.
    pub fn subscribe(&self) -> watch::Receiver<ConfigVersion> {
        self.version.subscribe()
    }

    /// Puts `document` in force if it is valid and newer. A document that is invalid or has a lower
    /// version is refused, logged and recorded. Returns whether the document was put in force.
    pub fn install(&self, document: Document, origin: Origin) -> bool {
        let version = document.version;
        let current = self.blackboard().version();
        if version == current {
            return false;
        }
        if version < current {
            self.refuse(version, origin, format!("version {current} is in force"));
            return false;
        }
        if let Err(error) = document.validate() {
            self.refuse(version, origin, error.to_string());
            return false;
        }
        let Some(snapshot) = Snapshot::new(document) else {
            self.refuse(version, origin, "the secrets are inconsistent".to_owned());
            return false;
        };
        if !self.blackboard().install(Instant::now(), snapshot) {
            return false;
        }
        log::info!("config: put version {version} from {origin} in force");
        self.recorder.record(Kind::ConfigInForce { version });
        metrics::gauge!("sassafrasmast_config_version").set(version as f64);
        self.version.send_if_modified(|known| {
            let newer = version > *known;
            *known = version.max(*known);
            newer
        });
        true
    }

    /// Logs and records that a document was refused. If the same document is refused several times
    /// in a row, only the first refusal is logged and recorded.
    pub fn refuse(&self, version: ConfigVersion, origin: Origin, reason: String) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        if refused.replace((version, origin)) == Some((version, origin)) {
            return;
        }
        drop(refused);
        log::warn!("config: refused version {version} from {origin}: {reason}");
        self.recorder
            .record(Kind::ConfigRefused { version, reason });
    }
}
