//! The experiment tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasmast_experiments::main()
}
