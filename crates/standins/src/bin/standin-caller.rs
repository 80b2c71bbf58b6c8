//! Runs many callers in one process and prints a summary as JSON.

use sassafrasmast_standins::caller::Load;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let load = Load::parse(pico_args::Arguments::from_env())?;
    println!("{}", load.run().await?);
    Ok(())
}
