//! Settings of an agent's decision logic.

use std::time::Duration;

use sassafrasmast_wire::Incarnation;

use crate::flow::{ServiceName, ZoneName};

/// Settings of an agent's decision logic.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The service of the upstream beside this agent.
    pub service: ServiceName,
    /// The availability zone of this VM.
    pub zone: ZoneName,
    /// Incarnation of this agent process: its start in milliseconds by the VM's clock, as for
    /// upstreams.
    pub incarnation: Incarnation,
    /// A cold upstream may get at most `cold_rate * cold_coverage + cold_slack` new flows per
    /// second, where `cold_rate` is configured for the service.
    pub cold_coverage: f64,
    /// New flows per second beyond the cold rate, see `cold_coverage`.
    pub cold_slack: f64,
    /// Fraction of that bound that is used as the cold limit; the rest covers packets that queue on
    /// their way.
    pub cold_utilization: f64,
    /// Share of the free places that goes to the class below the most critical one that waits, so
    /// that none starves.
    pub lower_class_share: f64,
    /// Whether balancers are told the time that the upstream takes for a request, so that they place
    /// flows by it. Off by default: an upstream that fails its requests at once looks fast.
    pub reports_speed: bool,
    /// Limit of flows in the table: far more than an upstream holds, about 200 bytes each.
    pub max_flows: usize,
    /// Flows that were idle for longer are removed, until an intent sets another timeout.
    pub idle_timeout: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            service: "".into(),
            zone: "".into(),
            incarnation: 0,
            cold_coverage: 1.0,
            cold_slack: 0.0,
            cold_utilization: 0.8,
            lower_class_share: 0.05,
            reports_speed: false,
            max_flows: 20_000,
            idle_timeout: Duration::from_secs(15),
        }
    }
}
