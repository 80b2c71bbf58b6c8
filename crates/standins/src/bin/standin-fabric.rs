//! Runs the fabric stand-in; for its arguments see `fabric::Settings::parse`.

use sassafrasmast_standins::fabric::{Forwarder, Settings};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    Forwarder::run(Settings::parse(pico_args::Arguments::from_env())?).await
}
