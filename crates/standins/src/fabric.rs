//! The fabric: sprays each datagram of a caller to a random balancer.

mod fault;
mod forwarder;
mod settings;

pub use self::{fault::Fault, forwarder::Forwarder, settings::Settings};
