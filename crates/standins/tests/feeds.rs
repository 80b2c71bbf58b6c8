//! Feeds end to end while processes fail and the configuration changes.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sassafrasmast_core::config::Change;
use sassafrasmast_standins::{
    caller::Error,
    deployment::{Deployment, Settings},
    fabric,
    workload::{Bookings, Feeds},
};

/// Time within which every change must have taken effect.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(5);

/// Time for which feeds are read after an agent restarted.
const READ_TIME_AFTER_RESTART: Duration = Duration::from_secs(3);

async fn start() -> Deployment {
    Deployment::start(Settings::default())
        .await
        .expect("the deployment starts")
}

fn from_now(time: Duration) -> Instant {
    Instant::now() + time
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_kill_and_restart_of_balancers() {
    let mut deployment = start().await;
    let feeds = Feeds::open(&deployment, 100).await.unwrap();
    let reading = tokio::spawn(feeds.read(from_now(Duration::from_secs(11))));
    tokio::time::sleep(Duration::from_secs(1)).await;
    for killed in [1, 2] {
        let name = format!("balancer-{killed}");
        deployment.signal(&name, Signal::SIGKILL).unwrap();
        tokio::time::sleep(Duration::from_millis(500)).await;
        let remaining: Vec<_> = (0..3).filter(|&index| index != killed).collect();
        deployment.set_fabric_balancers(&remaining).await.unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
        deployment.process(&name).unwrap().restart().unwrap();
        tokio::time::sleep(Duration::from_secs(2)).await;
        deployment.set_fabric_balancers(&[0, 1, 2]).await.unwrap();
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let feeds = reading.await.unwrap();
    assert!(feeds.broken.is_empty(), "{:?}", feeds.broken);
    assert_eq!(feeds.intact.len(), 100);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_survive_drain_key_rotation_and_rebinding_of_their_caller() {
    let deployment = start().await;
    let feeds = Feeds::open(&deployment, 30).await.unwrap();
    let reading = tokio::spawn(feeds.read(from_now(Duration::from_secs(8))));
    let operator = deployment.operator_client(0);
    let agent = operator.status().await.unwrap().upstreams[0].agent;
    operator
        .change(vec![Change::Drain { agent }])
        .await
        .unwrap();
    for _ in 0..2 {
        let version = operator.change(vec![Change::RotateKey]).await.unwrap();
        deployment
            .wait_for_version(version, CONVERGENCE_LIMIT)
            .await
            .unwrap();
    }
    let rebind = fabric::Fault {
        rebind_all: true,
        ..fabric::Fault::default()
    };
    deployment.set_fabric_fault(&rebind).await.unwrap();
    let feeds = reading.await.unwrap();
    assert!(feeds.broken.is_empty(), "{:?}", feeds.broken);
    assert_eq!(feeds.intact.len(), 30);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_out_closes_only_the_feeds_in_the_zone_and_with_a_reason() {
    let deployment = start().await;
    let feeds = Feeds::open(&deployment, 30).await.unwrap();
    let feeds = feeds.read(from_now(Duration::from_secs(1))).await;
    assert!(feeds.broken.is_empty(), "{:?}", feeds.broken);
    let zone = deployment.settings.zone(0).to_owned();
    let in_zone = |upstream: &str| deployment.zone_of(upstream).unwrap() == zone;
    let expected = feeds.intact.iter().filter(|feed| in_zone(&feed.upstream));
    let expected = expected.count();
    assert!(expected > 0, "{:?}", feeds.intact);
    deployment.operator_client(1).zone_out(&zone).await.unwrap();
    let feeds = feeds.read(from_now(CONVERGENCE_LIMIT)).await;
    assert_eq!(feeds.broken.len(), expected, "{:?}", feeds.broken);
    assert_eq!(feeds.intact.len(), 30 - expected);
    for (upstream, error) in &feeds.broken {
        assert!(in_zone(upstream), "{upstream}: {error}");
        let closed_with_reason =
            matches!(error, Error::Closed { reason, .. } if !reason.is_empty());
        assert!(closed_with_reason, "{upstream}: {error}");
    }
    let bookings = Bookings::submit(&deployment, "left", 4).await.unwrap();
    bookings.check(&deployment.executions().await).unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feeds_do_not_warm_up_an_upstream() {
    let deployment = start().await;
    let feeds = Feeds::open(&deployment, 100).await.unwrap();
    // A cold upstream runs only one booking at a time, however many feeds it serves.
    let bookings = Bookings::submit(&deployment, "cold", 9).await.unwrap();
    bookings.check(&deployment.executions().await).unwrap();
    for index in 0..3 {
        let counts = deployment.upstream_counts(index).await.unwrap();
        assert_eq!(counts.collapses, 0, "{counts:?}");
    }
    drop(feeds);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_agent_resets_the_feeds_of_its_earlier_incarnation_at_once() {
    let mut deployment = start().await;
    let feeds = Feeds::open(&deployment, 20).await.unwrap();
    let feeds = feeds.read(from_now(Duration::from_secs(1))).await;
    let expected = feeds.intact.iter();
    let expected = expected.filter(|feed| feed.upstream == "upstream-dispatch-0");
    let expected = expected.count();
    assert!(expected > 0, "{:?}", feeds.intact);
    deployment
        .process("agent-dispatch-0")
        .unwrap()
        .restart()
        .unwrap();
    let feeds = feeds.read(from_now(READ_TIME_AFTER_RESTART)).await;
    assert_eq!(feeds.broken.len(), expected, "{:?}", feeds.broken);
    for (upstream, error) in &feeds.broken {
        assert_eq!(upstream, "upstream-dispatch-0", "{error}");
        assert!(matches!(error, Error::Lost(_)), "{error}");
    }
}
