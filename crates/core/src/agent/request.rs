//! A request as the decisions see it.

use std::time::Instant;

use crate::timeline::RequestId;

use super::{Class, Key};

/// Bytes of a digest.
pub(super) const DIGEST_BYTES: usize = 32;

/// Digest of method, path and body, to tell requests under the same key apart.
pub type Digest = [u8; DIGEST_BYTES];

/// A request that arrived from a caller or from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Chosen by the edge, never used twice by one incarnation.
    pub id: RequestId,
    /// What method and path allow.
    pub class: Class,
    /// Idempotency key. Ignored unless the class is [`Class::NonIdempotent`].
    pub key: Option<Key>,
    /// Digest of the request.
    pub digest: Digest,
    /// Length of the body, if it is known.
    pub body_bytes: Option<u64>,
    /// Time until which the caller waits. For a feed: for the head of the answer.
    pub deadline: Instant,
    /// Whether a peer relayed the request; it is not relayed again.
    pub relayed: bool,
}
