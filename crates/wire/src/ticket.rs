//! Tickets: sealed idempotency keys that name the only agent that may run a request.

use std::time::Duration;

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use ring::aead::{AES_256_GCM, Aad, Nonce};
use serde::{Deserialize, Serialize};

use crate::{AgentId, Error, Incarnation, Keys, ServiceId};

/// Size in bytes of the AEAD nonce, which precedes the encrypted part of a ticket.
const AEAD_NONCE_BYTES: usize = 12;

/// Prefix of a ticket in text form. An idempotency key without it was chosen by the caller.
const PREFIX: &str = "st1-";

/// Content of a ticket. Its text form is encrypted and authenticated, so that a caller can neither
/// read nor forge it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Ticket {
    /// Service the request is for.
    pub service: ServiceId,
    /// The only agent that may run the request.
    pub agent: AgentId,
    /// The only incarnation of that agent that may run it.
    pub incarnation: Incarnation,
    /// Number that is unique within the incarnation.
    pub nonce: u64,
    /// Time of expiry on the agent's monotonic clock, measured from the start of the incarnation.
    pub expiry: Duration,
}

impl Ticket {
    /// Whether an idempotency key sent by a caller has the prefix of a ticket.
    ///
    /// ```
    /// use sassafrasmast_wire::Ticket;
    /// assert!(!Ticket::has_ticket_prefix("order-17"));
    /// ```
    pub fn has_ticket_prefix(key: &str) -> bool {
        key.starts_with(PREFIX)
    }

    /// Encrypts the ticket into the text form used in headers. `aead_nonce` must be fresh random
    /// bytes.
    ///
    /// ```
    /// use std::time::Duration;
    /// use sassafrasmast_wire::{Keys, Ticket};
    /// let keys = Keys::new(0, [(0, [1; 32])], [2; 32]).unwrap();
    /// let ticket = Ticket {
    ///     service: 1, agent: 2, incarnation: 3, nonce: 4, expiry: Duration::from_secs(600),
    /// };
    /// let text = ticket.seal(&keys, [5; 12]);
    /// assert_eq!(Ticket::open(&keys, &text).unwrap(), ticket);
    /// ```
    pub fn seal(&self, keys: &Keys, aead_nonce: [u8; AEAD_NONCE_BYTES]) -> String {
        let mut sealed = postcard::to_stdvec(self).expect("a ticket encodes");
        let phase = keys.sealing_phase();
        let key = keys.ticket_key(phase).expect("the sealing phase has a key");
        key.seal_in_place_append_tag(
            Nonce::assume_unique_for_key(aead_nonce),
            Aad::from([phase]),
            &mut sealed,
        )
        .expect("a ticket is below the size limit of AES-GCM");
        let mut bytes = vec![phase];
        bytes.extend_from_slice(&aead_nonce);
        bytes.extend_from_slice(&sealed);
        PREFIX.to_owned() + &URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decrypts and authenticates the text form.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] if the text is not a ticket, [`Error::Phase`] if no key of its phase is
    /// known (any more), or [`Error::Forged`] if authentication fails.
    pub fn open(keys: &Keys, text: &str) -> Result<Self, Error> {
        let encoded = text.strip_prefix(PREFIX).ok_or(Error::Malformed)?;
        let bytes = URL_SAFE_NO_PAD
            .decode(encoded)
            .map_err(|_| Error::Malformed)?;
        let minimum = 1 + AEAD_NONCE_BYTES + AES_256_GCM.tag_len();
        if bytes.len() < minimum {
            return Err(Error::Malformed);
        }
        let phase = bytes[0];
        let key = keys.ticket_key(phase).ok_or(Error::Phase(phase))?;
        let (aead_nonce, sealed) = bytes[1..].split_at(AEAD_NONCE_BYTES);
        let aead_nonce =
            Nonce::try_assume_unique_for_key(aead_nonce).map_err(|_| Error::Malformed)?;
        let mut sealed = sealed.to_vec();
        let plain = key
            .open_in_place(aead_nonce, Aad::from([phase]), &mut sealed)
            .map_err(|_| Error::Forged)?;
        postcard::from_bytes(plain).map_err(|_| Error::Malformed)
    }
}
