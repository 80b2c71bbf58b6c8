//! Typed events with which the doings of all processes are put in one order.

mod event;
pub mod flow;
mod kind;
mod ring;

pub use self::{event::Event, kind::Kind, ring::Ring};

/// Hash of a flow's connection id or caller address, the same in all processes.
pub type FlowId = u64;

/// Identifies a request within the incarnation of the agent that received it first.
pub type RequestId = u64;
