//! Settings of a balancer's decision logic.

use std::time::Duration;

use super::members::DEFAULT_REMOTE_COST;
use crate::flow::ZoneName;

/// Settings of a balancer's decision logic.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The availability zone of this balancer's VM.
    pub zone: ZoneName,
    /// Limit of flows in the table: about 200 bytes each, a tenth of the smallest entry VM's
    /// memory.
    pub max_flows: usize,
    /// Limit of concurrent searches.
    pub max_searches: usize,
    /// Limit of questions of searches per second, so that they do not saturate the VM's link.
    pub questions_per_second: u32,
    /// Limit of queued SYNs: those that a busy entry VM gets within a second.
    pub max_queued: usize,
    /// Share of the places that each less critical class gets while it waits, so that its clients make
    /// progress.
    pub lower_class_share: f64,
    /// Whether client addresses take turns among the queued SYNs of a class, at services with classes.
    pub fair_shares: bool,
    /// Flows that were idle for longer are removed, until an intent sets another timeout.
    pub idle_timeout: Duration,
    /// Maximum age of a flow; flows that exceed it by the idle timeout are removed.
    pub max_flow_age: Duration,
    /// Time after the first list of agents before the list is taken to be complete: an agent whose
    /// store entry was lost writes it again within this time.
    pub settle_time: Duration,
    /// Time from the order to stop until an agent's process ends, in which it says that it stops.
    pub stop_grace: Duration,
    /// What a flow that leaves this balancer's zone costs beside the longer path. It leaves if it is
    /// expected to complete earlier by more than both.
    pub remote_cost: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: "".into(),
            max_flows: 50_000,
            max_searches: 4_096,
            questions_per_second: 10_000,
            max_queued: 2_048,
            lower_class_share: 0.05,
            fair_shares: false,
            idle_timeout: Duration::from_secs(15),
            max_flow_age: Duration::from_secs(60),
            settle_time: Duration::from_millis(600),
            stop_grace: Duration::from_secs(6),
            remote_cost: DEFAULT_REMOTE_COST,
        }
    }
}
