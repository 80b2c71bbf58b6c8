//! The sassafrasmast daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    sassafrasmastd::main()
}
