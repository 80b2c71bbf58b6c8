//! The one way a document comes in force in a process.

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
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
    /// A confirm in this process.
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

/// Checks documents and puts them in force; tells all who wait for a new version.
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

    /// The blackboard on which documents come in force.
    pub fn board(&self) -> &Arc<Blackboard> {
        self.recorder.blackboard()
    }

    /// The recorder of the process.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Reports each new version in force.
    pub fn subscribe(&self) -> watch::Receiver<ConfigVersion> {
        self.version.subscribe()
    }

    /// Puts `document` in force if it is valid and newer. A lower version and an invalid
    /// document are refused, logged and recorded. Returns whether it came in force.
    pub fn install(&self, document: Document, origin: Origin) -> bool {
        let version = document.version;
        let current = self.board().version();
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
        if !self.board().install(snapshot) {
            return false;
        }
        log::info!("config: version {version} from {origin} is in force.");
        self.recorder.record(Kind::ConfigInForce { version });
        metrics::gauge!("sassafrasmast_config_version").set(version as f64);
        self.version.send_if_modified(|known| {
            let newer = version > *known;
            *known = version.max(*known);
            newer
        });
        true
    }

    /// Logs and records that a document was refused. The same one is told only once in a row,
    /// as it may be offered again and again.
    pub fn refuse(&self, version: ConfigVersion, origin: Origin, reason: String) {
        let mut refused = self.refused.lock().unwrap_or_else(PoisonError::into_inner);
        if refused.replace((version, origin)) == Some((version, origin)) {
            return;
        }
        drop(refused);
        log::warn!("config: version {version} from {origin} is refused: {reason}.");
        self.recorder
            .record(Kind::ConfigRefused { version, reason });
    }
}
