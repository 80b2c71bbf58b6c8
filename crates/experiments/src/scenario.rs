//! Scenario files.

use std::{fs, path::Path, time::Duration};

use anyhow::Context;
use sassafrasmast_core::balancer::Policy;
use sassafrasmast_standins::deployment;
use serde::Deserialize;

use crate::fault::Fault;

/// A scenario file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario and of its result files.
    pub name: String,
    /// The deployment to run.
    pub deployment: Preset,
    /// Number of balancers.
    pub balancers: usize,
    /// Placement policies, each run on a separate deployment.
    pub policies: Vec<Policy>,
    /// Duration of the load in seconds.
    pub seconds: u64,
    /// Seconds of load before the measurement, in which the upstreams warm up.
    pub warm_up: u64,
    /// Feeds held open.
    pub feeds: usize,
    /// Bookings a second, with exponentially distributed times between arrivals.
    pub bookings_per_s: f64,
    /// Bookings or manifests after which a caller opens a new connection.
    pub bookings_per_flow: u32,
    /// Manifests a second.
    pub manifests_per_s: f64,
    /// Size of a manifest in bytes.
    pub manifest_bytes: usize,
    /// Time that a caller waits for an answer, including retries, in milliseconds.
    pub deadline_ms: u64,
    /// Mean service time of a booking in milliseconds.
    pub booking_ms: u64,
    /// Mean service time of a manifest in milliseconds.
    pub manifest_ms: u64,
    /// Seed of arrivals, fabric and upstreams.
    pub seed: u64,
    /// Number of single bookings to compare with direct calls to an upstream; 0 for no comparison.
    pub compared: u64,
    /// Faults and operators' changes.
    pub faults: Vec<Fault>,
}

/// A predefined deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Preset {
    /// Dispatch on 7 upstreams, manifest intake on 3.
    Reciclumen,
    /// Booking on 7 upstreams, manifest intake on 3.
    Refugios,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "unnamed".to_owned(),
            deployment: Preset::Reciclumen,
            balancers: 4,
            policies: vec![Policy::default()],
            seconds: 20,
            warm_up: 10,
            feeds: 0,
            bookings_per_s: 0.0,
            bookings_per_flow: 10,
            manifests_per_s: 0.0,
            manifest_bytes: 256 * 1024,
            deadline_ms: 5_000,
            booking_ms: 100,
            manifest_ms: 200,
            seed: 1,
            compared: 0,
            faults: Vec::new(),
        }
    }
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    ///
    /// Names the file if it cannot be read or is invalid.
    pub fn load(file: &Path) -> anyhow::Result<Self> {
        let text = fs::read_to_string(file).with_context(|| format!("{}", file.display()))?;
        let scenario: Self =
            toml::from_str(&text).with_context(|| format!("{}", file.display()))?;
        anyhow::ensure!(
            !scenario.policies.is_empty(),
            "{}: no policies",
            file.display()
        );
        anyhow::ensure!(scenario.seconds > 0, "{}: seconds is zero", file.display());
        Ok(scenario)
    }

    /// Settings of the deployment with placement policy `policy`.
    pub fn settings(&self, policy: Policy) -> deployment::Settings {
        let site = match self.deployment {
            Preset::Reciclumen => deployment::Settings::reciclumen(),
            Preset::Refugios => deployment::Settings::refugios(),
        };
        deployment::Settings {
            balancers: self.balancers,
            policy,
            upstream_arguments: vec![
                "--booking-ms".to_owned(),
                self.booking_ms.to_string(),
                "--manifest-ms".to_owned(),
                self.manifest_ms.to_string(),
            ],
            log_level: "warn".to_owned(),
            seed: self.seed,
            ..site
        }
    }

    /// Time that a caller waits for an answer, including retries.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}
