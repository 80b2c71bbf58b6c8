//! Samples how work is spread over upstreams.

use std::time::Duration;

use sassafrasmast_standins::deployment::Deployment;

/// Time between two samples.
pub const PERIOD: Duration = Duration::from_millis(100);

/// Samples in a second.
const PER_SECOND: usize = 10;

/// Running work of each upstream, a row a sample.
#[derive(Debug, Default)]
pub struct Sampler {
    rows: Vec<Vec<f64>>,
}

impl Sampler {
    /// Takes one sample of the first `upstreams` upstreams.
    pub async fn sample(&mut self, deployment: &Deployment, upstreams: usize) {
        let mut row = Vec::with_capacity(upstreams);
        for index in 0..upstreams {
            let running = deployment
                .upstream_counts(index)
                .await
                .map_or(0, |counts| counts.running);
            row.push(running as f64);
        }
        self.rows.push(row);
    }

    /// Highest over mean running work, a value a second.
    pub fn by_second(&self) -> Vec<f64> {
        self.rows
            .chunks(PER_SECOND)
            .map(|rows| ratio(&means(rows)))
            .collect()
    }

    /// Highest over mean running work over all samples.
    pub fn overall(&self) -> f64 {
        ratio(&means(&self.rows))
    }

    /// Coefficient of variation of running work over all samples.
    pub fn variation(&self) -> f64 {
        let means = means(&self.rows);
        let mean = average(&means);
        if mean == 0.0 {
            return 0.0;
        }
        let squares: Vec<_> = means.iter().map(|value| (value - mean).powi(2)).collect();
        average(&squares).sqrt() / mean
    }
}

/// Mean of each column.
fn means(rows: &[Vec<f64>]) -> Vec<f64> {
    let columns = rows.first().map_or(0, Vec::len);
    let column = |index: usize| rows.iter().map(|row| row[index]).sum::<f64>() / rows.len() as f64;
    (0..columns).map(column).collect()
}

fn average(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn ratio(means: &[f64]) -> f64 {
    let mean = average(means);
    let highest = means.iter().copied().fold(0.0, f64::max);
    if mean == 0.0 { 1.0 } else { highest / mean }
}
