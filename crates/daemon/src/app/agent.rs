//! The agent role: ends flows beside one upstream and runs their requests there.

pub mod answer;
pub mod attempt;
pub mod driver;
pub mod exchange;
pub mod flow;
pub mod inflow;
pub mod lifecycle;
pub mod outflow;
pub mod phase;
pub mod recorder;
pub mod server;
pub mod source;
pub mod upstream;

use std::sync::Arc;

use sassafrasmast_core::Blackboard;

pub use self::{
    answer::{Answer, Content},
    driver::Driver,
    inflow::{Cut, Inflow, Piece},
    lifecycle::Lifecycle,
    outflow::Outflow,
    phase::Phase,
    recorder::Recorder,
    server::Server,
    source::Source,
    upstream::Upstream,
};
use crate::options::{Agent, Settings};

/// Runs an agent until it is told to stop.
///
/// # Errors
///
/// Names what could not be bound or started.
pub async fn run(settings: Settings, role: Agent) -> anyhow::Result<()> {
    let blackboard = Arc::new(Blackboard::new(settings.events));
    let lifecycle = Lifecycle::start(settings, role, blackboard)?;
    lifecycle.watch_signals()?;
    lifecycle.run().await
}
