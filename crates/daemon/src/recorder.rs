//! Records the events of a process in its timeline.

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use sassafrasmast_core::{
    Blackboard,
    timeline::{Event, FlowId, Kind, RequestId},
};
use sassafrasmast_wire::Incarnation;

/// Adds time, process name and incarnation to events and appends them to the timeline.
#[derive(Debug, Clone)]
pub struct Recorder {
    blackboard: Arc<Blackboard>,
    process: String,
    incarnation: Incarnation,
    /// Start of the recorder on the monotonic clock. Events are timed by this clock so that they
    /// stay in order when the wall clock is adjusted.
    start: Instant,
    /// Time of `start` on the wall clock, since the Unix epoch.
    start_since_epoch: Duration,
}

impl Recorder {
    /// A recorder for one process.
    pub fn new(blackboard: Arc<Blackboard>, process: String, incarnation: Incarnation) -> Self {
        Self {
            blackboard,
            process,
            incarnation,
            start: Instant::now(),
            start_since_epoch: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default(),
        }
    }

    /// The blackboard that is written to.
    pub fn blackboard(&self) -> &Arc<Blackboard> {
        &self.blackboard
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
        self.record_at(Instant::now(), flow, request, kind);
    }

    /// Records `kind` with the earlier time `at`.
    pub fn record_at(
        &self,
        at: Instant,
        flow: Option<FlowId>,
        request: Option<RequestId>,
        kind: Kind,
    ) {
        let since_epoch = self.start_since_epoch + at.saturating_duration_since(self.start);
        self.blackboard.record(Event {
            at_ns: u64::try_from(since_epoch.as_nanos()).unwrap_or(u64::MAX),
            process: self.process.clone(),
            incarnation: self.incarnation,
            flow,
            request,
            kind,
        });
    }
}
