//! A stateless reset (RFC 9000 §10.3).

use rand::Rng;
use sassafrasmast_wire::keys::RESET_TOKEN_BYTES;

/// Smallest reset in bytes that looks like a packet.
const MIN_BYTES: usize = 5 + RESET_TOKEN_BYTES;

/// Largest reset in bytes; longer ones would gain nothing.
const MAX_BYTES: usize = 43;

/// Mask and value of the two bits that mark a short header.
const UNPREDICTABLE_MASK: u8 = 0x3f;
const SHORT_HEADER_BITS: u8 = 0x40;

/// A datagram that a caller's QUIC takes as the end of its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reset(Vec<u8>);

impl Reset {
    /// Makes the reset that answers a packet of `packet_bytes` bytes; always shorter than it, so that
    /// two ends cannot reset each other for ever. `None` if the packet is too short to answer.
    pub(super) fn new(
        rng: &mut impl Rng,
        token: [u8; RESET_TOKEN_BYTES],
        packet_bytes: usize,
    ) -> Option<Self> {
        let length = packet_bytes.checked_sub(1)?.min(MAX_BYTES);
        if length < MIN_BYTES {
            return None;
        }
        let mut bytes = vec![0; length];
        let (unpredictable, token_field) = bytes.split_at_mut(length - RESET_TOKEN_BYTES);
        rng.fill(unpredictable);
        unpredictable[0] = unpredictable[0] & UNPREDICTABLE_MASK | SHORT_HEADER_BITS;
        token_field.copy_from_slice(&token);
        Some(Self(bytes))
    }

    /// The datagram.
    pub fn bytes(&self) -> &[u8] {
        &self.0
    }
}
