//! QUIC stateless resets (RFC 9000 §10.3).

use rand::Rng;
use sassafrasmast_wire::keys::RESET_TOKEN_BYTES;

/// Minimum size in bytes: five bytes of a short-header packet and the token.
const MIN_BYTES: usize = 5 + RESET_TOKEN_BYTES;

/// Maximum size in bytes. A longer reset has no advantage.
const MAX_BYTES: usize = 43;

/// Bits of the first byte that are random.
const UNPREDICTABLE_MASK: u8 = 0x3f;

/// Value of the two other bits of the first byte, which mark a short header.
const SHORT_HEADER_BITS: u8 = 0x40;

/// A stateless reset: the QUIC endpoint that receives it closes its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reset(Vec<u8>);

impl Reset {
    /// Creates the reset that answers a packet of `packet_bytes` bytes. It is always shorter than
    /// that packet, so that two endpoints cannot answer each other's resets for ever. `None` if the
    /// packet is too short to be answered.
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
