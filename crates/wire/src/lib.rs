//! Messages and sealed identifiers exchanged between sassafrasmast processes.
//!
//! Everything here is plain data with a codec: [`Frame`] travels over UDP between balancers and
//! agents, [`Cid`] is the routable QUIC connection id, [`Ticket`] names the one executor of a
//! non-idempotent request. [`flow`] holds the frames of flow forwarding. No module of this crate does I/O or reads a clock.

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

/// Identifies one admitted upstream and its agent. Assigned at admission and never reused.
pub type AgentId = u32;

/// Version of the fleet's configuration. Only ever grows.
pub type ConfigVersion = u64;

/// One start of a process: milliseconds since the Unix epoch, forced to grow by the process.
pub type Incarnation = u64;

/// Phase of a sealing key, carried in clear as the first byte of an id.
pub type KeyPhase = u8;

/// Identifies a service. Assigned when the service is created and never reused.
pub type ServiceId = u16;
