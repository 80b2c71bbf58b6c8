//! Latency of bookings end to end, compared with direct calls to an upstream.

use std::time::Instant;

use hdrhistogram::Histogram;
use sassafrasmast_standins::{
    caller::{Client, DirectConnection},
    deployment::Deployment,
};

use crate::metrics::latency_histogram;

/// Bookings each way before the comparison, to warm up the upstreams.
const WARM_UP_BOOKINGS: u64 = 50;

/// Latencies of single bookings, made alternately end to end and directly.
#[derive(Debug)]
pub struct Overhead {
    /// Through fabric, balancer and agent, in microseconds.
    pub end_to_end: Histogram<u64>,
    /// Directly to an upstream, in microseconds.
    pub direct: Histogram<u64>,
}

impl Overhead {
    /// Makes `count` bookings each way, one at a time and alternately.
    ///
    /// # Errors
    ///
    /// If an upstream cannot be reached directly or a booking end to end fails.
    pub async fn measure(deployment: &Deployment, count: u64) -> anyhow::Result<Self> {
        let mut client = Client::new(deployment.caller_settings(0)?)?;
        let mut direct = DirectConnection::connect(deployment.network.upstream(0)).await?;
        let mut overhead = Self {
            end_to_end: latency_histogram(),
            direct: latency_histogram(),
        };
        for number in 0..WARM_UP_BOOKINGS + count {
            let begun = Instant::now();
            let submission = client.book(&format!("path-{number}")).await?;
            let end_to_end = begun.elapsed();
            anyhow::ensure!(
                submission.is_success(),
                "booking {number}: {:?}",
                submission.errors
            );
            let body = format!("{{\"booking\":\"direct-{number}\"}}");
            let begun = Instant::now();
            direct.post("/bookings", body.into()).await?;
            if number >= WARM_UP_BOOKINGS {
                overhead
                    .end_to_end
                    .saturating_record(end_to_end.as_micros() as u64);
                overhead
                    .direct
                    .saturating_record(begun.elapsed().as_micros() as u64);
            }
        }
        Ok(overhead)
    }
}
