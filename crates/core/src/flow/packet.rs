//! The part of a packet that is visible to balancers and agents: its head. Packets belong to a
//! TCP-like protocol, with two differences: upstreams bounce packets that they don't accept, and
//! the acknowledgement number of a SYN is the number of its copy.

mod flags;
mod head;

pub use self::{flags::Flags, head::Head};
