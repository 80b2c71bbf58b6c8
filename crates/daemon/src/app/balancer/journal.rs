//! The process's own part of the time line.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use sassafrasmast_core::{
    Blackboard,
    balancer::Bucket,
    timeline::{Event, FlowId, Kind, flow},
};
use sassafrasmast_wire::Incarnation;

/// Events about single flows a second, and at once.
const FLOW_EVENTS: u32 = 200;

/// Records events with the process's name and the wall clock.
#[derive(Debug)]
pub struct Journal {
    process: String,
    incarnation: Incarnation,
    blackboard: Arc<Blackboard>,
    flows: Mutex<Bucket>,
}

impl Journal {
    /// A journal that writes to `blackboard`.
    pub fn new(process: String, incarnation: Incarnation, blackboard: Arc<Blackboard>) -> Self {
        Self {
            process,
            incarnation,
            blackboard,
            flows: Mutex::new(Bucket::new(Instant::now(), FLOW_EVENTS, FLOW_EVENTS)),
        }
    }

    /// Records an event of the process.
    pub fn record(&self, kind: Kind) {
        self.push(None, kind);
    }

    /// Records an event of one flow, at a bounded rate.
    pub fn record_flow(&self, now: Instant, caller: SocketAddr, kind: Kind) {
        let mut flows = self.flows.lock().unwrap_or_else(PoisonError::into_inner);
        let allowed = flows.take(now, 1);
        drop(flows);
        if allowed {
            self.push(Some(flow::id(caller)), kind);
        }
    }

    fn push(&self, flow: Option<FlowId>, kind: Kind) {
        let at = SystemTime::now().duration_since(UNIX_EPOCH);
        self.blackboard.record(Event {
            at_ns: at.map_or(0, |at| at.as_nanos() as u64),
            process: self.process.clone(),
            incarnation: self.incarnation,
            flow,
            request: None,
            kind,
        });
    }
}
