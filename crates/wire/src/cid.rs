//! Routable QUIC connection ids.
//!
//! An id consists of one unencrypted byte with the key phase and one AES block that contains agent,
//! incarnation, service and a nonce, as in the routable connection ids of
//! draft-ietf-quic-load-balancers.

use crate::{AgentId, Error, Incarnation, KeyPhase, Keys, ServiceId, keys::BLOCK_BYTES};

/// Size of a connection id in bytes: the key phase and one AES block.
pub const BYTES: usize = 1 + BLOCK_BYTES;

/// Number of low bits of the incarnation that an id carries.
pub const INCARNATION_BITS: u32 = 48;

/// Decrypted content of a connection id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cid {
    /// Agent that terminates the flow.
    pub agent: AgentId,
    /// Incarnation of that agent, its low [`INCARNATION_BITS`] bits.
    pub incarnation: Incarnation,
    /// Service the flow belongs to.
    pub service: ServiceId,
    /// Distinguishes the ids of one incarnation.
    pub nonce: u32,
}

impl Cid {
    /// Encrypts the id with the key of the sealing phase.
    ///
    /// ```
    /// use sassafrasmast_wire::{Cid, Keys};
    /// let keys = Keys::new(0, [(0, [1; 32])], [2; 32]).unwrap();
    /// let cid = Cid { agent: 5, incarnation: 1_700_000_000_000, service: 3, nonce: 42 };
    /// assert_eq!(Cid::open(&keys, &cid.seal(&keys)).unwrap(), cid);
    /// ```
    pub fn seal(&self, keys: &Keys) -> [u8; BYTES] {
        let mut block = [0; BLOCK_BYTES];
        block[..4].copy_from_slice(&self.agent.to_be_bytes());
        block[4..10].copy_from_slice(&self.incarnation.to_be_bytes()[2..]);
        block[10..12].copy_from_slice(&self.service.to_be_bytes());
        block[12..].copy_from_slice(&self.nonce.to_be_bytes());
        keys.seal_block(&mut block);
        let mut bytes = [0; BYTES];
        bytes[0] = keys.sealing_phase();
        bytes[1..].copy_from_slice(&block);
        bytes
    }

    /// Decrypts an id. The encryption carries no authentication tag: an id that was not sealed by
    /// this fleet decrypts to random fields, so agent and service must be checked against the
    /// configuration.
    ///
    /// # Errors
    ///
    /// [`Error::CidLength`] if the id does not have [`BYTES`] bytes, [`Error::Phase`] if no key of
    /// its phase is known.
    pub fn open(keys: &Keys, bytes: &[u8]) -> Result<Self, Error> {
        let (&phase, sealed) = bytes.split_first().ok_or(Error::CidLength)?;
        let mut block: [u8; BLOCK_BYTES] = sealed.try_into().map_err(|_| Error::CidLength)?;
        keys.open_block(phase as KeyPhase, &mut block)
            .ok_or(Error::Phase(phase))?;
        let [
            a0,
            a1,
            a2,
            a3,
            i0,
            i1,
            i2,
            i3,
            i4,
            i5,
            s0,
            s1,
            n0,
            n1,
            n2,
            n3,
        ] = block;
        Ok(Self {
            agent: AgentId::from_be_bytes([a0, a1, a2, a3]),
            incarnation: Incarnation::from_be_bytes([0, 0, i0, i1, i2, i3, i4, i5]),
            service: ServiceId::from_be_bytes([s0, s1]),
            nonce: u32::from_be_bytes([n0, n1, n2, n3]),
        })
    }
}
