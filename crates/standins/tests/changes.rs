//! Planned changes and process failures under load, end to end.

use std::{
    fs,
    time::{Duration, Instant},
};

use nix::sys::signal::Signal;
use sassafrasmast_core::config::Change;
use sassafrasmast_standins::{
    caller::{Client, Error, FinalOutcome, Settings as CallerSettings},
    deployment::{Deployment, Settings, wait_until},
    store, upstream,
    workload::{Bookings, Feeds},
};
use sassafrasmastd::api::Health;

/// Time within which every change and failure must have taken effect.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(5);

/// Silence after which an agent counts as gone rather than paused or unreachable. Feeds
/// survive a shorter silence, so they are reset only then.
const AGENT_GONE_AFTER: Duration = Duration::from_secs(20);

/// Idle timeout of callers that must not detect a loss by themselves before the balancers reset the
/// feed.
const LONG_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

async fn start(upstream_arguments: &[&str]) -> Deployment {
    let upstream_arguments = upstream_arguments.iter().map(|&text| text.to_owned());
    let settings = Settings {
        upstream_arguments: upstream_arguments.collect(),
        ..Settings::default()
    };
    Deployment::start(settings)
        .await
        .expect("the deployment starts")
}

fn from_now(time: Duration) -> Instant {
    Instant::now() + time
}

/// Indices of the upstreams of the first service in a zone.
fn upstreams_in_zone(deployment: &Deployment, zone: &str) -> Vec<usize> {
    let upstreams = deployment.upstreams().into_iter();
    let in_zone = upstreams.filter(|(_, service, number)| {
        service == "dispatch" && deployment.settings.zone(*number) == zone
    });
    in_zone.map(|(index, _, _)| index).collect()
}

