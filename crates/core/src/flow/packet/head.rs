//! The head of a packet.

use std::net::SocketAddrV4;

use super::Flags;
use crate::flow::Key;

/// The head of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Address of the sender.
    pub source: SocketAddrV4,
    /// Address of the receiver.
    pub destination: SocketAddrV4,
    /// Flags.
    pub flags: Flags,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
    /// Acknowledged sequence number. In a SYN the number of the copy, 0 in the first one.
    pub acknowledgement: u32,
    /// Bytes of data.
    pub data_len: u16,
}

impl Head {
    /// Whether a client's packet opens a flow: a SYN without ACK.
    pub fn opens(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// The flow of a packet that a client sent.
    pub fn client_flow(&self) -> Key {
        Key {
            client: self.source,
            route: self.destination,
        }
    }

    /// The flow of a packet that an upstream sent.
    pub fn upstream_flow(&self) -> Key {
        Key {
            client: self.destination,
            route: self.source,
        }
    }
}
