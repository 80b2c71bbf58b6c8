//! Writes a process's events to its time line.

use std::{
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
    board: Arc<Blackboard>,
    process: String,
    incarnation: Incarnation,
}

impl Recorder {
    /// A recorder for one process.
    pub fn new(board: Arc<Blackboard>, process: String, incarnation: Incarnation) -> Self {
        Self {
            board,
            process,
            incarnation,
        }
    }

    /// The blackboard that is written to.
    pub fn board(&self) -> &Arc<Blackboard> {
        &self.board
    }

    /// Name of the process.
    pub fn process(&self) -> &str {
        &self.process
    }

    /// Incarnation of the process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Records `kind` about the process as a whole.
    pub fn record(&self, kind: Kind) {
        self.record_about(None, None, kind);
    }

    /// Records `kind` about a flow or a request.
    pub fn record_about(&self, flow: Option<FlowId>, request: Option<RequestId>, kind: Kind) {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.board.record(Event {
            at_ns: u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX),
            process: self.process.clone(),
            incarnation: self.incarnation,
            flow,
            request,
            kind,
        });
    }
}
