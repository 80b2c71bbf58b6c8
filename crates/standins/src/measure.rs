//! End-to-end measurements of a deployment of separate processes.

use std::{
    collections::BTreeMap,
    fs,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::{
    caller::Load,
    deployment::{Deployment, Settings},
    http,
    workload::Feeds,
};

/// Time between two changes of the set of balancers.
const CHANGE_INTERVAL: Duration = Duration::from_secs(3);

/// Time until the fabric stops sending to a killed balancer.
const FABRIC_DETECTION_DELAY: Duration = Duration::from_millis(500);

/// Clock ticks a second in `/proc/{id}/stat`.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// Requests that an upstream runs at once.
const UPSTREAM_SLOTS: u64 = 5;

/// Bookings that warm up one upstream.
const WARM_UP_BOOKINGS: u64 = 100;

/// Holds `count` feeds while each balancer in turn is killed and restarted, and reports how many
/// broke.
///
/// # Errors
///
/// If the deployment does not start or a feed does not open.
pub async fn feeds(count: usize) -> anyhow::Result<Value> {
    let mut deployment = Deployment::start(settings(&["--feed-ms", "1000"])).await?;
    let opening = Instant::now();
    let feeds = Feeds::open(&deployment, count).await?;
    let opened = opening.elapsed();
    let balancers = deployment.settings.balancers;
    let duration = CHANGE_INTERVAL * 3 * u32::try_from(balancers)? + CHANGE_INTERVAL;
    let reading = tokio::spawn(feeds.read(Instant::now() + duration));
    for killed in 0..balancers {
        tokio::time::sleep(CHANGE_INTERVAL).await;
        let name = format!("balancer-{killed}");
        deployment.signal(&name, Signal::SIGKILL)?;
        tokio::time::sleep(FABRIC_DETECTION_DELAY).await;
        let remaining: Vec<_> = (0..balancers).filter(|&index| index != killed).collect();
        deployment.set_fabric_balancers(&remaining).await?;
        deployment.process(&name)?.restart()?;
        tokio::time::sleep(CHANGE_INTERVAL).await;
        deployment
            .set_fabric_balancers(&(0..balancers).collect::<Vec<_>>())
            .await?;
    }
    let feeds = reading.await?;
    let mut feeds_by_upstream: BTreeMap<&str, u64> = BTreeMap::new();
    for feed in &feeds.intact {
        *feeds_by_upstream.entry(&feed.upstream).or_default() += 1;
    }
    Ok(json!({
        "feeds": count,
        "opened_in_s": opened.as_secs_f64(),
        "held_for_s": duration.as_secs_f64(),
        "broken": feeds.broken.len(),
        "why": feeds.broken.iter().map(|(_, error)| error.to_string()).collect::<Vec<_>>(),
        "lines": feeds.intact.iter().map(|feed| feed.lines_read()).sum::<u64>(),
        "feeds_per_upstream": feeds_by_upstream,
    }))
}

/// Measures the time to open a connection in microseconds, over `count` connections of which
/// `concurrency` open at once.
///
/// # Errors
///
/// If the deployment does not start.
pub async fn connects(count: usize, concurrency: usize) -> anyhow::Result<Value> {
    let deployment = Deployment::start(settings(&[])).await?;
    let mut histogram = Histogram::<u64>::new(3)?;
    let (mut failed, mut started) = (0, 0);
    let mut opening = JoinSet::new();
    while started < count || !opening.is_empty() {
        while started < count && opening.len() < concurrency {
            let client = deployment.client(0)?;
            started += 1;
            opening.spawn(async move {
                let begun = Instant::now();
                let opened = client.connect().await.is_ok();
                opened.then(|| begun.elapsed())
            });
        }
        match opening.join_next().await.transpose()?.flatten() {
            Some(elapsed) => histogram.record(u64::try_from(elapsed.as_micros())?)?,
            None => failed += 1,
        }
    }
    Ok(json!({
        "connects": count,
        "concurrency": concurrency,
        "failed": failed,
        "p50_us": histogram.value_at_quantile(0.5),
        "p99_us": histogram.value_at_quantile(0.99),
        "max_us": histogram.max(),
    }))
}

/// Makes `count` bookings directly to one upstream and as many through fabric, balancer and agent,
/// `concurrency` at once (directly no more than the slots of the upstream). The upstreams answer
/// without delay.
///
/// # Errors
///
/// If the deployment does not start or a caller has no socket.
pub async fn path(count: u64, concurrency: u64) -> anyhow::Result<Value> {
    let deployment = Deployment::start(settings(&["--booking-ms", "0"])).await?;
    // Enough bookings for all 7 upstreams of the service.
    let caller = Load {
        settings: deployment.caller_settings(0)?,
        concurrency: 1,
        bookings: WARM_UP_BOOKINGS * 7,
        id_prefix: "warm".to_owned(),
        ..Load::default()
    };
    caller.run().await?;
    // A single caller stays on one agent and may not reach the upstream for direct calls, which is
    // therefore warmed up separately.
    let direct = Some(deployment.network.upstream(0));
    let direct_warm_up = Load {
        direct,
        id_prefix: "warm-direct".to_owned(),
        ..caller.clone()
    };
    direct_warm_up.run().await?;
    let end_to_end = Load {
        concurrency,
        bookings: count,
        id_prefix: "whole".to_owned(),
        ..caller.clone()
    };
    let direct = Load {
        direct,
        // A single upstream refuses requests beyond its slots.
        concurrency: concurrency.min(UPSTREAM_SLOTS),
        id_prefix: "direct".to_owned(),
        ..end_to_end.clone()
    };
    let direct = direct.run().await?;
    let (cpu_before, packets_before) = (
        cpu_seconds_by_role(&deployment),
        caller_packets(&deployment).await?,
    );
    let end_to_end = end_to_end.run().await?;
    let (cpu_after, packets_after) = (
        cpu_seconds_by_role(&deployment),
        self::caller_packets(&deployment).await?,
    );
    let packets = packets_after - packets_before;
    let used = |role: &str| (cpu_after[role] - cpu_before[role]) / packets * 1e6;
    let ratio = |name: &str| {
        let latency = |load: &Value| load["bookings"]["latencies"][name].as_f64();
        latency(&end_to_end).unwrap_or(0.0) / latency(&direct).unwrap_or(0.0)
    };
    Ok(json!({
        "concurrency": concurrency,
        "direct": direct["bookings"],
        "whole": end_to_end["bookings"],
        "ratio_p50": ratio("p50_us"),
        "ratio_p99": ratio("p99_us"),
        "packets_of_callers_both_ways": packets,
        "cpu_us_per_packet": { "balancers": used("balancer"), "agents": used("agent") },
    }))
}

/// Settings of the Reciclumen deployment with additional arguments for the upstreams.
fn settings(upstream_arguments: &[&str]) -> Settings {
    Settings {
        upstream_arguments: upstream_arguments
            .iter()
            .map(|&text| text.to_owned())
            .collect(),
        log_level: "warn".to_owned(),
        ..Settings::reciclumen()
    }
}

/// Processor time used so far by all balancers and by all agents, in seconds.
fn cpu_seconds_by_role(deployment: &Deployment) -> BTreeMap<&'static str, f64> {
    let mut used = BTreeMap::from([("agent", 0.0), ("balancer", 0.0)]);
    for (name, process) in &deployment.processes {
        for (role, sum) in &mut used {
            if name.starts_with(role) {
                *sum += process_cpu_seconds(process.id()).unwrap_or(0.0);
            }
        }
    }
    used
}

/// Processor time used so far by a process, in seconds.
fn process_cpu_seconds(id: u32) -> Option<f64> {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
    // The process name in parentheses may contain spaces. User and system time are the 12th and
    // 13th fields after it.
    let (_, fields) = stat.rsplit_once(')')?;
    let ticks = fields.split_whitespace().skip(11).take(2);
    let ticks: f64 = ticks.filter_map(|text| text.parse::<f64>().ok()).sum();
    Some(ticks / CLOCK_TICKS_PER_SECOND)
}

/// Datagrams that the fabric has forwarded so far, in both directions.
async fn caller_packets(deployment: &Deployment) -> anyhow::Result<f64> {
    let fabric = deployment.network.fabric();
    let counts: Value = http::call_json(fabric, "GET", "/standin/counts", None).await?;
    let count = |name: &str| counts[name].as_f64().unwrap_or(0.0);
    Ok(count("inward") + count("outward"))
}
