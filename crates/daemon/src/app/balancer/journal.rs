//! The balancer's own part of the time line.

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

/// Events about single flows a second, and at once.
const FLOW_EVENTS: u32 = 200;

/// Records events; those about single flows at a bounded rate.
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
            flows: Mutex::new(Bucket::new(Instant::now(), FLOW_EVENTS, FLOW_EVENTS)),
        }
    }

    /// Records an event of the process.
    pub fn record(&self, kind: Kind) {
        self.recorder.record(kind);
    }

    /// Records an event of one flow, at a bounded rate.
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
