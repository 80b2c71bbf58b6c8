//! Replies of the gateway: 64-bit numbers are text, bytes are base64, zero values are left out.

use base64::{Engine, engine::general_purpose::STANDARD};
use hyper::StatusCode;
use serde::{Deserialize, Deserializer, de};

use super::super::{Entry, Error, Update};

/// gRPC status code: the deadline passed before the store was done.
const DEADLINE_EXCEEDED: i32 = 4;
/// gRPC status code: not found; of a call with a lease, the lease.
const NOT_FOUND: i32 = 5;
/// gRPC status code: a revision that is compacted or in the future.
const OUT_OF_RANGE: i32 = 11;
/// gRPC status code: the store cannot serve now.
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

/// Reply to a range.
#[derive(Debug, Deserialize)]
pub struct Ranged {
    pub header: Header,
    #[serde(default)]
    pub kvs: Vec<KeyValue>,
}

/// Reply to a transaction.
#[derive(Debug, Deserialize)]
pub struct TxnDone {
    pub header: Header,
    #[serde(default)]
    pub succeeded: bool,
}

/// Reply to a lease's grant.
#[derive(Debug, Deserialize)]
pub struct Granted {
    #[serde(rename = "ID", deserialize_with = "number")]
    pub id: i64,
}

/// One message of a streaming reply.
#[derive(Debug, Deserialize)]
pub struct Streamed<T> {
    pub result: T,
}

/// Reply to a lease's keep-alive. A time to live of 0 means that the lease lapsed.
#[derive(Debug, Deserialize)]
pub struct KeptAlive {
    #[serde(rename = "TTL", default, deserialize_with = "number")]
    pub ttl: i64,
}

/// Reply to a watch.
#[derive(Debug, Deserialize)]
pub struct Watched {
    #[serde(default)]
    pub canceled: bool,
    #[serde(default, deserialize_with = "number")]
    pub compact_revision: i64,
    #[serde(default)]
    pub events: Vec<Event>,
}

/// A change in a watch's reply.
#[derive(Debug, Deserialize)]
pub struct Event {
    #[serde(rename = "type", default)]
    pub kind: EventKind,
    pub kv: KeyValue,
}

/// Kind of a change.
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

/// Reply to a call that failed.
#[derive(Debug, Deserialize)]
pub struct Fault {
    #[serde(default)]
    code: i32,
    #[serde(default)]
    message: String,
}

impl Fault {
    /// The error that a failed call's reply stands for.
    pub fn parse(status: StatusCode, body: &[u8]) -> Error {
        let Ok(Self { code, message }) = serde_json::from_slice(body) else {
            // Not from the gateway itself: nothing is known about the call.
            return Error::Unreachable(format!("HTTP status {status}"));
        };
        match code {
            DEADLINE_EXCEEDED | UNAVAILABLE => Error::Unreachable(message),
            NOT_FOUND => Error::LeaseNotFound,
            OUT_OF_RANGE => Error::Compacted { oldest: 0 },
            _ if status.is_server_error() => Error::Unreachable(message),
            _ => Error::Rejected { code, message },
        }
    }
}

/// Bytes of base64 text.
fn decode(text: &str) -> Result<Vec<u8>, Error> {
    STANDARD
        .decode(text)
        .map_err(|error| Error::Malformed(error.to_string()))
}

/// A 64-bit number, given as text or as a number.
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
