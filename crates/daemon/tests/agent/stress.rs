//! Many concurrent requests that end in different ways (answered, cut, refused, timed out,
//! cancelled) leave no state in the agents: a leaked slot or channel would reduce an agent's
//! capacity for good.

use std::{sync::atomic::Ordering, time::Duration};

use tokio::{task::JoinSet, time::timeout};

use super::{
    caller::{Caller, post},
    harness::Harness,
};

/// Total number of requests.
const REQUESTS: u64 = 180;

/// Number of concurrent callers.
const CALLERS: u64 = 12;

/// Sends one request and may abandon it early. Returns the outcome reported to the caller.
async fn send_request(mut caller: Caller, number: u64) -> Option<String> {
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
    let caller_timeout = match number % 7 {
        0 => Duration::from_millis(5),
        _ => Duration::from_secs(20),
    };
    let answer = timeout(caller_timeout, ask).await.ok()?.ok()?;
    Some(answer.outcome().to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_with_mixed_outcomes_release_all_state() {
    let (first_harness, second_harness) = Harness::pair().await;
    let mut callers = JoinSet::new();
    for caller_index in 0..CALLERS {
        let harness = if caller_index % 2 == 0 {
            &first_harness
        } else {
            &second_harness
        };
        let caller = harness.caller().await;
        callers.spawn(async move {
            let mut outcomes = [0_u64; 2];
            for step in 0..REQUESTS / CALLERS {
                match send_request(caller.clone(), caller_index * 1_000 + step)
                    .await
                    .as_deref()
                {
                    Some("ran") => outcomes[0] += 1,
                    Some(_) => outcomes[1] += 1,
                    None => {}
                }
            }
            outcomes
        });
    }
    let mut ran = 0;
    while let Some(outcomes) = callers.join_next().await {
        ran += outcomes.unwrap()[0];
    }
    let started = |harness: &Harness| harness.counts.started.load(Ordering::Relaxed);
    assert!(ran > 0 && started(&first_harness) + started(&second_harness) >= ran);
    for harness in [&first_harness, &second_harness] {
        let dispatcher = &harness.shared().dispatcher;
        harness
            .wait_until(|_| {
                dispatcher.inspect(|agent, _| agent.open_requests()) == 0
                    && dispatcher.open_channels() == 0
            })
            .await;
        let load = dispatcher.inspect(|agent, now| agent.load(now));
        assert_eq!((load.running, load.queued), (0, 0));
    }
}
