//! The three kinds of QUIC packets that a balancer distinguishes.

/// Kind of a QUIC packet, as far as its header tells it without decryption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Long header that can open a flow: an Initial of QUIC version 1, or any long header of
    /// another version, in a datagram and with a connection id of at least the required size.
    Initial,
    /// Long header that cannot open a flow.
    Long,
    /// Short header, used after the handshake.
    Short,
}
