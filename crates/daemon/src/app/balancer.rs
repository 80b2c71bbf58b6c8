//! The balancer role: sockets and tasks around [`sassafrasmast_core::balancer::Router`].

mod control;
mod data_plane;
mod exporter;
mod journal;
mod listeners;
mod pull;
mod socket;

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use anyhow::Context;
use sassafrasmast_core::{Blackboard, balancer, timeline};
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::mpsc,
};

use self::control::Control;
use crate::{
    options::{Balancer, Settings},
    recorder::Recorder,
};

pub use self::{data_plane::DataPlane, journal::Journal, pull::Pull};

/// Time for which a balancer keeps forwarding after it was signalled to stop.
const SHUTDOWN_FORWARD_TIME: Duration = Duration::from_secs(2);

/// Configuration pulls that may be queued.
const MAX_QUEUED_PULLS: usize = 64;

/// Runs a balancer until a signal stops it.
///
/// # Errors
///
/// If an address cannot be bound or a part cannot be started; the error names it.
pub async fn run(settings: Settings, role: Balancer) -> anyhow::Result<()> {
    let mut terminate =
        signal(SignalKind::terminate()).context("balancer: cannot watch SIGTERM")?;
    let blackboard = Arc::new(Blackboard::new(settings.events));
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .context("balancer: the system clock is before 1970")?
        .as_millis() as u64;
    let router = balancer::Router::new(
        Instant::now(),
        balancer::Settings {
            zone: settings.zone.clone(),
            policy: role.policy,
            seed: incarnation,
            ..balancer::Settings::default()
        },
        Arc::clone(&blackboard),
    );
    router.set_trusted_balancers(role.peers.clone());
    if let Some(address) = settings.metrics {
        exporter::start(address)?;
    }
    let name = settings.name.clone();
    let recorder = Recorder::new(Arc::clone(&blackboard), name, incarnation);
    let journal = Journal::new(recorder.clone());
    journal.record(timeline::Kind::Started);
    let (pulls, pull_requests) = mpsc::channel(MAX_QUEUED_PULLS);
    let data_plane = DataPlane::bind(&settings, &role, router, blackboard, journal, pulls)?;
    let control = Control::start(&settings, &role, recorder, &data_plane).await?;
    pull::serve(pull_requests, control.config.puller.clone());
    data_plane.start();
    log::info!(
        "balancer: {} is listening on {}",
        settings.name,
        settings.listen
    );
    terminate.recv().await;
    log::info!("balancer: signalled to stop, forwarding for another {SHUTDOWN_FORWARD_TIME:?}");
    data_plane.journal().record(timeline::Kind::Draining);
    let leave = async {
        control.config.leave().await;
        tokio::time::sleep(SHUTDOWN_FORWARD_TIME).await;
    };
    tokio::select! {
        () = leave => {}
        _ = terminate.recv() => log::info!("balancer: signalled again, stopping at once"),
    }
    data_plane.journal().record(timeline::Kind::Stopped);
    Ok(())
}
