//! An upstream as a process; its arguments are those of `upstream::Settings::parse`.

use sassafrasmast_standins::upstream::{Server, Settings};

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    Server::run(Settings::parse(pico_args::Arguments::from_env())?).await
}
