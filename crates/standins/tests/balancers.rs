//! Balancer processes that stop, restart and pause.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::sys::signal::Signal;
use sassafrasmast_core::timeline::Kind;
use sassafrasmast_standins::{
    caller::{self, Client},
    deployment::{Deployment, OperatorClient, ServiceSettings, Settings, wait_until},
};
use sassafrasmast_wire::AgentId;
use tokio::task::JoinSet;

/// Time within which a stopped balancer must be unlisted and every change must be in force.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(5);

/// Time limit for a started balancer to be listed by another one, and for a caller to connect
/// through a balancer that is paused meanwhile.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

/// Waits until the first balancer lists `count` balancers.
async fn wait_for_balancer_count(deployment: &Deployment, count: usize, limit: Duration) {
    let operator = deployment.operator_client(0);
    let operator = &operator;
    wait_until("the list of balancers", limit, || async move {
        let status = operator.status().await?;
        let found = status.balancers.len();
        anyhow::ensure!(
            found == count,
            "{found} balancers are listed instead of {count}"
        );
        Ok(())
    })
    .await
    .expect("the list of balancers is updated in time");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stopped_balancer_is_unlisted_in_time_and_listed_again_after_its_restart() {
    let mut deployment = Deployment::without_upstreams().await.unwrap();
    let status = deployment
        .operator_client(0)
        .status()
        .await
        .expect("status answered");
    // The start waits for the first balancer only; the other two may not be listed yet.
    let count = status.balancers.len().max(3);
    wait_for_balancer_count(&deployment, count, RECOVERY_LIMIT).await;
    let balancer = deployment.process("balancer-2").expect("balancer-2 exists");
    balancer.signal(Signal::SIGTERM).expect("signal sent");
    wait_for_balancer_count(&deployment, count - 1, CONVERGENCE_LIMIT).await;
    let balancer = deployment.process("balancer-2").expect("balancer-2 exists");
    let end = balancer
        .wait(CONVERGENCE_LIMIT)
        .await
        .expect("balancer-2 stops");
    assert!(end.success(), "{end}");
    balancer.restart().expect("balancer-2 starts again");
    wait_for_balancer_count(&deployment, count, RECOVERY_LIMIT).await;
}

/// Callers that each open a flow at the same time.
const CALLERS: usize = 150;

/// Bound on the time to open a flow on an idle deployment. A lost first datagram is retransmitted
/// by the caller after one second, so a flow that opens faster needed no retransmission.
const MAX_OPEN_TIME: Duration = Duration::from_millis(900);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_flow_openings_need_no_retransmission() {
    let settings = Settings {
        services: vec![ServiceSettings::new("dispatch", 7)],
        ..Settings::default()
    };
    let deployment = Deployment::start(settings)
        .await
        .expect("the deployment starts");
    let mut opening = JoinSet::new();
    for _ in 0..CALLERS {
        let client = deployment.client(0).expect("the caller's socket opens");
        opening.spawn(async move {
            let began = Instant::now();
            let connection = client.connect().await.expect("a flow opens");
            (began.elapsed(), connection)
        });
    }
    let mut open = opening.join_all().await;
    open.sort_by_key(|(time, _)| *time);
    let times: Vec<_> = open.iter().map(|(time, _)| *time).collect();
    let late = times.iter().filter(|&&time| time >= MAX_OPEN_TIME).count();
    let (median, longest) = (times[CALLERS / 2], times[CALLERS - 1]);
    println!("{CALLERS} flows at once: median {median:?}, longest {longest:?}, {late} late");
    assert_eq!(late, 0, "median {median:?}, longest {longest:?}");
}

/// Callers that try to open a flow through the paused balancer.
const WAITING_CALLERS: usize = 40;

/// Agents on which a balancer has placed flows since `moment`, a time since the Unix epoch.
async fn placed_since(operator: &OperatorClient, moment: Duration) -> Vec<AgentId> {
    let events = operator
        .events(0)
        .await
        .expect("the balancer answers with its events")
        .events;
    events
        .into_iter()
        .filter(|numbered| u128::from(numbered.event.at_ns) >= moment.as_nanos())
        .filter_map(|numbered| match numbered.event.kind {
            Kind::FlowPlaced { agent, .. } => Some(agent),
            _ => None,
        })
        .collect()
}

/// A balancer resumes with the first datagrams of flows in its receive queue, but without the
/// zone-out that was confirmed during its pause. It must not place these flows in the zone.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn resumed_balancer_places_no_flow_in_a_zone_taken_out_during_its_pause() {
    let settings = Settings {
        services: vec![ServiceSettings::new("dispatch", 6)],
        ..Settings::default()
    };
    let zone = settings.zone(0).to_owned();
    let mut deployment = Deployment::start(settings)
        .await
        .expect("the deployment starts");
    deployment
        .set_fabric_balancers(&[2])
        .await
        .expect("the fabric answers");
    let paused = deployment.process("balancer-2").expect("balancer-2 exists");
    paused.signal(Signal::SIGSTOP).expect("signal sent");
    let mut opening = JoinSet::new();
    for _ in 0..WAITING_CALLERS {
        let client_settings = caller::Settings {
            connect_timeout: RECOVERY_LIMIT,
            ..deployment.caller_settings(0).expect("certificate read")
        };
        let client = Client::new(client_settings).expect("the caller's socket opens");
        opening.spawn(async move { client.connect().await.is_ok() });
    }
    let operator = deployment.operator_client(0);
    operator.zone_out(&zone).await.expect("confirmed");
    tokio::time::sleep(CONVERGENCE_LIMIT / 2).await;
    let resumed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .expect("after 1970");
    let paused = deployment.process("balancer-2").expect("balancer-2 exists");
    paused.signal(Signal::SIGCONT).expect("signal sent");
    let opened = opening
        .join_all()
        .await
        .into_iter()
        .filter(|opened| *opened)
        .count();

    let status = operator.status().await.expect("status answered");
    let in_zone = |agent| {
        let found = status
            .upstreams
            .iter()
            .find(|upstream| upstream.agent == agent);
        found.is_some_and(|upstream| upstream.upstream.zone == zone)
    };
    let placed = placed_since(&deployment.operator_client(2), resumed).await;
    let misplaced = placed.iter().filter(|&&agent| in_zone(agent)).count();
    println!(
        "{opened} of {WAITING_CALLERS} flows opened, {} placed, {misplaced} of them in zone {zone}",
        placed.len()
    );
    assert_eq!(misplaced, 0, "of {} placed", placed.len());
    assert!(
        opened > 0 && !placed.is_empty(),
        "{opened} opened, {} placed",
        placed.len()
    );
}
