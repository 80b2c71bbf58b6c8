//! Decision logic of the sassafrasmast load balancer.
//!
//! Nothing in this crate does I/O or reads a clock: each decision takes the current time as an
//! argument, so the same code runs in the daemon and in the replay of a recorded trace.

pub mod agent;
pub mod announcement;
pub mod balancer;
pub mod blackboard;
pub mod config;
pub mod error;
pub mod flow;
pub mod replay;
pub mod timeline;

pub use self::{announcement::Announcement, blackboard::Blackboard};
