//! The network fabric: forwards each datagram of a caller to a random balancer (packet spraying).

mod fault;
mod forwarder;
mod settings;

pub use self::{fault::Fault, forwarder::Forwarder, settings::Settings};
