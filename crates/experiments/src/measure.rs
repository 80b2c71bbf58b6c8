//! What a trial measured.

use std::time::Duration;

use hdrhistogram::Histogram;
use sassafrasmast_standins::caller::FinalOutcome;

/// What callers saw of the requests that began in one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Second {
    /// Requests made.
    pub made: u64,
    /// Answered whole by an upstream within the deadline.
    pub answered: u64,
    /// Given up without an answer of an upstream and known not to have run.
    pub not_run: u64,
    /// Failed by an upstream, or given up without knowing whether they ran.
    pub unknown: u64,
}

/// Measures of one trial.
#[derive(Debug)]
pub struct Measure {
    /// By the second in which a request began.
    pub seconds: Vec<Second>,
    /// Latency of answered bookings in microseconds.
    pub bookings: Histogram<u64>,
    /// Latency of answered manifests in microseconds.
    pub manifests: Histogram<u64>,
    /// Feeds that broke.
    pub broken_feeds: usize,
    /// Feeds closed because their zone was taken out.
    pub given_up_feeds: usize,
    /// Bookings that ran more than once.
    pub doubled: u64,
    /// Collapses of upstreams.
    pub collapses: u64,
    /// Requests that callers made, the warm-up and their own retries included.
    pub sent: u64,
    /// Requests that upstreams saw, as a multiple of those that callers sent.
    pub offered_ratio: f64,
    /// Highest over mean running work over upstreams of the first service, a value a second.
    pub imbalance: Vec<f64>,
    /// The same over the whole trial.
    pub overall_imbalance: f64,
    /// Coefficient of variation of running work over the whole trial.
    pub variation: f64,
}

impl Measure {
    /// A measure of `seconds` seconds without any data.
    pub fn new(seconds: usize) -> Self {
        Self {
            seconds: vec![Second::default(); seconds],
            bookings: histogram(),
            manifests: histogram(),
            broken_feeds: 0,
            given_up_feeds: 0,
            doubled: 0,
            collapses: 0,
            sent: 0,
            offered_ratio: 0.0,
            imbalance: Vec::new(),
            overall_imbalance: 0.0,
            variation: 0.0,
        }
    }

    /// Counts one request.
    pub fn count(
        &mut self,
        begun: Duration,
        heavy: bool,
        final_outcome: FinalOutcome,
        success: bool,
        took: Duration,
    ) {
        let index = usize::try_from(begun.as_secs()).unwrap_or(usize::MAX);
        let Some(second) = self.seconds.get_mut(index) else {
            return;
        };
        second.made += 1;
        match final_outcome {
            FinalOutcome::Ran if success => {
                second.answered += 1;
                let histogram = if heavy {
                    &mut self.manifests
                } else {
                    &mut self.bookings
                };
                histogram.saturating_record(u64::try_from(took.as_micros()).unwrap_or(u64::MAX));
            }
            FinalOutcome::NotRun => second.not_run += 1,
            FinalOutcome::Ran | FinalOutcome::Unknown => second.unknown += 1,
        }
    }

    /// The sum of all seconds.
    pub fn total(&self) -> Second {
        self.seconds
            .iter()
            .fold(Second::default(), |sum, second| Second {
                made: sum.made + second.made,
                answered: sum.answered + second.answered,
                not_run: sum.not_run + second.not_run,
                unknown: sum.unknown + second.unknown,
            })
    }
}

/// A histogram of latencies from a microsecond to a minute.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}
