//! The operators' command-line tool as a library: the program in `main.rs` only calls [`main`].
//!
//! - [`command`]: parses the command line.
//! - [`client`]: calls the operators' API, with failover across balancers.
//! - [`run`]: runs a parsed command.
//! - [`exit`]: the exit codes.
//! - [`help`]: the help texts.
//! - [`plan`]: plans changes of the configuration.
//! - [`confirm`]: confirms a plan.
//! - [`status`] and [`processes`]: show the fleet and single flow-forwarding processes.
//! - [`timeline`]: merges the timelines of several processes.
//! - [`check`]: checks settings files.
//! - [`certificate`]: generates a certificate for development.
//! - [`explain`]: the history of one flow from the logs of several processes.
//! - [`replay`]: replays a recorded timeline through the decision logic.

use std::process::ExitCode;

pub mod certificate;
pub mod check;
pub mod client;
pub mod command;
pub mod confirm;
pub mod exit;
pub mod explain;
pub mod help;
pub mod plan;
pub mod processes;
pub mod replay;
pub mod run;
pub mod status;
pub mod timeline;

use self::{command::Command, exit::Exit};

/// Parses the arguments and runs the command.
pub fn main() -> ExitCode {
    let command = match Command::parse(pico_args::Arguments::from_env()) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("sassafrasmast: {error:#}");
            return Exit::Usage.into();
        }
    };
    match run::run(command) {
        Ok(exit) => exit.into(),
        Err(error) => {
            eprintln!("sassafrasmast: {error:#}");
            Exit::from_error(&error).into()
        }
    }
}
