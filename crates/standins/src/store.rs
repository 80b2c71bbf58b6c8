//! The platform's key-value store: an in-memory etcd v3 HTTP/JSON gateway.

mod counts;
mod fault;
mod gateway;
mod table;

pub use self::{counts::Counts, fault::Fault, gateway::Gateway, table::Table};
