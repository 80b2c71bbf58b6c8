//! An availability zone.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// State of an availability zone, set by operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Whether the zone is out of service: it gets no packets and its open flows end.
    pub out: bool,
}
