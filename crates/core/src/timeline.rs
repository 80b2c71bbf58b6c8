//! Timeline: typed events of all processes that can be merged in the order of time.

mod event;
pub mod flow_id;
mod kind;
mod ring;

pub use self::{event::Event, kind::Kind, ring::Ring};

/// Identifies a flow: a hash of its caller address, the same in all processes.
pub type FlowId = u64;

/// Identifies a request within the incarnation of the agent that received it first.
pub type RequestId = u64;
