//! An availability zone.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// An availability zone as operators see it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Operators took the zone out: no packet goes to it and its flows are given up.
    pub out: bool,
}
