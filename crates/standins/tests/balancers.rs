//! Balancers that come and go, as separate processes.

use std::time::Duration;

use nix::sys::signal::Signal;
use sassafrasmast_standins::deployment::{Deployment, ServiceSettings, Settings, until};

/// "A few seconds" of the promises.
const FEW_SECONDS: Duration = Duration::from_secs(5);

/// Longest time in which a started balancer is listed by another.
const BOOT: Duration = Duration::from_secs(10);

async fn start() -> Deployment {
    let settings = Settings {
        services: vec![ServiceSettings::new("dispatch", 0)],
        ..Settings::default()
    };
    let mut deployment = Deployment::prepare(settings).await.expect("a directory");
    deployment.launch().expect("the processes start");
    deployment.create().await.expect("zones and services");
    deployment
}

/// Waits until the first balancer lists `count` balancers.
async fn listed(deployment: &Deployment, count: usize, limit: Duration) {
    let operator = deployment.operator(0);
    let operator = &operator;
    until("the list of balancers", limit, || async move {
        let status = operator.status().await?;
        let found = status.balancers.len();
        anyhow::ensure!(found == count, "{found} balancers are listed");
        Ok(())
    })
    .await
    .expect("the list follows");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_balancer_leaves_the_list_within_seconds_and_comes_back() {
    let mut deployment = start().await;
    let all = deployment.operator(0).status().await.expect("a status");
    let count = all.balancers.len().max(3);
    listed(&deployment, count, BOOT).await;
    let balancer = deployment.process("balancer-2").expect("a known name");
    balancer.signal(Signal::SIGTERM).expect("it runs");
    listed(&deployment, count - 1, FEW_SECONDS).await;
    let balancer = deployment.process("balancer-2").expect("a known name");
    let end = balancer.wait(FEW_SECONDS).await.expect("it stops");
    assert!(end.success(), "{end}");
    balancer.restart().expect("it starts again");
    listed(&deployment, count, BOOT).await;
}
