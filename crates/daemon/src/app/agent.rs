//! The agent role.

use crate::options::{Agent, Settings};

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Names what could not be bound or started.
pub async fn run(settings: Settings, role: Agent) -> anyhow::Result<()> {
    anyhow::bail!("agent {}: cannot serve {} yet", settings.name, role.service)
}
