//! Settings of a balancer's decisions.

use std::time::Duration;

use crate::flow::ZoneName;

/// Settings of a balancer's decisions.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The availability zone of this balancer's VM.
    pub zone: ZoneName,
    /// Flows kept in the table: about 200 bytes each, a tenth of the smallest entry VM's memory.
    pub max_flows: usize,
    /// Searches that run at the same time.
    pub max_searches: usize,
    /// Questions of searches a second, so that they leave room on the VM's link.
    pub questions_per_second: u32,
    /// Opening packets that wait at the same time: a second's worth of a busy entry VM.
    pub max_waiting: usize,
    /// Flows idle for longer are forgotten while no intent says otherwise.
    pub idle_timeout: Duration,
    /// Flows older than this may be forgotten.
    pub max_flow_age: Duration,
    /// Time with the list of agents in hand before "nobody" is believed: an agent that has lost
    /// its entry writes it again within this time.
    pub settle: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            zone: "".into(),
            max_flows: 50_000,
            max_searches: 4_096,
            questions_per_second: 10_000,
            max_waiting: 2_048,
            idle_timeout: Duration::from_secs(15),
            max_flow_age: Duration::from_secs(60),
            settle: Duration::from_millis(600),
        }
    }
}
