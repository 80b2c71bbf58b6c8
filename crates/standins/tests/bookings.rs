//! Bookings and manifests end to end while faults are injected.

use std::time::Duration;

use bytes::Bytes;
use nix::sys::signal::Signal;
use sassafrasmast_core::error::Outcome;
use sassafrasmast_standins::{
    caller::FinalOutcome,
    deployment::{Deployment, Settings, wait_until},
    fabric, process, store, upstream,
    workload::Bookings,
};
use tokio::task::JoinSet;

/// Time limit for claims to succeed again after a store outage.
const RECOVERY_LIMIT: Duration = Duration::from_secs(5);

async fn start(settings: Settings) -> Deployment {
    Deployment::start(settings)
        .await
        .expect("the deployment starts")
}

async fn set_packet_loss(deployment: &Deployment, loss: f64) {
    let fault = fabric::Fault {
        loss,
        ..fabric::Fault::default()
    };
    deployment
        .set_fabric_fault(&fault)
        .await
        .expect("the fault is set");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bookings_retried_after_packet_loss_and_truncated_answers_run_at_most_once() {
    let deployment = start(Settings {
        seed: 7,
        ..Settings::default()
    })
    .await;
    set_packet_loss(&deployment, 0.1).await;
    let truncate = upstream::Fault {
        cut_answers: 2,
        ..upstream::Fault::default()
    };
    for index in 0..3 {
        deployment
            .set_upstream_fault(index, &truncate)
            .await
            .unwrap();
    }
    let bookings = Bookings::submit(&deployment, "lossy", 20).await.unwrap();
    bookings.check(&deployment.executions().await).unwrap();
    // Three upstreams truncate two answers each, so at most six bookings may be unknown or refused.
    assert!(bookings.count(FinalOutcome::Ran) >= 14, "{bookings:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bookings_run_at_most_once_while_an_agent_is_killed_and_restarted() {
    let mut deployment = start(Settings {
        upstream_arguments: ["--booking-ms", "300"].map(str::to_owned).to_vec(),
        ..Settings::default()
    })
    .await;
    let bookings = async {
        let bookings = Bookings::submit(&deployment, "killed", 20).await;
        bookings.expect("every answer is for its own booking")
    };
    let agent = deployment.processes["agent-dispatch-1"].id();
    let kill = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        process::send_signal(agent, Signal::SIGKILL).expect("the signal is sent");
    };
    let (bookings, ()) = tokio::join!(bookings, kill);
    bookings.check(&deployment.executions().await).unwrap();
    assert!(bookings.count(FinalOutcome::Ran) > 0, "{bookings:?}");
    let agent = deployment.process("agent-dispatch-1").unwrap();
    agent.restart().unwrap();
    let bookings = Bookings::submit(&deployment, "after", 5).await.unwrap();
    bookings.check(&deployment.executions().await).unwrap();
    assert_eq!(bookings.count(FinalOutcome::Ran), 5, "{bookings:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_requests_with_one_idempotency_key_run_once() {
    let deployment = start(Settings::default()).await;
    let lost = store::Fault {
        lose_replies: 1,
        ..store::Fault::default()
    };
    deployment.set_store_fault(&lost).await.unwrap();
    let mut sending = JoinSet::new();
    for _ in 0..8 {
        let client = deployment.client(0).unwrap();
        sending.spawn(async move { client.book_with_key("keyed", "order-17").await });
    }
    let answers = sending.join_all().await;
    let executions = deployment.executions().await;
    assert_eq!(executions.get("keyed"), Some(&1), "{answers:?}");
    for answer in answers.into_iter().flatten() {
        assert_ne!(answer.outcome, None, "{answer:?}");
        assert_ne!(answer.outcome, Some(Outcome::NotRun), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_with_idempotency_key_does_not_run_before_the_store_is_back_and_then_runs_once() {
    let deployment = start(Settings::default()).await;
    let down = store::Fault {
        down: true,
        ..store::Fault::default()
    };
    deployment.set_store_fault(&down).await.unwrap();
    let client = deployment.client(0).unwrap();
    let answer = client.book_with_key("keyed", "order-18").await.unwrap();
    // Without the store, no agent can check whether a request with this key ran on another agent:
    // the outcome is unknown.
    assert_eq!(answer.outcome, Some(Outcome::Unknown), "{answer:?}");
    assert!(answer.retry_after.is_some(), "{answer:?}");
    assert_eq!(deployment.executions().await.get("keyed"), None);
    // Bookings under a ticket do not need the store.
    let bookings = Bookings::submit(&deployment, "ticket", 3).await.unwrap();
    bookings.check(&deployment.executions().await).unwrap();
    assert_eq!(bookings.count(FinalOutcome::Ran), 3, "{bookings:?}");
    deployment
        .set_store_fault(&store::Fault::default())
        .await
        .unwrap();
    wait_until("execution after the outage", RECOVERY_LIMIT, || async {
        let answer = client.book_with_key("keyed", "order-18").await?;
        anyhow::ensure!(answer.outcome == Some(Outcome::Ran), "{answer:?}");
        Ok(())
    })
    .await
    .unwrap();
    let executions = deployment.executions().await;
    assert_eq!(executions.get("keyed"), Some(&1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn graceful_shutdown_of_an_agent_fails_no_booking() {
    let mut deployment = start(Settings {
        upstream_arguments: ["--booking-ms", "500"].map(str::to_owned).to_vec(),
        ..Settings::default()
    })
    .await;
    let agent = deployment.processes["agent-dispatch-2"].id();
    let terminate = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        process::send_signal(agent, Signal::SIGTERM).expect("the signal is sent");
    };
    let (bookings, ()) = tokio::join!(Bookings::submit(&deployment, "drain", 9), terminate);
    let bookings = bookings.unwrap();
    bookings.check(&deployment.executions().await).unwrap();
    assert_eq!(bookings.count(FinalOutcome::Ran), 9, "{bookings:?}");
    let agent = deployment.process("agent-dispatch-2").unwrap();
    let status = agent.wait(Duration::from_secs(15)).await;
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn manifests_arrive_complete_despite_packet_loss() {
    let deployment = start(Settings::default()).await;
    set_packet_loss(&deployment, 0.02).await;
    let mut client = deployment.client(1).unwrap();
    for size in [0_usize, 1, 64 * 1024, 1024 * 1024] {
        let manifest: Vec<u8> = (0..size).map(|byte| byte as u8).collect();
        let submission = client.upload(Bytes::from(manifest)).await.unwrap();
        assert!(submission.is_success(), "{size}: {submission:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstream_that_turns_cold_under_load_collapses_at_most_once() {
    let deployment = start(Settings::default()).await;
    let first = Bookings::submit(&deployment, "warm", 40).await.unwrap();
    first.check(&deployment.executions().await).unwrap();
    for index in 0..3 {
        assert_eq!(
            deployment.upstream_counts(index).await.unwrap().collapses,
            0
        );
    }
    let cold = upstream::Fault {
        cold: true,
        ..upstream::Fault::default()
    };
    deployment.set_upstream_fault(0, &cold).await.unwrap();
    let second = Bookings::submit(&deployment, "cold", 40).await.unwrap();
    second.check(&deployment.executions().await).unwrap();
    let collapses = deployment.upstream_counts(0).await.unwrap().collapses;
    assert!(collapses <= 1, "{collapses} collapses");
}
