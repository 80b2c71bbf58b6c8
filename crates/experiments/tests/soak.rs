//! The rules of the soak test: each of them can fail, and what is allowed does not break them. Also
//! that a plan follows from its seed.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use sassafrasmast_core::flow::Key;
use sassafrasmast_experiments::soak::{
    Settings,
    checker::{Checker, DRAIN_BOUND, Event, Request},
    plan::{Plan, Step, Target},
};

/// A moment after the start.
const NOW: Duration = Duration::from_secs(10);

fn flow(port: u16) -> Key {
    Key {
        client: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        route: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 3), 8_443),
    }
}

fn accepted(upstream: &str, port: u16) -> Event {
    Event::Accepted(upstream.to_owned(), flow(port))
}

fn sent(request: Request, port: u16) -> Event {
    Event::Sent {
        request,
        flow: flow(port),
        sequence: 1,
        packet: vec![1, 2, 3],
    }
}

fn delivered(upstream: &str, port: u16, packet: &[u8]) -> Event {
    Event::Delivered {
        upstream: upstream.to_owned(),
        flow: flow(port),
        sequence: 1,
        packet: packet.to_vec(),
    }
}

fn stopped(upstream: &str) -> Event {
    Event::Stopped(upstream.to_owned())
}

/// Rules that are broken by these events, all at the same time.
fn violations(events: impl IntoIterator<Item = Event>) -> Vec<String> {
    let mut checker = Checker::default();
    for event in events {
        checker.record(NOW, event);
    }
    checker.summary().violations.clone()
}

fn assert_one(violations: &[String], text: &str) {
    let [violation] = violations else {
        panic!("expected one violation: {violations:?}");
    };
    assert!(violation.contains(text), "{violation}");
}

#[test]
fn a_served_request_breaks_no_rule() {
    let events = [
        accepted("a", 1),
        accepted("a", 1),
        sent(1, 1),
        delivered("a", 1, &[1, 2, 3]),
        // Sent again by the client.
        delivered("a", 1, &[1, 2, 3]),
        Event::Answered(1, "a".to_owned()),
        Event::Unanswered(2),
        Event::Draining("a".to_owned()),
        stopped("a"),
        Event::Reset(flow(1)),
    ];
    assert_eq!(violations(events), Vec::<String>::new());
}

#[test]
fn a_reset_while_the_upstream_lives_is_reported() {
    let found = violations([accepted("a", 1), Event::Reset(flow(1))]);
    assert_one(&found, "was reset while a lives");
    // The upstream that got a request lives, although others that accepted a copy of the SYN have ended.
    let holder_lives = [
        accepted("a", 1),
        accepted("b", 1),
        sent(1, 1),
        delivered("b", 1, &[1, 2, 3]),
        stopped("a"),
        Event::Reset(flow(1)),
    ];
    assert_one(&violations(holder_lives), "was reset while b lives");
    // The upstream that got the request has ended. Another one accepted a copy of the SYN only.
    let holder_ended = [
        accepted("a", 1),
        accepted("b", 1),
        sent(1, 1),
        delivered("b", 1, &[1, 2, 3]),
        stopped("b"),
        Event::Reset(flow(1)),
    ];
    assert_eq!(violations(holder_ended), Vec::<String>::new());
    // Another upstream's end is no reason.
    let found = violations([accepted("a", 1), stopped("b"), Event::Reset(flow(1))]);
    assert_one(&found, "was reset while a lives");
}

#[test]
fn a_request_that_runs_twice_is_reported() {
    let other_upstream = [
        sent(1, 1),
        delivered("a", 1, &[1, 2, 3]),
        delivered("b", 1, &[1, 2, 3]),
    ];
    assert_one(&violations(other_upstream), "request 1 ran at a");
    let other_flow = [
        sent(1, 1),
        sent(1, 2),
        delivered("a", 1, &[1, 2, 3]),
        delivered("a", 2, &[1, 2, 3]),
    ];
    assert_one(&violations(other_flow), "request 1 ran at a");
}

#[test]
fn a_changed_packet_is_reported() {
    let changed = [sent(1, 1), delivered("a", 1, &[1, 2, 4])];
    assert_one(&violations(changed), "was not sent so");
    let cut = [sent(1, 1), delivered("a", 1, &[1, 2])];
    assert_one(&violations(cut), "was not sent so");
    let of_another_flow = [sent(1, 1), delivered("a", 2, &[1, 2, 3])];
    assert_one(&violations(of_another_flow), "was not sent so");
}

#[test]
fn an_answer_of_an_upstream_that_did_not_get_the_request_is_reported() {
    let events = [
        sent(1, 1),
        delivered("a", 1, &[1, 2, 3]),
        Event::Answered(1, "b".to_owned()),
    ];
    assert_one(&violations(events), "answered by b");
}

#[test]
fn a_new_flow_at_a_draining_upstream_is_reported_after_the_bound() {
    let mut checker = Checker::default();
    checker.record(NOW, accepted("a", 1));
    checker.record(NOW, Event::Draining("a".to_owned()));
    // The acknowledgement that counts is the first one.
    let bound = NOW + DRAIN_BOUND;
    checker.record(bound, Event::Draining("a".to_owned()));
    checker.record(bound, accepted("a", 2));
    let late = bound + Duration::from_millis(1);
    checker.record(late, accepted("a", 1));
    checker.record(late, accepted("b", 3));
    assert_eq!(checker.summary().violations, Vec::<String>::new());
    checker.record(late, accepted("a", 4));
    assert_one(&checker.summary().violations, "5001 ms after its drain");
}

#[test]
fn a_process_that_exits_by_itself_is_reported() {
    let exited = Event::Exited("Agent(1)".to_owned());
    assert_one(&violations([exited]), "Agent(1) exited by itself");
}

/// Duration of the plans.
const DURATION: Duration = Duration::from_secs(30);

fn plan(seed: u64) -> Plan {
    Plan::draw(&Settings {
        seed,
        duration: DURATION,
        history: true,
        ..Settings::default()
    })
}

#[test]
fn a_plan_follows_from_its_seed() {
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7), plan(8));
}

/// A seed that failed once has to play the same faults whatever else is asked for.
#[test]
fn crashes_leave_the_other_faults_of_a_seed_as_they_are() {
    let with_crashes = Plan::draw(&Settings {
        seed: 7,
        duration: DURATION,
        history: true,
        crashes: true,
        logs: None,
    });
    let is_crash = |step: &Step| matches!(step, Step::Crash(..) | Step::LateAnnouncement(_));
    let (crashes, others): (Vec<_>, Vec<_>) = with_crashes
        .steps
        .into_iter()
        .partition(|(_, step)| is_crash(step));
    assert!(crashes.len() > 20, "{crashes:?}");
    assert_eq!(others, plan(7).steps);
}

/// A process that stays suspended or away would make the rest of the run prove little.
#[test]
fn each_fault_ends_before_the_run_does() {
    for seed in 0..50 {
        let plan = plan(seed);
        assert!(plan.steps.len() > 20, "{:?}", plan.steps);
        let targets = (0..3)
            .map(Target::Balancer)
            .chain((0..5).map(Target::Agent));
        for target in targets {
            let last = plan.steps.iter().rev().find(|(_, step)| {
                matches!(step, Step::Kill(of) | Step::Terminate(of) | Step::Start(of)
                    | Step::Pause(of) | Step::Resume(of) if *of == target)
            });
            if let Some((at, step)) = last {
                assert!(matches!(step, Step::Start(_) | Step::Resume(_)), "{step:?}");
                assert!(*at < DURATION);
            }
        }
    }
}
