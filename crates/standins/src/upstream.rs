//! An upstream: an HTTP/1.1 server with slots, cold starts, collapses and misleading reports.

mod capacity;
mod counts;
mod fault;
mod server;
mod settings;

pub use self::{
    capacity::Capacity,
    counts::Counts,
    fault::Fault,
    server::{Server, checksum},
    settings::Settings,
};
