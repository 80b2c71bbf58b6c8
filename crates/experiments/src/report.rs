//! Writes what was measured.

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
pub async fn write(scenario: &Scenario, out: &Path) -> anyhow::Result<()> {
    let mut trials = Vec::new();
    for &policy in &scenario.policies {
        eprintln!("{}: {policy:?}", scenario.name);
        trials.push(Trial::run(scenario, policy).await?);
    }
    let text = table(scenario, &trials)?;
    print!("{text}");
    fs::write(out.join(format!("{}.md", scenario.name)), text)?;
    chart::draw(scenario, &trials, out)
}

fn table(scenario: &Scenario, trials: &[Trial]) -> anyhow::Result<String> {
    let mut text = format!("## {}\n\n", scenario.name);
    if trials.iter().any(|trial| trial.measure.sent > 0) {
        write_load(&mut text, trials)?;
    }
    for trial in trials {
        write_overhead(&mut text, trial)?;
    }
    text.push('\n');
    Ok(text)
}

/// One row for each policy.
fn write_load(text: &mut String, trials: &[Trial]) -> anyhow::Result<()> {
    writeln!(
        text,
        "| policy | made | answered | not run | unknown | doubled | broken feeds | given up feeds | \
         collapses | max/mean | variation | p50 ms | p99 ms | offered/sent |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
    )?;
    for trial in trials {
        let (policy, measure) = (trial.policy, &trial.measure);
        let total = measure.total();
        writeln!(
            text,
            "| {policy} | {} | {} | {} | {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.1} | {:.1} | {:.2} |",
            total.made,
            total.answered,
            total.not_run,
            total.unknown,
            measure.doubled,
            measure.broken_feeds,
            measure.given_up_feeds,
            measure.collapses,
            measure.overall_imbalance,
            measure.variation,
            quantile(&measure.bookings, 0.5),
            quantile(&measure.bookings, 0.99),
            measure.offered_ratio,
        )?;
    }
    Ok(())
}

/// The whole path against direct calls, if they were compared.
fn write_overhead(text: &mut String, trial: &Trial) -> anyhow::Result<()> {
    let (policy, Some(overhead)) = (trial.policy, &trial.overhead) else {
        return Ok(());
    };
    for (name, at) in [("median", 0.5), ("99th percentile", 0.99)] {
        let (path, direct) = (quantile(&overhead.path, at), quantile(&overhead.direct, at));
        let (extra, ratio) = (path - direct, path / direct);
        writeln!(
            text,
            "\n{policy}, {name}: {path:.2} ms whole path, {direct:.2} ms direct, \
             {extra:.2} ms extra, ratio {ratio:.2}"
        )?;
    }
    Ok(())
}

/// A quantile in milliseconds.
fn quantile(histogram: &Histogram<u64>, at: f64) -> f64 {
    histogram.value_at_quantile(at) as f64 / US_PER_MS
}
