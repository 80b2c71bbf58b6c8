//! Settings of an upstream.

use std::{net::SocketAddr, time::Duration};

/// Settings of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Address to serve.
    pub listen: SocketAddr,
    /// Name of the upstream in its answers.
    pub name: String,
    /// Requests that may run at once when warm.
    pub slots: usize,
    /// Connections that may be open at once.
    pub max_connections: usize,
    /// Mean service time of a booking. A single booking takes 0.5 to 1.5 times as long.
    pub booking_time: Duration,
    /// Mean service time of a manifest.
    pub manifest_time: Duration,
    /// Time between two lines of a feed.
    pub feed_interval: Duration,
    /// Requests that may run at once on a cold upstream without a collapse.
    pub cold_limit: usize,
    /// Finished requests after which the limit of a cold upstream grows by one.
    pub cold_step: u64,
    /// Time for which all requests fail after a collapse.
    pub collapse_time: Duration,
    /// Age of the status that the health and load endpoints report.
    pub report_lag: Duration,
    /// Seed of the service times.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: "upstream".to_owned(),
            slots: 5,
            max_connections: 2_000,
            booking_time: Duration::from_millis(20),
            manifest_time: Duration::from_millis(40),
            feed_interval: Duration::from_millis(200),
            cold_limit: 1,
            cold_step: 5,
            collapse_time: Duration::from_millis(500),
            report_lag: Duration::from_secs(2),
            seed: 1,
        }
    }
}

impl Settings {
    /// Parses the arguments of the process. Arguments that are not given keep their default.
    ///
    /// # Errors
    ///
    /// Names the missing, malformed or unknown argument.
    pub fn parse(mut arguments: pico_args::Arguments) -> anyhow::Result<Self> {
        let default = Self::default();
        let mut millis = |name: &'static str, default: Duration| {
            let value = arguments.opt_value_from_str(name)?;
            anyhow::Ok(value.map_or(default, Duration::from_millis))
        };
        let (booking_time, manifest_time) = (
            millis("--booking-ms", default.booking_time)?,
            millis("--manifest-ms", default.manifest_time)?,
        );
        let (feed_interval, collapse_time, report_lag) = (
            millis("--feed-ms", default.feed_interval)?,
            millis("--collapse-ms", default.collapse_time)?,
            millis("--lag-ms", default.report_lag)?,
        );
        let settings = Self {
            listen: arguments.value_from_str("--listen")?,
            name: arguments
                .opt_value_from_str("--name")?
                .unwrap_or(default.name),
            slots: arguments
                .opt_value_from_str("--slots")?
                .unwrap_or(default.slots),
            max_connections: arguments
                .opt_value_from_str("--connections")?
                .unwrap_or(default.max_connections),
            cold_limit: arguments
                .opt_value_from_str("--cold-limit")?
                .unwrap_or(default.cold_limit),
            cold_step: arguments
                .opt_value_from_str("--cold-step")?
                .unwrap_or(default.cold_step),
            seed: arguments
                .opt_value_from_str("--seed")?
                .unwrap_or(default.seed),
            booking_time,
            manifest_time,
            feed_interval,
            collapse_time,
            report_lag,
        };
        let rest = arguments.finish();
        anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}");
        Ok(settings)
    }
}
