//! Replies of the gateway. It writes 64-bit numbers as text and bytes as base64, and omits fields
//! with a zero value.

use base64::{Engine, engine::general_purpose::STANDARD};
use hyper::StatusCode;
use serde::{Deserialize, Deserializer, de};

use super::super::{Entry, Error, Update};

/// gRPC status code: the deadline passed before the store completed the call.
const DEADLINE_EXCEEDED: i32 = 4;
/// gRPC status code: not found; for calls with a lease, the lease was not found.
const NOT_FOUND: i32 = 5;
/// gRPC status code: the revision is compacted or in the future.
const OUT_OF_RANGE: i32 = 11;
/// gRPC status code: the store is temporarily unavailable.
const UNAVAILABLE: i32 = 14;

/// Base64 of `bytes`.
pub fn encode(bytes: impl AsRef<[u8]>) -> String {
    STANDARD.encode(bytes)
}

/// Header of a reply.
#[derive(Debug, Default, Deserialize)]
pub struct Header {
    #[serde(default, deserialize_with = "number")]
    pub revision: i64,
}

/// Reply to a range request.
#[derive(Debug, Deserialize)]
pub struct RangeResponse {
    pub header: Header,
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// Reply to a transaction.
#[derive(Debug, Deserialize)]
pub struct TxnResponse {
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
}

/// Reply to a lease grant.
#[derive(Debug, Deserialize)]
pub struct GrantResponse {
    #[serde(rename = "ID", deserialize_with = "number")]
    pub id: i64,
}

/// One message of a streaming reply.
#[derive(Debug, Deserialize)]
pub struct StreamResult<T> {
    pub result: T,
}

/// Reply to a lease keep-alive. A time to live of 0 means that the lease has expired.
#[derive(Debug, Deserialize)]
pub struct KeepAliveResponse {
    #[serde(rename = "TTL", default, deserialize_with = "number")]
    pub ttl: i64,
}

/// Reply to a watch.
#[derive(Debug, Deserialize)]
pub struct WatchResponse {
    #[serde(default)]
    pub canceled: bool,
    #[serde(default, deserialize_with = "number")]
    pub compact_revision: i64,
    #[serde(default)]
    pub events: Vec<Event>,
}

/// A change reported by a watch.
#[derive(Debug, Deserialize)]
pub struct Event {
    #[serde(rename = "type", default)]
    pub kind: EventKind,
    pub kv: KeyValue,
}

/// Type of a change.
#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    #[default]
    Put,
    Delete,
}

/// A key and its value.
#[derive(Debug, Deserialize)]
pub struct KeyValue {
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default, deserialize_with = "number")]
    create_revision: i64,
    #[serde(default, deserialize_with = "number")]
    mod_revision: i64,
    #[serde(default, deserialize_with = "number")]
    lease: i64,
}

impl TryFrom<KeyValue> for Entry {
    type Error = Error;

    fn try_from(kv: KeyValue) -> Result<Self, Error> {
        let key = String::from_utf8(decode(&kv.key)?)
            .map_err(|error| Error::Malformed(error.to_string()))?;
        Ok(Self {
            key,
            value: decode(&kv.value)?,
            create_revision: kv.create_revision,
            mod_revision: kv.mod_revision,
            lease: (kv.lease != 0).then_some(kv.lease),
        })
    }
}

impl TryFrom<Event> for Update {
    type Error = Error;

    fn try_from(event: Event) -> Result<Self, Error> {
        let entry = Entry::try_from(event.kv)?;
        Ok(match event.kind {
            EventKind::Put => Self::Put(entry),
            EventKind::Delete => Self::Delete {
                key: entry.key,
                revision: entry.mod_revision,
            },
        })
    }
}

/// Error reply of the gateway.
#[derive(Debug, Deserialize)]
pub struct ErrorResponse {
    #[serde(default)]
    code: i32,
    #[serde(default)]
    message: String,
}

impl ErrorResponse {
    /// The error that a reply with this HTTP status and body describes.
    pub fn parse(status: StatusCode, body: &[u8]) -> Error {
        let Ok(Self { code, message }) = serde_json::from_slice(body) else {
            // The reply is not from the gateway itself, so whether the call ran is not known.
            return Error::Unreachable(format!("HTTP status {status}"));
        };
        match code {
            DEADLINE_EXCEEDED | UNAVAILABLE => Error::Unreachable(message),
            NOT_FOUND => Error::LeaseNotFound,
            // The reply does not say which revision is the oldest.
            OUT_OF_RANGE => Error::Compacted { oldest: 0 },
            _ if status.is_server_error() => Error::Unreachable(message),
            _ => Error::Rejected { code, message },
        }
    }
}

/// Decodes base64 text.
fn decode(text: &str) -> Result<Vec<u8>, Error> {
    STANDARD
        .decode(text)
        .map_err(|error| Error::Malformed(error.to_string()))
}

/// Deserializes a 64-bit number given as text or as a JSON number.
fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Number {
        Text(String),
        Plain(i64),
    }
    match Number::deserialize(deserializer)? {
        Number::Text(text) => text.parse().map_err(de::Error::custom),
        Number::Plain(number) => Ok(number),
    }
}
