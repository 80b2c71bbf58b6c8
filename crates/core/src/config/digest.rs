//! Digests of documents and plans.

use ring::digest::{SHA256, digest};
use serde::Serialize;

use super::Digest;

/// SHA-256 of the JSON text of `value`, in hexadecimal. The maps in the configuration
/// are ordered, so equal values have equal digests.
pub(crate) fn of(value: &impl Serialize) -> Digest {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let hash = digest(&SHA256, &text);
    hash.as_ref()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}
