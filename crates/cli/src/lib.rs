//! The operators' command-line tool as a library: a thin `main` calls [`main`].

use std::process::ExitCode;

/// Runs the tool.
pub fn main() -> ExitCode {
    println!("sassafrasmast {}", env!("CARGO_PKG_VERSION"));
    ExitCode::SUCCESS
}
