//! The balancer role.

use crate::options::{Balancer, Settings};

/// Runs a balancer until it is told to stop.
///
/// # Errors
///
/// Names what could not be bound or started.
pub async fn run(settings: Settings, role: Balancer) -> anyhow::Result<()> {
    anyhow::bail!("balancer {}: cannot serve {} yet", settings.name, role.api)
}
