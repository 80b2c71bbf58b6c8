//! Replies to calls.

use sassafrasmast_core::config::{Document, Registration};
use sassafrasmast_wire::{Address, ConfigVersion};
use serde::{Deserialize, Serialize};

/// The reply to a [`super::Call`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// A newer configuration.
    Config(Box<Document>),
    /// The config version in force at the peer, 0 for none: the reply to [`super::Call::Version`],
    /// and to [`super::Call::Config`] if the peer has no newer one.
    Version(ConfigVersion),
    /// The peer has a newer configuration, of this version, but it admits no agent at the address.
    NotAdmitted(ConfigVersion),
    /// The peer has only part of the configuration. Contains balancers, which have all of it.
    Redirect(Vec<Address>),
    /// Live balancers.
    Balancers(Vec<Registration>),
    /// Numbers of events and the events as JSON.
    Events(Vec<(u64, String)>),
    /// The peer refuses to answer the call, for this reason.
    Refused(String),
}
