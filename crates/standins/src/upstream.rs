//! An upstream: an HTTP/1.1 server with slots, cold starts, collapses and misleading reports.

mod counts;
mod fault;
mod server;
mod settings;
mod workload;

pub use self::{
    counts::Counts,
    fault::Fault,
    server::{Server, checksum},
    settings::Settings,
    workload::Workload,
};
