//! The fleet's configuration: one versioned document, changed only by confirmed plans.

mod document;
mod secret;
mod service;
mod snapshot;
mod upstream;
mod zone;

pub use self::{
    document::Document, secret::Secrets, service::Service, snapshot::Snapshot, upstream::Upstream,
    zone::Zone,
};

/// Name of an availability zone.
pub type ZoneName = String;

/// Name of a service.
pub type ServiceName = String;

/// Chosen by whoever confirms; makes a confirm idempotent.
pub type OperationId = String;
