//! What a process answers to another.

use sassafrasmast_core::config::{Document, Registration};
use sassafrasmast_wire::{Address, ConfigVersion};
use serde::{Deserialize, Serialize};

/// The answer to a [`super::Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A newer configuration.
    Config(Box<Document>),
    /// No newer configuration is here; this is the version in force.
    Version(ConfigVersion),
    /// A newer configuration is here, but no agent of that address is admitted in it.
    NotAdmitted(ConfigVersion),
    /// Only a part of the configuration is here; these balancers have the whole.
    Elsewhere(Vec<Address>),
    /// Live balancers.
    Balancers(Vec<Registration>),
    /// Events, one JSON text each, with their numbers.
    Events(Vec<(u64, String)>),
    /// The call cannot be answered here.
    Refused(String),
}
