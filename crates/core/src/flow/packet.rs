//! What can be seen of a packet: its head.

mod flags;
mod head;

pub use self::{flags::Flags, head::Head};
