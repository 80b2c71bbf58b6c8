//! Starts a small deployment, runs the whole path through faults and stops it again.

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
