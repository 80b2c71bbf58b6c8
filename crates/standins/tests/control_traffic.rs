//! Control traffic of balancers, as measured by their own counter.

use std::{
    future::Future,
    time::{Duration, Instant},
};

use anyhow::Context;
use sassafrasmast_core::config::Change;
use sassafrasmast_standins::{deployment::Deployment, store::Fault};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

/// Name of the counter, with the space before its value.
const COUNTER: &str = "sassafrasmast_balancer_control_bytes_total ";

/// Control bytes a second that a balancer may send and receive.
const MAX_CONTROL_BYTES_PER_S: f64 = 3_000.0;

/// Duration of each phase.
const PHASE_DURATION: Duration = Duration::from_secs(8);

/// Control bytes that a balancer has counted so far.
async fn control_bytes(deployment: &Deployment, balancer: usize) -> anyhow::Result<f64> {
    let mut stream = TcpStream::connect(deployment.network.metrics(balancer)).await?;
    let request = b"GET /metrics HTTP/1.1\r\nhost: metrics\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await?;
    let mut text = String::new();
    stream.read_to_string(&mut text).await?;
    let mut lines = text.lines();
    let line = lines.find(|line| line.starts_with(COUNTER));
    let value = line.and_then(|line| line.rsplit(' ').next());
    Ok(value
        .context("the control bytes counter is missing")?
        .parse()?)
}

/// Checks the rate of control bytes of each balancer over one phase.
async fn check_rates(
    deployment: &Deployment,
    phase: &str,
    changes: impl Future<Output = anyhow::Result<()>>,
) -> anyhow::Result<()> {
    let mut before = Vec::new();
    for balancer in 0..deployment.settings.balancers {
        before.push(control_bytes(deployment, balancer).await?);
    }
    let begun = Instant::now();
    let (changed, ()) = tokio::join!(changes, sleep(PHASE_DURATION));
    changed?;
    for (balancer, before) in before.into_iter().enumerate() {
        let spent = control_bytes(deployment, balancer).await? - before;
        let rate = spent / begun.elapsed().as_secs_f64();
        println!("{phase}: balancer {balancer} uses {rate:.0} B/s of control traffic");
        anyhow::ensure!(
            spent > 0.0,
            "{phase}: balancer {balancer} counted no control bytes"
        );
        anyhow::ensure!(
            rate <= MAX_CONTROL_BYTES_PER_S,
            "{phase}: balancer {balancer} uses {rate:.0} B/s of control traffic, \
             limit {MAX_CONTROL_BYTES_PER_S:.0} B/s"
        );
    }
    Ok(())
}

/// Twice takes a zone out and drains an agent, and reverts both.
async fn churn(deployment: &Deployment) -> anyhow::Result<()> {
    let operator = deployment.operator_client(0);
    let zone = deployment.settings.zone(1).to_owned();
    for _ in 0..2 {
        operator.zone_out(&zone).await?;
        operator.change(vec![Change::Drain { agent: 1 }]).await?;
        sleep(Duration::from_secs(1)).await;
        operator.zone_in(&zone).await?;
        operator.change(vec![Change::Undrain { agent: 1 }]).await?;
        sleep(Duration::from_secs(1)).await;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_traffic_stays_within_budget_when_idle_under_churn_and_in_an_outage() {
    let deployment = Deployment::reciclumen().await.unwrap();
    check_rates(&deployment, "quiet", async { Ok(()) })
        .await
        .unwrap();
    check_rates(&deployment, "churn", churn(&deployment))
        .await
        .unwrap();
    let down = Fault {
        down: true,
        ..Fault::default()
    };
    let outage = deployment.set_store_fault(&down);
    check_rates(&deployment, "outage", outage).await.unwrap();
}
