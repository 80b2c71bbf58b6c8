//! Metrics of a trial.

use std::time::Duration;

use hdrhistogram::Histogram;
use sassafrasmast_standins::caller::FinalOutcome;

/// Outcomes, as seen by callers, of the requests that started in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests made.
    pub made: u64,
    /// Requests answered completely by an upstream within the deadline.
    pub answered: u64,
    /// Requests without an answer of an upstream that are known not to have run.
    pub not_run: u64,
    /// Requests that failed at an upstream, or that may have run.
    pub unknown: u64,
}

/// Metrics of one trial.
#[derive(Debug)]
pub struct Metrics {
    /// Outcomes by the second in which a request started.
    pub seconds: Vec<OutcomeCounts>,
    /// Latency of answered bookings in microseconds.
    pub booking_latency_us: Histogram<u64>,
    /// Latency of answered manifests in microseconds.
    pub manifest_latency_us: Histogram<u64>,
    /// Feeds that broke.
    pub broken_feeds: usize,
    /// Feeds closed because their zone was taken out.
    pub feeds_closed_by_zone_out: usize,
    /// Bookings that ran more than once.
    pub duplicates: u64,
    /// Collapses of upstreams.
    pub collapses: u64,
    /// Attempts of callers, including the warm-up and retries.
    pub sent: u64,
    /// Requests that upstreams received, divided by `sent`.
    pub offered_ratio: f64,
    /// Highest divided by mean number of running requests among the upstreams of the first service,
    /// one value for each second.
    pub imbalance: Vec<f64>,
    /// The same ratio over the whole measurement.
    pub overall_imbalance: f64,
    /// Coefficient of variation of the running requests among these upstreams over the whole
    /// measurement.
    pub variation: f64,
}

impl Metrics {
    /// Empty metrics for a measurement of `seconds` seconds.
    pub fn new(seconds: usize) -> Self {
        Self {
            seconds: vec![OutcomeCounts::default(); seconds],
            booking_latency_us: latency_histogram(),
            manifest_latency_us: latency_histogram(),
            broken_feeds: 0,
            feeds_closed_by_zone_out: 0,
            duplicates: 0,
            collapses: 0,
            sent: 0,
            offered_ratio: 0.0,
            imbalance: Vec::new(),
            overall_imbalance: 0.0,
            variation: 0.0,
        }
    }

    /// Counts one request that started `offset` after the start of the measurement.
    pub fn count(
        &mut self,
        offset: Duration,
        is_manifest: bool,
        final_outcome: FinalOutcome,
        success: bool,
        latency: Duration,
    ) {
        let index = usize::try_from(offset.as_secs()).unwrap_or(usize::MAX);
        let Some(second) = self.seconds.get_mut(index) else {
            return;
        };
        second.made += 1;
        match final_outcome {
            FinalOutcome::Ran if success => {
                second.answered += 1;
                let histogram = if is_manifest {
                    &mut self.manifest_latency_us
                } else {
                    &mut self.booking_latency_us
                };
                histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
            }
            FinalOutcome::NotRun => second.not_run += 1,
            FinalOutcome::Ran | FinalOutcome::Unknown => second.unknown += 1,
        }
    }

    /// The sum of all seconds.
    pub fn total(&self) -> OutcomeCounts {
        self.seconds
            .iter()
            .fold(OutcomeCounts::default(), |sum, second| OutcomeCounts {
                made: sum.made + second.made,
                answered: sum.answered + second.answered,
                not_run: sum.not_run + second.not_run,
                unknown: sum.unknown + second.unknown,
            })
    }
}

/// A histogram of latencies from a microsecond to a minute.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
