//! Cryptographic keys derived from the fleet's secrets.

use std::collections::BTreeMap;

use aes::{
    Aes128,
    cipher::{BlockCipherDecrypt, BlockCipherEncrypt, KeyInit},
};
use ring::{aead, hmac};

use crate::{AgentId, KeyPhase};

/// Size of a fleet secret in bytes.
pub const SECRET_BYTES: usize = 32;

/// Size of a QUIC stateless reset token in bytes.
pub const RESET_TOKEN_BYTES: usize = 16;

/// Size of an AES block in bytes.
pub(crate) const BLOCK_BYTES: usize = 16;

/// Secret shared by all processes of the fleet.
pub type Secret = [u8; SECRET_BYTES];

/// Keys for sealing identifiers. New identifiers are sealed with the key of one phase; identifiers
/// of every known phase can be opened, so that keys can be rotated.
#[derive(Debug, Clone)]
pub struct Keys {
    sealing_phase: KeyPhase,
    phases: BTreeMap<KeyPhase, PhaseCiphers>,
    reset_secret: Secret,
}

/// Ciphers of one key phase.
#[derive(Debug, Clone)]
struct PhaseCiphers {
    cid_cipher: Aes128,
    ticket_key: aead::LessSafeKey,
}

impl PhaseCiphers {
    fn new(secret: &Secret) -> Self {
        let block = derive(secret, b"connection id");
        let ticket = derive(secret, b"ticket");
        Self {
            cid_cipher: Aes128::new_from_slice(&block[..BLOCK_BYTES]).expect("key has 16 bytes"),
            ticket_key: aead::LessSafeKey::new(
                aead::UnboundKey::new(&aead::AES_256_GCM, &ticket).expect("key has 32 bytes"),
            ),
        }
    }
}

impl Keys {
    /// Derives the keys from the secrets of all known phases. The key of `sealing_phase` seals new
    /// identifiers; `reset_secret` is the secret for stateless reset tokens.
    ///
    /// Returns `None` if `secrets` has no entry for `sealing_phase`.
    ///
    /// ```
    /// use sassafrasmast_wire::Keys;
    /// let keys = Keys::new(1, [(1, [7; 32])], [9; 32]).unwrap();
    /// assert_eq!(keys.sealing_phase(), 1);
    /// assert!(Keys::new(2, [(1, [7; 32])], [9; 32]).is_none());
    /// ```
    pub fn new(
        sealing_phase: KeyPhase,
        secrets: impl IntoIterator<Item = (KeyPhase, Secret)>,
        reset_secret: Secret,
    ) -> Option<Self> {
        let phases: BTreeMap<_, _> = secrets
            .into_iter()
            .map(|(phase, secret)| (phase, PhaseCiphers::new(&secret)))
            .collect();
        phases.contains_key(&sealing_phase).then_some(Self {
            sealing_phase,
            phases,
            reset_secret,
        })
    }

    /// PhaseCiphers whose key seals new identifiers.
    pub fn sealing_phase(&self) -> KeyPhase {
        self.sealing_phase
    }

    /// Key from which the stateless reset tokens of an agent's flows are derived. It is independent
    /// of the incarnation, so that a new incarnation can reset the flows of the previous one.
    pub fn reset_key(&self, agent: AgentId) -> hmac::Key {
        let secret = derive(&self.reset_secret, &agent.to_be_bytes());
        hmac::Key::new(hmac::HMAC_SHA256, &secret)
    }

    /// Stateless reset token for a connection id of `agent`, equal to the token that the agent's
    /// QUIC endpoint derives.
    pub fn reset_token(&self, agent: AgentId, cid: &[u8]) -> [u8; RESET_TOKEN_BYTES] {
        let tag = hmac::sign(&self.reset_key(agent), cid);
        let mut token = [0; RESET_TOKEN_BYTES];
        token.copy_from_slice(&tag.as_ref()[..RESET_TOKEN_BYTES]);
        token
    }

    pub(crate) fn seal_block(&self, block: &mut [u8; BLOCK_BYTES]) {
        if let Some(phase) = self.phases.get(&self.sealing_phase) {
            phase.cid_cipher.encrypt_block(block.into());
        }
    }

    pub(crate) fn open_block(&self, phase: KeyPhase, block: &mut [u8; BLOCK_BYTES]) -> Option<()> {
        self.phases
            .get(&phase)?
            .cid_cipher
            .decrypt_block(block.into());
        Some(())
    }

    pub(crate) fn ticket_key(&self, phase: KeyPhase) -> Option<&aead::LessSafeKey> {
        Some(&self.phases.get(&phase)?.ticket_key)
    }
}

/// Derives a separate secret for each purpose.
fn derive(secret: &Secret, purpose: &[u8]) -> Secret {
    let tag = hmac::sign(&hmac::Key::new(hmac::HMAC_SHA256, secret), purpose);
    let mut derived = [0; SECRET_BYTES];
    derived.copy_from_slice(tag.as_ref());
    derived
}
