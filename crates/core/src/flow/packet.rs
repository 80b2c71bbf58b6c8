//! The part of a packet that is visible to balancers and agents: its head.

mod flags;
mod head;

pub use self::{flags::Flags, head::Head};
