//! The sassafrasmast daemon as a library: a thin `main` calls [`main`].
//!
//! - [`options`]: arguments and the settings file, merged in one place.
//! - [`app`]: the two roles, balancer and agent.
//! - [`api`]: the operators' API.
//! - [`config`]: how a process gets, keeps and passes on the configuration.
//! - [`http3`] and [`quic`]: the callers' protocols at an agent.
//! - [`peer`]: calls between processes.
//! - [`recorder`]: the time line of this process.
//! - [`relay`]: requests sent from agent to agent.
//! - [`store`]: the platform's key-value store.

use std::process::ExitCode;

use anyhow::Context;

pub mod api;
pub mod app;
pub mod config;
pub mod http3;
pub mod options;
pub mod peer;
pub mod quic;
pub mod recorder;
pub mod relay;
pub mod store;

use crate::options::{Arguments, Role, Settings};

/// Exit code for bad arguments or settings.
const EXIT_USAGE: u8 = 2;

/// Parses arguments, reads the settings and runs the role until it is told to stop.
pub fn main() -> ExitCode {
    let arguments = match Arguments::from_env() {
        Ok(Some(arguments)) => arguments,
        Ok(None) => return ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sassafrasmastd: {error:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let settings = match Settings::load(&arguments) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("sassafrasmastd: {error:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if arguments.check_settings {
        println!("{}: settings are valid", arguments.settings.display());
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("main: {error:#}");
            eprintln!("sassafrasmastd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the log and the runtime and runs the role named by the settings.
fn run(settings: Settings) -> anyhow::Result<()> {
    let _log = flexi_logger::Logger::try_with_env_or_str(&settings.log)
        .context("log: bad level in settings")?
        .format(flexi_logger::detailed_format)
        .start()
        .context("log: cannot start")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()
        .context("runtime: cannot start")?;
    runtime.block_on(async {
        match settings.role.clone() {
            Role::Balancer(role) => app::balancer::run(settings, role).await,
            Role::Agent(role) => app::agent::run(settings, role).await,
        }
    })
}
