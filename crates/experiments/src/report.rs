//! Runs a scenario under its policies and writes the results.

use std::{fmt::Write, fs, path::Path};

use hdrhistogram::Histogram;

use crate::{chart, scenario::Scenario, trial::Trial};

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Runs a scenario under all its policies and writes a table and charts into `out`.
///
/// # Errors
///
/// If a trial fails or a file cannot be written.
pub async fn run_and_write(scenario: &Scenario, out: &Path) -> anyhow::Result<()> {
    let mut trials = Vec::new();
    for &policy in &scenario.policies {
        eprintln!("{}: running with policy {policy:?}", scenario.name);
        trials.push(Trial::run(scenario, policy).await?);
    }
    let text = table(scenario, &trials)?;
    print!("{text}");
    fs::write(out.join(format!("{}.md", scenario.name)), text)?;
    chart::draw(scenario, &trials, out)
}

fn table(scenario: &Scenario, trials: &[Trial]) -> anyhow::Result<String> {
    let mut text = format!("## {}\n\n", scenario.name);
    if trials.iter().any(|trial| trial.metrics.sent > 0) {
        write_load(&mut text, trials)?;
    }
    for trial in trials {
        write_overhead(&mut text, trial)?;
    }
    text.push('\n');
    Ok(text)
}

/// Writes a table with one row for each policy.
fn write_load(text: &mut String, trials: &[Trial]) -> anyhow::Result<()> {
    writeln!(
        text,
        "| policy | made | answered | not run | unknown | duplicates | broken feeds | \
         feeds closed by zone-out | \
         collapses | imbalance max/mean | variation | booking p50 ms | booking p99 ms | offered/sent |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
    )?;
    for trial in trials {
        let (policy, metrics) = (trial.policy, &trial.metrics);
        let total = metrics.total();
        writeln!(
            text,
            "| {policy} | {} | {} | {} | {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.1} | {:.1} | {:.2} |",
            total.made,
            total.answered,
            total.not_run,
            total.unknown,
            metrics.duplicates,
            metrics.broken_feeds,
            metrics.feeds_closed_by_zone_out,
            metrics.collapses,
            metrics.overall_imbalance,
            metrics.variation,
            quantile_ms(&metrics.booking_latency_us, 0.5),
            quantile_ms(&metrics.booking_latency_us, 0.99),
            metrics.offered_ratio,
        )?;
    }
    Ok(())
}

/// Writes the end-to-end latency compared with direct calls, if it was measured.
fn write_overhead(text: &mut String, trial: &Trial) -> anyhow::Result<()> {
    let (policy, Some(overhead)) = (trial.policy, &trial.overhead) else {
        return Ok(());
    };
    for (name, quantile) in [("median", 0.5), ("99th percentile", 0.99)] {
        let (end_to_end, direct) = (
            quantile_ms(&overhead.end_to_end, quantile),
            quantile_ms(&overhead.direct, quantile),
        );
        let (extra, ratio) = (end_to_end - direct, end_to_end / direct);
        writeln!(
            text,
            "\n{policy}, {name}: {end_to_end:.2} ms end to end, {direct:.2} ms direct, \
             {extra:.2} ms extra, ratio {ratio:.2}"
        )?;
    }
    Ok(())
}

/// A quantile of a histogram in microseconds, converted to milliseconds.
fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / US_PER_MS
}
