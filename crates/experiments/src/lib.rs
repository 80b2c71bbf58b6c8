//! Runs scenarios against real processes on loopback and writes what was measured.
//!
//! A scenario is a TOML file: a deployment, a load with seeded arrivals, faults at stated times and
//! the placement policies to compare in the same run. The tool is no simulator: the deployment is
//! a bounded number of processes on this machine.

use std::{fs, process::ExitCode};

use anyhow::Context;

pub mod arguments;
pub mod chart;
pub mod fault;
pub mod load;
pub mod measure;
pub mod overhead;
pub mod report;
pub mod sampler;
pub mod scenario;
pub mod trial;

use self::{arguments::Arguments, scenario::Scenario};

/// Parses arguments and runs the scenarios.
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
        runtime.block_on(report::write(&scenario, &arguments.out))?;
    }
    Ok(())
}
