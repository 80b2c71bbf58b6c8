//! Heads of relayed requests.

use http::{HeaderMap, HeaderName, HeaderValue};
use sassafrasmast_wire::{AgentId, ServiceId};
use serde::{Deserialize, Serialize};

/// Header names and values.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fields(Vec<(String, Vec<u8>)>);

/// Everything but the body that a peer needs to run a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The agent that is to run it.
    pub to: AgentId,
    /// Service of the request.
    pub service: ServiceId,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Headers from the caller, with `Host` set from the authority.
    pub headers: Fields,
    /// Time left until the deadline, in milliseconds.
    pub time_left_ms: u64,
}

impl Fields {
    /// Copies headers.
    pub fn new(headers: &HeaderMap) -> Self {
        let pairs = headers.iter();
        let owned = pairs.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()));
        Self(owned.collect())
    }

    /// The headers; `None` if one is invalid.
    pub fn to_headers(&self) -> Option<HeaderMap> {
        let mut headers = HeaderMap::new();
        for (name, value) in &self.0 {
            let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(value).ok()?);
        }
        Some(headers)
    }
}
