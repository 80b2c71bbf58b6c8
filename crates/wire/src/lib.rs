//! Frames and sealed identifiers exchanged between sassafrasmast processes.
//!
//! [`Frame`] is sent over UDP between balancers and agents, [`Cid`] is the routable QUIC connection
//! id, and [`Ticket`] names the only agent that may run a non-idempotent request. [`flow`] contains
//! the frames of flow forwarding. No module of this crate does I/O or reads a clock.

pub mod address;
pub mod body;
pub mod cid;
mod codec;
pub mod error;
pub mod flow;
pub mod frame;
pub mod keys;
pub mod load;
pub mod state;
pub mod ticket;

pub use self::{
    address::Address, body::Body, cid::Cid, error::Error, frame::Frame, keys::Keys, load::Load,
    state::State, ticket::Ticket,
};

/// Id of an admitted upstream and its agent. Assigned at admission and never reused.
pub type AgentId = u32;

/// Version of the fleet's configuration. Increases with each change.
pub type ConfigVersion = u64;

/// Number of a process start: milliseconds since the Unix epoch, raised by the process if needed so
/// that each start has a greater number than the one before.
pub type Incarnation = u64;

/// Phase of a sealing key, the unencrypted first byte of a sealed identifier.
pub type KeyPhase = u8;

/// Id of a service. Assigned when the service is created and never reused.
pub type ServiceId = u16;
