//! The operators' API. Every balancer serves it, and a request may go to any of them.

mod collect;
mod context;
mod endpoint;
mod error;
mod model;
mod server;
mod status;

pub use self::{
    context::{Context, Loads},
    error::Error,
    model::{
        Announced, Behind, Confirm, Confirmed, Events, Health, Numbered, Overview, Process,
        Progress, Role, ServiceStatus, Status, UpstreamStatus, Wish,
    },
    server::{Server, openapi},
};
