//! Runs the upstream stand-in; for its arguments see `upstream::Settings::parse`.

use sassafrasmast_standins::upstream::{Server, Settings};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    Server::run(Settings::parse(pico_args::Arguments::from_env())?).await
}
