//! Results of many requests.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::{Answer, Error, FinalOutcome, Submission};

/// Precision of the latency histogram.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Results of many bookings or manifests.
#[derive(Debug, Clone)]
pub struct Summary {
    /// Requests that ran and succeeded.
    pub ran: u64,
    /// Requests that ran and failed at the upstream.
    pub failed: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests with an invalid answer.
    pub wrong: u64,
    /// Attempts of all requests.
    pub attempts: u64,
    /// Number of occurrences of each error text.
    pub errors: BTreeMap<String, u64>,
    histogram: Histogram<u64>,
}

/// Latencies of the requests that ran and succeeded, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Latencies {
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

impl Default for Summary {
    fn default() -> Self {
        Self {
            ran: 0,
            failed: 0,
            not_run: 0,
            unknown: 0,
            wrong: 0,
            attempts: 0,
            errors: BTreeMap::new(),
            histogram: Histogram::new(SIGNIFICANT_DIGITS).expect("3 is a valid number of digits"),
        }
    }
}

impl Summary {
    /// Adds one request.
    pub fn add(&mut self, result: &Result<Submission, Error>) {
        let submission = match result {
            Ok(submission) => submission,
            Err(error) => {
                self.wrong += 1;
                *self.errors.entry(error.to_string()).or_default() += 1;
                return;
            }
        };
        self.attempts += u64::from(submission.attempts);
        for error in &submission.errors {
            *self.errors.entry(error.clone()).or_default() += 1;
        }
        match submission.final_outcome {
            FinalOutcome::Ran if submission.is_success() => self.record(submission.elapsed),
            FinalOutcome::Ran => self.failed += 1,
            FinalOutcome::NotRun => self.not_run += 1,
            FinalOutcome::Unknown => self.unknown += 1,
        }
    }

    /// Adds one request made directly to an upstream.
    pub fn add_direct(&mut self, answer: &Answer, elapsed: Duration) {
        self.attempts += 1;
        if answer.is_success() {
            self.record(elapsed);
        } else {
            self.failed += 1;
            let error = format!("status {}", answer.status);
            *self.errors.entry(error).or_default() += 1;
        }
    }

    /// Adds the results of another caller.
    pub fn merge(&mut self, other: Self) {
        self.ran += other.ran;
        self.failed += other.failed;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
        self.attempts += other.attempts;
        for (error, count) in other.errors {
            *self.errors.entry(error).or_default() += count;
        }
        // Cannot fail: both histograms resize themselves.
        let _ = self.histogram.add(other.histogram);
    }

    fn record(&mut self, elapsed: Duration) {
        self.ran += 1;
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        // Cannot fail: the histogram resizes itself.
        let _ = self.histogram.record(micros);
    }

    /// Latencies of the requests that ran and succeeded.
    pub fn latencies(&self) -> Latencies {
        Latencies {
            p50_us: self.histogram.value_at_quantile(0.5),
            p90_us: self.histogram.value_at_quantile(0.9),
            p99_us: self.histogram.value_at_quantile(0.99),
            max_us: self.histogram.max(),
        }
    }

    /// The results as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::json!({
            "ran": self.ran,
            "failed": self.failed,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "wrong": self.wrong,
            "attempts": self.attempts,
            "latencies": self.latencies(),
            "errors": self.errors,
        })
    }
}
