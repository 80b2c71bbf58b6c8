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
    writeln!(
        text,
        "| policy | made | answered | not run | unknown | doubled | broken feeds | given up feeds | \
         collapses | max/mean | variation | p50 ms | p99 ms | offered/sent |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
    )?;
    for Trial {
        policy, measure, ..
    } in trials
    {
        let total = measure.total();
        writeln!(
            text,
            "| {policy:?} | {} | {} | {} | {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.1} | {:.1} | {:.2} |",
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
    for Trial {
        policy, overhead, ..
    } in trials
    {
        let Some(overhead) = overhead else { continue };
        for (name, at) in [("median", 0.5), ("99th percentile", 0.99)] {
            let (path, direct) = (quantile(&overhead.path, at), quantile(&overhead.direct, at));
            let (extra, ratio) = (path - direct, path / direct);
            writeln!(
                text,
                "\n{policy:?}, {name}: {path:.2} ms whole path, {direct:.2} ms direct, \
                 {extra:.2} ms extra, ratio {ratio:.2}"
            )?;
        }
    }
    text.push('\n');
    Ok(text)
}

/// A quantile in milliseconds.
fn quantile(histogram: &Histogram<u64>, at: f64) -> f64 {
    histogram.value_at_quantile(at) as f64 / US_PER_MS
}
