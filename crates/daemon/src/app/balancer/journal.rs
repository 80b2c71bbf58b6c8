//! Events of a balancer for its time line.

use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use sassafrasmast_core::{
    balancer::Bucket,
    timeline::{Kind, flow_id},
};

use crate::recorder::Recorder;

/// Largest rate, and largest burst, of events about single flows.
const FLOW_EVENTS_PER_S: u32 = 200;

/// Records events, with a rate limit on those about single flows.
#[derive(Debug)]
pub struct Journal {
    recorder: Recorder,
    flows: Mutex<Bucket>,
}

impl Journal {
    /// A journal that writes through `recorder`.
    pub fn new(recorder: Recorder) -> Self {
        Self {
            recorder,
            flows: Mutex::new(Bucket::new(
                Instant::now(),
                FLOW_EVENTS_PER_S,
                FLOW_EVENTS_PER_S,
            )),
        }
    }

    /// Records an event about the process.
    pub fn record(&self, kind: Kind) {
        self.recorder.record(kind);
    }

    /// Records an event about one flow unless the rate limit is exceeded.
    pub fn record_flow(&self, now: Instant, caller: SocketAddr, kind: Kind) {
        let mut flows = self.flows.lock().unwrap_or_else(PoisonError::into_inner);
        let allowed = flows.take(now, 1);
        drop(flows);
        if allowed {
            let flow = Some(flow_id::of_caller(caller));
            self.recorder.record_at(now, flow, None, kind);
        }
    }
}
