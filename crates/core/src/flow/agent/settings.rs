//! Settings of an agent's decisions.

use std::time::Duration;

use sassafrasmast_wire::Incarnation;

use crate::flow::{ServiceName, ZoneName};

/// Settings of an agent's decisions.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The service of the upstream beside this agent.
    pub service: ServiceName,
    /// The availability zone of this VM.
    pub zone: ZoneName,
    /// This start of the agent: the VM's time of day in milliseconds, as for upstreams.
    pub incarnation: Incarnation,
    /// Part of its cold rate up to which an upstream may be loaded.
    pub cold_coverage: f64,
    /// New flows a second that a cold upstream bears beyond its rate.
    pub cold_slack: f64,
    /// Part of the cold bound that is used: the rest covers packets that queue on their way.
    pub cold_use: f64,
    /// Flows kept: far more than an upstream holds, about 200 bytes each.
    pub max_flows: usize,
    /// Flows idle for longer are forgotten while no intent says otherwise.
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
            cold_use: 0.8,
            max_flows: 20_000,
            idle_timeout: Duration::from_secs(15),
        }
    }
}
