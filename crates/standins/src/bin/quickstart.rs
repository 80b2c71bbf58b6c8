//! Starts a small deployment, runs the whole path through faults and stops it again.

use std::process::ExitCode;

use sassafrasmast_standins::quickstart::Tour;

#[tokio::main]
async fn main() -> ExitCode {
    if Tour::run().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
