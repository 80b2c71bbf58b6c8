//! The fleet's configuration: one versioned document that only confirmed plans change.

mod change;
mod confirmation;
mod digest;
pub mod dissemination;
pub mod document;
mod effect;
mod error;
mod outcome;
mod plan;
mod record;
mod registration;
mod secret;
mod service;
mod snapshot;
mod upstream;
mod zone;

pub use self::{
    change::Change,
    confirmation::{Confirmation, Reply, Revision, Step},
    dissemination::Dissemination,
    document::Document,
    effect::Effect,
    error::Error,
    outcome::Outcome,
    plan::{MAX_CHANGES, Plan},
    record::Record,
    registration::Registration,
    secret::Secrets,
    service::Service,
    snapshot::Snapshot,
    upstream::Upstream,
    zone::Zone,
};

/// Name of an availability zone.
pub type ZoneName = String;

/// Name of a service.
pub type ServiceName = String;

/// Idempotency key of a confirm, chosen by the client. Stored as `ID:DIGEST` with the digest of the
/// confirmed plan.
pub type OperationId = String;

/// SHA-256 digest in hexadecimal.
pub type Digest = String;
