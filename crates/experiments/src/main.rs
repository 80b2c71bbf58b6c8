//! Command-line tool for experiments.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasmast_experiments::main()
}
