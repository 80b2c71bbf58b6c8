//! The whole path against a direct call of an upstream.

use std::time::Instant;

use hdrhistogram::Histogram;
use sassafrasmast_standins::{
    caller::{Client, Direct},
    deployment::Deployment,
};

use crate::measure::histogram;

/// Bookings before the comparison, so that the upstreams are warm.
const WARM_UP: u64 = 50;

/// Latencies of single bookings, made in turn through the whole path and directly.
#[derive(Debug)]
pub struct Overhead {
    /// Through balancer and agent, in microseconds.
    pub path: Histogram<u64>,
    /// Straight to an upstream, in microseconds.
    pub direct: Histogram<u64>,
}

impl Overhead {
    /// Makes `count` bookings each way, one at a time and in turn.
    ///
    /// # Errors
    ///
    /// If an upstream cannot be reached directly or a booking fails.
    pub async fn measure(deployment: &Deployment, count: u64) -> anyhow::Result<Self> {
        let mut client = Client::new(deployment.caller_settings(0)?)?;
        let mut direct = Direct::connect(deployment.network.upstream(0)).await?;
        let mut overhead = Self {
            path: histogram(),
            direct: histogram(),
        };
        for number in 0..WARM_UP + count {
            let begun = Instant::now();
            let submission = client.book(&format!("path-{number}")).await?;
            let path = begun.elapsed();
            anyhow::ensure!(
                submission.is_success(),
                "booking {number}: {:?}",
                submission.errors
            );
            let body = format!("{{\"booking\":\"direct-{number}\"}}");
            let begun = Instant::now();
            direct.post("/bookings", body.into()).await?;
            if number >= WARM_UP {
                overhead.path.saturating_record(path.as_micros() as u64);
                overhead
                    .direct
                    .saturating_record(begun.elapsed().as_micros() as u64);
            }
        }
        Ok(overhead)
    }
}
