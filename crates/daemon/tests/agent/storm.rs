//! Many requests that end in all ways leave nothing behind.

use std::{sync::atomic::Ordering, time::Duration};

use tokio::{task::JoinSet, time::timeout};

use super::{
    caller::{Caller, post},
    site::Site,
};

/// Requests of one storm.
const REQUESTS: u64 = 180;

/// Callers at once.
const CALLERS: u64 = 12;

/// Asks one request, or leaves it early. Returns the outcome that the caller was told.
async fn one(mut caller: Caller, number: u64) -> Option<String> {
    let path = match number % 8 {
        0 => "/slow/30",
        1 => "/cut/length",
        2 => "/cut/large",
        3 => "/shed",
        4 => "/large/300000",
        _ => "/echo",
    };
    let mut request = post(path);
    if number.is_multiple_of(3) {
        request = request.header("idempotency-key", caller.ticket().await);
    }
    if number.is_multiple_of(5) {
        request = request.header("sassafrasmast-deadline-ms", 40);
    }
    let ask = caller.ask(request.body(()).unwrap(), b"body");
    let patience = match number % 7 {
        0 => Duration::from_millis(5),
        _ => Duration::from_secs(20),
    };
    let answer = timeout(patience, ask).await.ok()?.ok()?;
    Some(answer.outcome().to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_storm_leaves_nothing_behind() {
    let (one_site, two_site) = Site::pair().await;
    let mut callers = JoinSet::new();
    for lane in 0..CALLERS {
        let site = if lane % 2 == 0 { &one_site } else { &two_site };
        let caller = site.caller().await;
        callers.spawn(async move {
            let mut told = [0_u64; 2];
            for step in 0..REQUESTS / CALLERS {
                match one(caller.clone(), lane * 1_000 + step).await.as_deref() {
                    Some("ran") => told[0] += 1,
                    Some(_) => told[1] += 1,
                    None => {}
                }
            }
            told
        });
    }
    let mut ran = 0;
    while let Some(told) = callers.join_next().await {
        ran += told.unwrap()[0];
    }
    let started = |site: &Site| site.counts.started.load(Ordering::Relaxed);
    assert!(ran > 0 && started(&one_site) + started(&two_site) >= ran);
    for site in [&one_site, &two_site] {
        let dispatcher = &site.server().dispatcher;
        site.wait_until(|_| {
            dispatcher.inspect(|agent, _| agent.open_requests()) == 0
                && dispatcher.open_channels() == 0
        })
        .await;
        let load = dispatcher.inspect(|agent, now| agent.load(now));
        assert_eq!((load.running, load.queued), (0, 0));
    }
}
