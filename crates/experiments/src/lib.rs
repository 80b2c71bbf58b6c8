//! Runs load and fault scenarios against real processes on loopback and writes the results.
//!
//! A scenario is a TOML file with a deployment, a load with seeded arrivals, faults at given times
//! and the placement policies to compare. This is not a simulation: each deployment is a limited
//! number of processes on one machine.

use std::{fs, process::ExitCode};

use anyhow::Context;

pub mod arguments;
pub mod chart;
pub mod fault;
pub mod load;
pub mod metrics;
pub mod overhead;
pub mod report;
pub mod sampler;
pub mod scenario;
pub mod soak;
pub mod trial;

use self::{arguments::Arguments, scenario::Scenario};

/// Parses the arguments and runs the scenarios.
pub fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("experiment: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> anyhow::Result<()> {
    let Some(arguments) = Arguments::from_env()? else {
        return Ok(());
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    fs::create_dir_all(&arguments.out).with_context(|| format!("{}", arguments.out.display()))?;
    for file in &arguments.scenarios {
        let scenario = Scenario::load(file)?;
        runtime.block_on(report::run_and_write(&scenario, &arguments.out))?;
    }
    Ok(())
}
