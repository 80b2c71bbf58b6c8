//! The fleet's configuration: one versioned document, changed only by confirmed plans.

pub mod audience;
mod change;
mod confirmation;
mod digest;
pub mod document;
mod effect;
mod error;
mod plan;
mod record;
mod registration;
mod secret;
mod service;
mod snapshot;
mod upstream;
mod verdict;
mod zone;

pub use self::{
    audience::Audience,
    change::Change,
    confirmation::{Confirmation, Reply, Revision, Step},
    document::Document,
    effect::Effect,
    error::Error,
    plan::Plan,
    record::Record,
    registration::Registration,
    secret::Secrets,
    service::Service,
    snapshot::Snapshot,
    upstream::Upstream,
    verdict::Verdict,
    zone::Zone,
};

/// Name of an availability zone.
pub type ZoneName = String;

/// Name of a service.
pub type ServiceName = String;

/// Chosen by whoever confirms; makes a confirm idempotent.
pub type OperationId = String;

/// SHA-256 in hexadecimal.
pub type Digest = String;
