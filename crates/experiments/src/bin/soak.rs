//! Command-line tool for soak tests.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasmast_experiments::soak::main()
}
