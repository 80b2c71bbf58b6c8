//! The fabric: sprays each datagram of a caller to a random balancer.

mod fault;
mod settings;
mod spray;

pub use self::{fault::Fault, settings::Settings, spray::Spray};
