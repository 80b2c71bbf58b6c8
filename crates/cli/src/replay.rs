//! Replays a recorded timeline through the decision logic.

use std::{fs, path::Path, time::Instant};

use anyhow::Context;
use sassafrasmast_core::replay::{Player, Report, Trace};
use serde::Serialize;

use crate::exit::Exit;

/// A replay report in the form printed as JSON.
#[derive(Debug, Serialize)]
struct Summary {
    passed: bool,
    decisions: Vec<String>,
    violations: Vec<String>,
    missed: Vec<String>,
    stated: usize,
}

impl Summary {
    fn new(report: &Report) -> anyhow::Result<Self> {
        let missed: Result<_, _> = report.unmet.iter().map(serde_json::to_string).collect();
        Ok(Self {
            passed: report.passed(),
            decisions: report.decisions.iter().map(ToString::to_string).collect(),
            violations: report.violations.clone(),
            missed: missed.context("cannot encode an unmet expectation")?,
            stated: report.expectation_count,
        })
    }

    fn print(&self) {
        for decision in &self.decisions {
            println!("{decision}");
        }
        for violation in &self.violations {
            println!("violation: {violation}");
        }
        for missed in &self.missed {
            println!("unmet expectation: {missed}");
        }
        println!(
            "replay: {} decisions, {} violations, {} of {} expectations unmet",
            self.decisions.len(),
            self.violations.len(),
            self.missed.len(),
            self.stated
        );
    }
}

/// Replays the recorded timeline in `file` and prints the decisions, violated rules and unmet expectations.
///
/// # Errors
///
/// If the file cannot be read or is not a recorded timeline.
pub fn run(file: &Path, json: bool) -> anyhow::Result<Exit> {
    let name = file.display();
    let text = fs::read_to_string(file).with_context(|| format!("{name}"))?;
    let trace = Trace::parse(&text).with_context(|| format!("{name}"))?;
    let report = Player::new(Instant::now())
        .play(&trace)
        .with_context(|| format!("{name}"))?;
    let summary = Summary::new(&report)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&summary)?);
    } else {
        summary.print();
    }
    Ok(if summary.passed {
        Exit::Done
    } else {
        Exit::Failed
    })
}
