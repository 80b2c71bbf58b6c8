//! The head of a packet.

use std::net::SocketAddrV4;

use super::Flags;
use crate::flow::Key;

/// The head of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// The sender's end of the flow.
    pub source: SocketAddrV4,
    /// The receiver's end of the flow.
    pub destination: SocketAddrV4,
    /// Flags.
    pub flags: Flags,
    /// Sequence number.
    pub sequence: u32,
    /// Acknowledged sequence number; the number of the copy in an opening packet.
    pub acknowledgement: u32,
    /// Bytes of data.
    pub data_len: u16,
}

impl Head {
    /// Whether a client's packet opens a flow.
    pub fn opens(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// The flow of a packet that a client wrote.
    pub fn client_flow(&self) -> Key {
        Key {
            client: self.source,
            route: self.destination,
        }
    }

    /// The flow of a packet that an upstream wrote.
    pub fn upstream_flow(&self) -> Key {
        Key {
            client: self.destination,
            route: self.source,
        }
    }
}
