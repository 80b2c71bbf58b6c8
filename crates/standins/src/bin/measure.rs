//! Measures a deployment end to end and prints the results as JSON.
//!
//! ```text
//! measure feeds [COUNT]                   feeds while each balancer is killed and restarted
//! measure connects [COUNT] [CONCURRENCY]  time to open a connection
//! measure path [COUNT] [CONCURRENCY]      bookings directly to an upstream and end to end
//! ```

use sassafrasmast_standins::measure;

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let mut arguments = pico_args::Arguments::from_env();
    let what = arguments.subcommand()?;
    let count: Option<u32> = arguments.opt_free_from_str()?;
    let concurrency: Option<u32> = arguments.opt_free_from_str()?;
    let rest = arguments.finish();
    anyhow::ensure!(rest.is_empty(), "unknown arguments {rest:?}");
    let count = count.unwrap_or(1_000);
    let concurrency = concurrency.unwrap_or(1);
    let result = match what.as_deref() {
        Some("feeds") => measure::feeds(count as usize).await?,
        Some("connects") => measure::connects(count as usize, concurrency as usize).await?,
        Some("path") => measure::path(count.into(), concurrency.into()).await?,
        _ => anyhow::bail!("usage: measure feeds|connects|path [COUNT] [CONCURRENCY]"),
    };
    println!("{}", serde_json::to_string_pretty(&result)?);
    Ok(())
}
