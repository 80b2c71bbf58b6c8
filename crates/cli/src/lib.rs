//! The operators' command-line tool as a library: a thin `main` calls [`main`].
//!
//! - [`command`]: what is to be done, parsed from the arguments.
//! - [`client`]: calls of the operators' API, on several balancers in turn.
//! - [`run`]: doing it.
//! - [`exit`]: how it ended.
//! - [`explain`]: the story of one flow from the logs of several processes.
//! - [`replay`]: runs a recorded time line through the decision core.

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
            Exit::of_error(&error).into()
        }
    }
}
