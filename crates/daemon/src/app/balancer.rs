//! The balancer role: sockets and tasks around [`sassafrasmast_core::balancer::Router`].

mod control;
mod edge;
mod journal;
mod meter;
mod pull;
mod service;
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

pub use self::{edge::Edge, journal::Journal, pull::Pull};

/// Time for which a balancer that was told to stop goes on forwarding.
const LINGER: Duration = Duration::from_secs(2);

/// Wanted configuration pulls that may wait.
const MAX_PULLS: usize = 64;

/// Runs a balancer until it is told to stop.
///
/// # Errors
///
/// Names what could not be bound or started.
pub async fn run(settings: Settings, role: Balancer) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("balancer: no signals")?;
    let blackboard = Arc::new(Blackboard::new(settings.events));
    let incarnation = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .context("balancer: the clock is before 1970")?
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
        meter::export(address)?;
    }
    let name = settings.name.clone();
    let recorder = Recorder::new(Arc::clone(&blackboard), name, incarnation);
    let journal = Journal::new(recorder.clone());
    journal.record(timeline::Kind::Started);
    let (pulls, wanted) = mpsc::channel(MAX_PULLS);
    let edge = Edge::bind(&settings, &role, router, blackboard, journal, pulls)?;
    let control = Control::start(&settings, &role, recorder, &edge).await?;
    pull::watch(wanted, control.config.puller.clone());
    edge.start();
    log::info!("balancer: {} serves on {}", settings.name, settings.listen);
    terminate.recv().await;
    log::info!("balancer: told to stop, forwards for {LINGER:?} more");
    edge.journal().record(timeline::Kind::Draining);
    let leave = async {
        control.config.leave().await;
        tokio::time::sleep(LINGER).await;
    };
    tokio::select! {
        () = leave => {}
        _ = terminate.recv() => log::info!("balancer: told to stop at once"),
    }
    edge.journal().record(timeline::Kind::Stopped);
    Ok(())
}
