//! Writes the agent's events to the time line.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use sassafrasmast_core::{
    Blackboard,
    timeline::{Event, FlowId, Kind, RequestId},
};
use sassafrasmast_wire::Incarnation;

/// Stamps events with time, process and incarnation.
#[derive(Debug, Clone)]
pub struct Recorder {
    blackboard: Arc<Blackboard>,
    process: String,
    incarnation: Incarnation,
}

impl Recorder {
    /// A recorder for one process.
    pub fn new(blackboard: Arc<Blackboard>, process: String, incarnation: Incarnation) -> Self {
        Self {
            blackboard,
            process,
            incarnation,
        }
    }

    /// Records `kind`, optionally about a flow and a request.
    pub fn record(&self, flow: Option<FlowId>, request: Option<RequestId>, kind: Kind) {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.blackboard.record(Event {
            at_ns: u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX),
            process: self.process.clone(),
            incarnation: self.incarnation,
            flow,
            request,
            kind,
        });
    }

    /// The id of the flow of a caller.
    pub fn flow(caller: SocketAddr) -> FlowId {
        use std::hash::{DefaultHasher, Hash, Hasher};
        let mut hasher = DefaultHasher::new();
        caller.hash(&mut hasher);
        hasher.finish()
    }
}
