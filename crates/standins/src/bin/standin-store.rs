//! Runs the store stand-in: `standin-store --listen ADDRESS`.

use std::net::SocketAddr;

use sassafrasmast_standins::store::Gateway;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let listen: SocketAddr = arguments.value_from_str("--listen")?;
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}");
    Gateway::run(listen).await
}
