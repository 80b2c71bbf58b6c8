//! Requests as the agent's state machine sees them.

use std::time::Instant;

use crate::timeline::RequestId;

use super::{Class, Key};

/// Length of a digest in bytes.
pub(super) const DIGEST_BYTES: usize = 32;

/// Digest of method, path and body, which distinguishes different requests with the same key.
pub type Digest = [u8; DIGEST_BYTES];

/// A request that arrived from a caller or from a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// Chosen by the I/O layer; never used twice within an incarnation.
    pub id: RequestId,
    /// Request class, derived from method and path.
    pub class: Class,
    /// Idempotency key. Ignored unless the class is [`Class::NonIdempotent`].
    pub key: Option<Key>,
    /// Digest of the request.
    pub digest: Digest,
    /// Length of the body in bytes, if it is known.
    pub body_bytes: Option<u64>,
    /// Time until which the caller waits for the answer; for a feed, for the head of the answer.
    pub deadline: Instant,
    /// Whether a peer relayed the request. It is not relayed again.
    pub relayed: bool,
}
