//! Queueing of requests for slots.

use std::time::Duration;

use sassafrasmast_core::{
    agent::{Class, Settings, SizeClass},
    error::{Kind, Outcome},
    timeline::RequestId,
};

use crate::fixture::{Fixture, whole_answer};

/// Body length in bytes of a large request.
const LARGE_BYTES: u64 = 5 << 20;

fn arrive(fixture: &mut Fixture, id: RequestId, body_bytes: u64, deadline_ms: u64) {
    let mut request = fixture.request(id, Class::NonIdempotent, None);
    request.body_bytes = Some(body_bytes);
    request.deadline = fixture.now + Duration::from_millis(deadline_ms);
    fixture.arrive(request);
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let mut fixture = Fixture::new(5);
    fixture.warm_up(100);
    for id in 0..25 {
        arrive(&mut fixture, id, 10, 5_000);
    }
    arrive(&mut fixture, 25, 10, 300);
    fixture.assert_error(25, Kind::Overloaded, Outcome::NotRun);
    arrive(&mut fixture, 26, 10, 5_000);
    assert_eq!(fixture.replies(26), []);
    let wait = fixture.agent.load(fixture.now).wait();
    assert!(wait >= Duration::from_millis(400), "{wait:?}");
}

#[test]
fn the_queue_is_bounded() {
    let settings = Settings {
        max_queued: 8,
        ..Settings::default()
    };
    let mut fixture = Fixture::with_settings(5, settings);
    for id in 0..10 {
        arrive(&mut fixture, id, 10, 5_000);
    }
    assert_eq!(fixture.agent.load(fixture.now).queued, 8);
    fixture.assert_error(9, Kind::Overloaded, Outcome::NotRun);
}

#[test]
fn a_request_that_expires_in_the_queue_is_refused_at_once() {
    let mut fixture = Fixture::new(5);
    arrive(&mut fixture, 1, 10, 60_000);
    arrive(&mut fixture, 2, 10, 300);
    let next_tick = fixture.agent.next_tick().expect("a timer is set");
    assert!(next_tick <= fixture.now + Duration::from_millis(300));
    fixture.now = next_tick;
    fixture.tick(0);
    fixture.assert_error(2, Kind::DeadlinePassed, Outcome::NotRun);
    assert_eq!(fixture.agent.load(fixture.now).queued, 0);
}

#[test]
fn a_hung_upstream_leaves_no_open_request() {
    let mut fixture = Fixture::new(5);
    for id in 0..100 {
        arrive(&mut fixture, id, 10, 5_000);
        fixture.hand_over(id);
    }
    fixture.tick(5_000);
    assert!((0..100).all(|id| fixture.replies(id).len() == 1));
    fixture.finish(0, sassafrasmast_core::agent::Finish::Timeout);
    assert_eq!(fixture.agent.open_requests(), 0);
}

/// Runs the upstream for `ms` milliseconds in steps of 1 ms; returns how many small requests, those
/// with ids below 1,000, were answered.
fn run_upstream(fixture: &mut Fixture, ms: u64, service_ms: impl Fn(RequestId) -> u64) -> usize {
    let mut ends: Vec<(u64, RequestId)> = Vec::new();
    let mut served = 0;
    for at in 0..ms {
        for action in std::mem::take(&mut fixture.actions) {
            if let sassafrasmast_core::agent::Action::Start { id } = action
                && fixture.hand_over(id)
            {
                ends.push((at + service_ms(id), id));
            }
        }
        fixture.tick(1);
        while let Some(index) = ends.iter().position(|(end, _)| *end <= at) {
            let (_, id) = ends.swap_remove(index);
            served += usize::from(id < 1_000);
            fixture.finish(id, whole_answer(service_ms(id)));
        }
    }
    served
}

#[test]
fn small_requests_are_answered_within_3_s_beside_large_ones() {
    let mut fixture = Fixture::new(5);
    fixture.warm_up(20);
    for id in 1_000..1_040 {
        arrive(&mut fixture, id, LARGE_BYTES, 60_000);
    }
    for id in 0..20 {
        arrive(&mut fixture, id, 10, 60_000);
    }
    let service_ms = |id| if id < 1_000 { 20 } else { 1_000 };
    assert_eq!(SizeClass::of(Some(LARGE_BYTES)), SizeClass::Large);
    let served = run_upstream(&mut fixture, 3_000, service_ms);
    assert_eq!(served, 20);
}