/// Requests and feeds offered to some upstreams so far, and feeds open there.
async fn offered_and_open_feeds(deployment: &Deployment, upstreams: &[usize]) -> (u64, usize) {
    let (mut offered, mut feeds) = (0, 0);
    for &index in upstreams {
        let counts = deployment.upstream_counts(index).await.expect("counts");
        offered += counts.offered + counts.feeds_opened;
        feeds += counts.feeds;
    }
    (offered, feeds)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn zone_stays_out_while_a_balancer_is_paused_and_the_store_is_down() {
    let mut deployment = start(&[]).await;
    let zone = deployment.settings.zone(1).to_owned();
    let upstreams = upstreams_in_zone(&deployment, &zone);
    let feeds = Feeds::open(&deployment, 30).await.unwrap();
    let reading = tokio::spawn(feeds.read(from_now(Duration::from_secs(14))));
    tokio::time::sleep(Duration::from_secs(1)).await;
    deployment.signal("balancer-2", Signal::SIGSTOP).unwrap();
    deployment.operator_client(0).zone_out(&zone).await.unwrap();
    let down = store::Fault {
        down: true,
        ..store::Fault::default()
    };
    deployment.set_store_fault(&down).await.unwrap();
    tokio::time::sleep(CONVERGENCE_LIMIT).await;
    let (before, open) = offered_and_open_feeds(&deployment, &upstreams).await;
    assert_eq!(open, 0);
    // The resumed balancer still has the old configuration.
    deployment.signal("balancer-2", Signal::SIGCONT).unwrap();
    let bookings = Bookings::submit(&deployment, "out", 24).await.unwrap();
    bookings.check(&deployment.executions().await).unwrap();
    assert_eq!(bookings.count(FinalOutcome::Ran), 24, "{bookings:?}");
    let feeds = reading.await.unwrap();
    let (after, open) = offered_and_open_feeds(&deployment, &upstreams).await;
    assert_eq!((after, open), (before, 0));
    for (upstream, error) in &feeds.broken {
        assert_eq!(deployment.zone_of(upstream).unwrap(), zone, "{error}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upstreams_of_a_zone_brought_back_cold_do_not_collapse() {
    let deployment = start(&[]).await;
    let zone = deployment.settings.zone(0).to_owned();
    let upstreams = upstreams_in_zone(&deployment, &zone);
    let operator = deployment.operator_client(0);
    let warm = Bookings::submit(&deployment, "warm", 60).await.unwrap();
    warm.check(&deployment.executions().await).unwrap();
    operator.zone_out(&zone).await.unwrap();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let cold = upstream::Fault {
        cold: true,
        ..upstream::Fault::default()
    };
    for &index in &upstreams {
        deployment.set_upstream_fault(index, &cold).await.unwrap();
    }
    let version = operator.zone_in(&zone).await.unwrap();
    deployment
        .wait_for_version(version, CONVERGENCE_LIMIT)
        .await
        .unwrap();
    let back = Bookings::submit(&deployment, "back", 60).await.unwrap();
    back.check(&deployment.executions().await).unwrap();
    for index in upstreams {
        let counts = deployment.upstream_counts(index).await.unwrap();
        assert_eq!(counts.collapses, 0, "{counts:?}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_upstream_gets_no_new_requests_and_finishes_running_ones() {
    let deployment = start(&["--booking-ms", "200"]).await;
    let operator = deployment.operator_client(0);
    let status = operator.status().await.unwrap();
    let address = deployment.network.upstream(0);
    let leaving = status.upstreams.iter();
    let mut leaving = leaving.filter(|u| u.upstream.upstream == address);
    let agent = leaving.next().unwrap().agent;
    let feeds = Feeds::open(&deployment, 15).await.unwrap();
    let reading = tokio::spawn(feeds.read(from_now(Duration::from_secs(9))));
    let drain = operator.change(vec![Change::Drain { agent }]);
    let (during, drained) = tokio::join!(Bookings::submit(&deployment, "during", 20), drain);
    drained.unwrap();
    let during = during.unwrap();
    during.check(&deployment.executions().await).unwrap();
    assert_eq!(during.count(FinalOutcome::Ran), 20, "{during:?}");
    tokio::time::sleep(CONVERGENCE_LIMIT).await;
    let (before, _) = offered_and_open_feeds(&deployment, &[0]).await;
    let after = Bookings::submit(&deployment, "after", 20).await.unwrap();
    after.check(&deployment.executions().await).unwrap();
    assert_eq!(after.count(FinalOutcome::Ran), 20, "{after:?}");
    assert_eq!(offered_and_open_feeds(&deployment, &[0]).await.0, before);
    let feeds = reading.await.unwrap();
    assert!(feeds.broken.is_empty(), "{:?}", feeds.broken);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_of_all_balancers_breaks_no_feed_and_no_booking() {
    let mut deployment = start(&[]).await;
    let feeds = Feeds::open(&deployment, 40).await.unwrap();
    let reading = tokio::spawn(feeds.read(from_now(Duration::from_secs(16))));
    for restarted in 0..3 {
        let name = format!("balancer-{restarted}");
        let remaining: Vec<_> = (0..3).filter(|&index| index != restarted).collect();
        deployment.signal(&name, Signal::SIGTERM).unwrap();
        deployment.set_fabric_balancers(&remaining).await.unwrap();
        let prefix = format!("roll-{restarted}");
        let bookings = Bookings::submit(&deployment, &prefix, 6).await.unwrap();
        bookings.check(&deployment.executions().await).unwrap();
        assert_eq!(bookings.count(FinalOutcome::Ran), 6, "{bookings:?}");
        let process = deployment.process(&name).unwrap();
        let status = process.wait(CONVERGENCE_LIMIT).await;
        assert!(status.is_some_and(|status| status.success()), "{status:?}");
        process.restart().unwrap();
        let operator = deployment.operator_client(restarted);
        wait_until(
            &format!("health of all upstreams on {name}"),
            CONVERGENCE_LIMIT,
            || async {
                let upstreams = operator.status().await?.upstreams;
                let known = upstreams.iter().all(|u| u.health != Health::Unknown);
                anyhow::ensure!(known && !upstreams.is_empty(), "{upstreams:?}");
                Ok(())
            },
        )
        .await
        .unwrap();
        deployment.set_fabric_balancers(&[0, 1, 2]).await.unwrap();
    }
    let feeds = reading.await.unwrap();
    assert!(feeds.broken.is_empty(), "{:?}", feeds.broken);
    assert_eq!(feeds.intact.len(), 40);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bookings_run_at_most_once_while_an_agent_is_paused() {
    let mut deployment = start(&["--booking-ms", "200"]).await;
    let agent = deployment.process("agent-dispatch-0").unwrap().id();
    let pause = async {
        use sassafrasmast_standins::process::send_signal;
        tokio::time::sleep(Duration::from_millis(400)).await;
        send_signal(agent, Signal::SIGSTOP).expect("the signal is sent");
        tokio::time::sleep(Duration::from_secs(8)).await;
        send_signal(agent, Signal::SIGCONT).expect("the signal is sent");
    };
    let (bookings, ()) = tokio::join!(Bookings::submit(&deployment, "paused", 20), pause);
    let bookings = bookings.unwrap();
    // The outcomes that callers know must still hold after the resumed agent has run for a while.
    tokio::time::sleep(Duration::from_secs(2)).await;
    bookings.check(&deployment.executions().await).unwrap();
    let after = Bookings::submit(&deployment, "resumed", 6).await.unwrap();
    after.check(&deployment.executions().await).unwrap();
    assert_eq!(after.count(FinalOutcome::Ran), 6, "{after:?}");
}

/// The idle timeout of the caller is longer than the bound, so only a reset that the balancers send
/// can end the feed in time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn feed_of_a_killed_agent_is_reset_soon_after_the_agent_counts_as_gone() {
    let mut deployment = start(&[]).await;
    let settings = CallerSettings {
        idle_timeout: LONG_IDLE_TIMEOUT,
        ..deployment.caller_settings(0).unwrap()
    };
    let mut feed = loop {
        let client = Client::new(settings.clone()).unwrap();
        let mut feed = client.open_feed("/feed").await.unwrap();
        feed.read_line(CONVERGENCE_LIMIT).await.unwrap();
        if feed.upstream == "upstream-dispatch-0" {
            break feed;
        }
    };
    deployment.process("agent-dispatch-0").unwrap().kill();
    let killed = Instant::now();
    let bound = AGENT_GONE_AFTER + CONVERGENCE_LIMIT;
    let error = loop {
        let remaining = bound.saturating_sub(killed.elapsed());
        if let Err(error) = feed.read_line(remaining).await {
            break error;
        }
    };
    assert!(matches!(error, Error::Lost(_)), "{error}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retries_inside_the_system_add_little_load_to_shedding_upstreams() {
    let deployment = start(&[]).await;
    let shed = upstream::Fault {
        drain: true,
        ..upstream::Fault::default()
    };
    for index in 0..3 {
        deployment.set_upstream_fault(index, &shed).await.unwrap();
    }
    let bookings = Bookings::submit(&deployment, "shed", 40).await.unwrap();
    bookings.check(&deployment.executions().await).unwrap();
    assert_eq!(bookings.count(FinalOutcome::Ran), 0, "{bookings:?}");
    let submissions = bookings.submissions.values();
    let asked: u32 = submissions.map(|submission| submission.attempts).sum();
    let (offered, _) = offered_and_open_feeds(&deployment, &[0, 1, 2]).await;
    assert!(
        offered as f64 <= f64::from(asked) * 1.1,
        "{offered} requests offered to upstreams for {asked} attempts of callers"
    );
}

/// A killed agent is removed and an agent of another service starts at its address. Flows of the
/// old service must not reach the new agent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn address_reused_by_an_agent_of_another_service_gets_no_flow_of_the_old_service() {
    let mut deployment = start(&[]).await;
    let operator = deployment.operator_client(0);
    let (reused, address) = (3, deployment.network.agent(3));
    let status = operator.status().await.unwrap();
    let old = status
        .upstreams
        .iter()
        .find(|u| u.upstream.agent == address);
    let agent = old.unwrap().agent;
    // A flow of the second service on the agent whose address is reused.
    let mut feed = loop {
        let mut feed = deployment
            .client(1)
            .unwrap()
            .open_feed("/feed")
            .await
            .unwrap();
        feed.read_line(CONVERGENCE_LIMIT).await.unwrap();
        if feed.upstream == "upstream-manifests-0" {
            break feed;
        }
    };
    deployment.process("agent-manifests-0").unwrap().kill();
    operator
        .change(vec![Change::RemoveUpstream { agent }])
        .await
        .unwrap();
    let path = deployment.directory().join("agent-manifests-0.toml");
    let settings = fs::read_to_string(&path).unwrap();
    let settings = settings.replace("service = \"manifests\"", "service = \"dispatch\"");
    fs::write(&path, settings).unwrap();
    let process = deployment.process("agent-manifests-0").unwrap();
    process.restart().unwrap();
    deployment.admit_announced(1).await.unwrap();
    let feeds_before = deployment
        .upstream_counts(reused)
        .await
        .unwrap()
        .feeds_opened;
    let error = loop {
        if let Err(error) = feed.read_line(CONVERGENCE_LIMIT).await {
            break error;
        }
    };
    assert!(!matches!(error, Error::UnexpectedLine { .. }), "{error}");
    // Callers of the second service never reach the reused address again.
    let mut client = deployment.client(1).unwrap();
    for number in 0..10 {
        let submission = client.book(&format!("foreign-{number}")).await.unwrap();
        assert_eq!(
            submission.final_outcome,
            FinalOutcome::Ran,
            "{submission:?}"
        );
    }
    let counts = deployment.upstream_counts(reused).await.unwrap();
    let foreign = counts
        .bookings
        .keys()
        .filter(|id| id.starts_with("foreign"));
    assert_eq!(foreign.count(), 0);
    assert_eq!(counts.feeds_opened, feeds_before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_booking_is_lost_while_a_zone_is_taken_out_and_brought_back() {
    let deployment = Deployment::refugios().await.unwrap();
    let zone = deployment.settings.zone(1).to_owned();
    let end = from_now(Duration::from_secs(14));
    let booking = Bookings::submit_until(&deployment, "zone", 14, end).unwrap();
    let booking = tokio::spawn(booking);
    let operator = deployment.operator_client(2);
    tokio::time::sleep(Duration::from_secs(3)).await;
    operator.zone_out(&zone).await.unwrap();
    tokio::time::sleep(Duration::from_secs(4)).await;
    operator.zone_in(&zone).await.unwrap();
    let bookings = booking.await.unwrap().unwrap();
    bookings.check(&deployment.executions().await).unwrap();
    let all = bookings.submissions.len();
    let (ran, unknown) = (
        bookings.count(FinalOutcome::Ran),
        bookings.count(FinalOutcome::Unknown),
    );
    let slowest = bookings.submissions.values().map(|s| s.elapsed).max();
    println!("{ran} of {all} bookings ran, {unknown} are unknown, slowest {slowest:?}");
    let not_ran = bookings.submissions.iter();
    let not_ran: Vec<_> = not_ran
        .filter(|(_, s)| s.final_outcome != FinalOutcome::Ran)
        .collect();
    assert_eq!(ran, all, "{not_ran:?}");
}
