//! The two roles of the daemon.

pub mod agent;
pub mod balancer;
