//! Events of the timeline.

use sassafrasmast_wire::Incarnation;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{FlowId, Kind, RequestId};

/// Something that happened in one process. In files each event is one line of JSON.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct Event {
    /// Wall-clock time in nanoseconds since the Unix epoch.
    pub at_ns: u64,
    /// Name of the process, from its settings.
    pub process: String,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Flow that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub flow: Option<FlowId>,
    /// Request that the event is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<RequestId>,
    /// What happened.
    pub kind: Kind,
}
