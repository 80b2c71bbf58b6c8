//! Samples the distribution of running requests over the upstreams.

use std::time::Duration;

use sassafrasmast_standins::deployment::Deployment;

/// Time between two samples.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Number of samples a second.
const SAMPLES_PER_SECOND: usize = 10;

/// Number of running requests of each upstream, one row for each sample.
#[derive(Debug, Default)]
pub struct Sampler {
    samples: Vec<Vec<f64>>,
}

impl Sampler {
    /// Takes one sample of the first `upstreams` upstreams.
    pub async fn sample(&mut self, deployment: &Deployment, upstreams: usize) {
        let mut sample_row = Vec::with_capacity(upstreams);
        for index in 0..upstreams {
            let running = deployment
                .upstream_counts(index)
                .await
                .map_or(0, |counts| counts.running);
            sample_row.push(running as f64);
        }
        self.samples.push(sample_row);
    }

    /// Highest divided by mean number of running requests, one value for each second.
    pub fn imbalance_by_second(&self) -> Vec<f64> {
        self.samples
            .chunks(SAMPLES_PER_SECOND)
            .map(|samples| max_to_mean(&column_means(samples)))
            .collect()
    }

    /// Highest divided by mean number of running requests, over all samples.
    pub fn overall_imbalance(&self) -> f64 {
        max_to_mean(&column_means(&self.samples))
    }

    /// Coefficient of variation of the mean running requests of the upstreams, over all samples.
    pub fn variation(&self) -> f64 {
        let means = column_means(&self.samples);
        let mean = mean_of(&means);
        if mean == 0.0 {
            return 0.0;
        }
        let squares: Vec<_> = means.iter().map(|value| (value - mean).powi(2)).collect();
        mean_of(&squares).sqrt() / mean
    }
}

/// Mean of each column.
fn column_means(samples: &[Vec<f64>]) -> Vec<f64> {
    let columns = samples.first().map_or(0, Vec::len);
    let column = |index: usize| {
        samples
            .iter()
            .map(|sample_row| sample_row[index])
            .sum::<f64>()
            / samples.len() as f64
    };
    (0..columns).map(column).collect()
}

fn mean_of(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn max_to_mean(means: &[f64]) -> f64 {
    let mean = mean_of(means);
    let highest = means.iter().copied().fold(0.0, f64::max);
    if mean == 0.0 { 1.0 } else { highest / mean }
}
