//! The platform's key-value store as an etcd v3 HTTP/JSON gateway in memory.

mod counts;
mod fault;
mod gateway;
mod table;

pub use self::{counts::Counts, fault::Fault, gateway::Gateway, table::Table};
