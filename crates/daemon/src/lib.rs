//! The sassafrasmast daemon as a library: the program in `main.rs` only calls [`main`].
//!
//! - [`options`]: command-line arguments and the settings file.
//! - [`app`]: the two roles, balancer and agent.
//! - [`api`]: the operators' API.
//! - [`config`]: receives, keeps and distributes the configuration.
//! - [`http3`] and [`quic`]: the protocols in which callers reach an agent.
//! - [`peer`]: calls between processes.
//! - [`recorder`]: records events in the timeline of the process.
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

/// Parses arguments, reads the settings and runs the role until the process is stopped.
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

/// Starts the logger and the runtime and runs the role that the settings select.
fn run(settings: Settings) -> anyhow::Result<()> {
    let _log = flexi_logger::Logger::try_with_env_or_str(&settings.log)
        .context("log: invalid log level in settings")?
        .format(flexi_logger::detailed_format)
        .start()
        .context("log: cannot start the logger")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build()
        .context("runtime: cannot start the worker threads")?;
    runtime.block_on(async {
        match settings.role.clone() {
            Role::Balancer(role) => app::balancer::run(settings, role).await,
            Role::Agent(role) => app::agent::run(settings, role).await,
        }
    })
}
