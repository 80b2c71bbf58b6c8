//! Starts a small deployment, sends requests through it while faults occur, and stops it.

use std::process::ExitCode;

use sassafrasmast_standins::quickstart::Runner;

#[tokio::main]
async fn main() -> ExitCode {
    if Runner::run().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
