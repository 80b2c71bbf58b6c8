//! Balancers that come and go, as separate processes.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sassafrasmast_standins::deployment::{Deployment, ServiceSettings, Settings, until};
use tokio::task::JoinSet;

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

/// Callers that all open a flow at the same moment.
const CALLERS: usize = 150;

/// Longest time in which a flow opens on an idle deployment: no first datagram waits for the
/// caller's retransmission, which comes after a second.
const OPEN: Duration = Duration::from_millis(900);

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn flows_that_open_at_once_wait_for_no_retransmission() {
    let settings = Settings {
        services: vec![ServiceSettings::new("dispatch", 7)],
        ..Settings::default()
    };
    let deployment = Deployment::start(settings).await.expect("it serves");
    let mut opening = JoinSet::new();
    for _ in 0..CALLERS {
        let client = deployment.client(0).expect("a socket");
        opening.spawn(async move {
            let began = Instant::now();
            let connection = client.connect().await.expect("a flow opens");
            (began.elapsed(), connection)
        });
    }
    let mut open = opening.join_all().await;
    open.sort_by_key(|(time, _)| *time);
    let times: Vec<_> = open.iter().map(|(time, _)| *time).collect();
    let late = times.iter().filter(|&&time| time >= OPEN).count();
    let (median, longest) = (times[CALLERS / 2], times[CALLERS - 1]);
    println!("{CALLERS} at once: median {median:?}, longest {longest:?}, {late} late");
    assert_eq!(late, 0, "median {median:?}, longest {longest:?}");
}
