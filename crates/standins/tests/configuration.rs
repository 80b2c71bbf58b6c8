//! Configuration changes across balancer processes while the store fails.

use std::time::Duration;

use nix::sys::signal::Signal;
use sassafrasmast_core::config::Change;
use sassafrasmast_standins::{
    deployment::{Deployment, wait_until},
    store::Fault,
};

/// Time within which a confirmed configuration must be in force everywhere.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(5);

/// Time limit for a restarted balancer to answer, and for a confirm to succeed after an outage of
/// the store or the loss of its data.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

fn add_zone(name: &str) -> Vec<Change> {
    vec![Change::AddZone {
        zone: name.to_owned(),
    }]
}

async fn set_fault(deployment: &Deployment, fault: Fault) {
    deployment
        .set_store_fault(&fault)
        .await
        .expect("the fault is set");
}

fn store_down() -> Fault {
    Fault {
        down: true,
        ..Fault::default()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_two_racing_plans_is_confirmed_and_in_force_everywhere() {
    let deployment = Deployment::without_upstreams().await.unwrap();
    let (one, two) = (deployment.operator_client(0), deployment.operator_client(1));
    // Version 2 has the zones and the service; the second balancer may not have it yet.
    let version = two.status().await.unwrap().version.max(2);
    deployment
        .wait_for_version(version, CONVERGENCE_LIMIT)
        .await
        .unwrap();
    let first = one.plan(add_zone("first")).await.unwrap();
    let second = two.plan(add_zone("second")).await.unwrap();
    let (first, second) = tokio::join!(one.confirm(first, "a"), two.confirm(second, "b"));
    let won = match (first, second) {
        (Ok(won), Err(lost)) | (Err(lost), Ok(won)) => {
            assert!(lost.to_string().contains(": 409 "), "{lost}");
            won
        }
        both => panic!("{both:?}"),
    };
    assert_eq!(won.version, version + 1);
    deployment
        .wait_for_version(won.version, CONVERGENCE_LIMIT)
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn confirm_retried_after_a_lost_reply_takes_effect_once() {
    let deployment = Deployment::without_upstreams().await.unwrap();
    let operator = deployment.operator_client(0);
    let plan = operator.plan(add_zone("lost")).await.unwrap();
    let lose = Fault {
        lose_replies: 1,
        ..Fault::default()
    };
    set_fault(&deployment, lose).await;
    let first = operator.confirm(plan.clone(), "once").await.unwrap();
    let again = deployment
        .operator_client(2)
        .confirm(plan.clone(), "once")
        .await;
    assert_eq!(again.unwrap().version, first.version);
    assert_eq!(first.version, plan.base + 1);
    let version = operator.status().await.unwrap().version;
    assert_eq!(version, first.version);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn balancer_started_in_a_store_outage_gets_the_configuration_from_a_peer() {
    let mut deployment = Deployment::without_upstreams().await.unwrap();
    let operator = deployment.operator_client(0);
    let version = operator.status().await.unwrap().version;
    set_fault(&deployment, store_down()).await;
    let balancer = deployment.process("balancer-2").unwrap();
    balancer.signal(Signal::SIGKILL).unwrap();
    balancer.restart().unwrap();
    let restarted = deployment.operator_client(2);
    wait_until("balancer-2", RECOVERY_LIMIT, || async {
        let found = restarted.status().await?.version;
        anyhow::ensure!(found == version, "version {found} instead of {version}");
        Ok(())
    })
    .await
    .unwrap();
    // A confirm is refused while the store is down, without any effect.
    let plan = operator.plan(add_zone("outage")).await.unwrap();
    let refused = operator.confirm(plan, "outage").await.unwrap_err();
    assert!(refused.to_string().contains(": 503 "), "{refused}");
    assert_eq!(operator.status().await.unwrap().version, version);
    set_fault(&deployment, Fault::default()).await;
    wait_until("confirm after the outage", RECOVERY_LIMIT, || async {
        operator.change(add_zone("after")).await?;
        Ok(())
    })
    .await
    .unwrap();
    deployment
        .wait_for_version(version + 1, CONVERGENCE_LIMIT)
        .await
        .unwrap();
}

/// The store keeps its data in memory, so its restart loses the configuration. The balancers must
/// keep the version that they have and continue from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_never_decreases_when_the_store_restarts_empty() {
    let mut deployment = Deployment::without_upstreams().await.unwrap();
    let operators = [0, 1, 2].map(|index| deployment.operator_client(index));
    let version = operators[0].status().await.unwrap().version;
    deployment
        .wait_for_version(version, CONVERGENCE_LIMIT)
        .await
        .unwrap();
    deployment.process("store").unwrap().restart().unwrap();
    for _ in 0..40 {
        for operator in &operators {
            let found = operator.status().await.unwrap().version;
            assert!(found >= version, "version {found} after {version}");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    wait_until(
        "confirm after the loss of the store's data",
        RECOVERY_LIMIT,
        || async {
            operators[1].change(add_zone("after")).await?;
            Ok(())
        },
    )
    .await
    .unwrap();
    deployment
        .wait_for_version(version + 1, CONVERGENCE_LIMIT)
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn resumed_balancer_gets_the_new_configuration_in_time() {
    let mut deployment = Deployment::without_upstreams().await.unwrap();
    let version = deployment
        .operator_client(0)
        .status()
        .await
        .unwrap()
        .version;
    deployment
        .wait_for_version(version, CONVERGENCE_LIMIT)
        .await
        .unwrap();
    deployment.signal("balancer-2", Signal::SIGSTOP).unwrap();
    let version = deployment
        .operator_client(0)
        .change(add_zone("new"))
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_secs(3)).await;
    deployment.signal("balancer-2", Signal::SIGCONT).unwrap();
    deployment
        .wait_for_version(version, CONVERGENCE_LIMIT)
        .await
        .unwrap();
}
