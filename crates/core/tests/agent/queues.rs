//! Waiting for a slot.

use std::time::Duration;

use sassafrasmast_core::{
    agent::{Class, Settings, SizeClass},
    error::{Kind, Outcome},
    timeline::RequestId,
};

use crate::rig::{Rig, whole};

/// Body bytes of a manifest.
const MANIFEST: u64 = 5 << 20;

fn arrive(rig: &mut Rig, id: RequestId, body_bytes: u64, wait_ms: u64) {
    let mut request = rig.request(id, Class::NonIdempotent, None);
    request.body_bytes = Some(body_bytes);
    request.deadline = rig.now + Duration::from_millis(wait_ms);
    rig.arrive(request);
}

#[test]
fn what_cannot_be_started_in_time_is_refused_at_once() {
    let mut rig = Rig::new(5);
    rig.warm(100);
    for id in 0..25 {
        arrive(&mut rig, id, 10, 5_000);
    }
    arrive(&mut rig, 25, 10, 300);
    rig.assert_error(25, Kind::Overloaded, Outcome::NotRun);
    arrive(&mut rig, 26, 10, 5_000);
    assert_eq!(rig.replies(26), []);
    let wait = rig.agent.load(rig.now).wait();
    assert!(wait >= Duration::from_millis(400), "{wait:?}");
}

#[test]
fn the_queue_is_bounded() {
    let settings = Settings {
        max_queued: 8,
        ..Settings::default()
    };
    let mut rig = Rig::with(5, settings);
    for id in 0..10 {
        arrive(&mut rig, id, 10, 5_000);
    }
    assert_eq!(rig.agent.load(rig.now).queued, 8);
    rig.assert_error(9, Kind::Overloaded, Outcome::NotRun);
}

#[test]
fn what_expires_in_the_queue_leaves_at_once() {
    let mut rig = Rig::new(5);
    arrive(&mut rig, 1, 10, 60_000);
    arrive(&mut rig, 2, 10, 300);
    let wake = rig.agent.next_tick().expect("something is due");
    assert!(wake <= rig.now + Duration::from_millis(300));
    rig.now = wake;
    rig.tick(0);
    rig.assert_error(2, Kind::DeadlinePassed, Outcome::NotRun);
    assert_eq!(rig.agent.load(rig.now).queued, 0);
}

#[test]
fn a_hung_upstream_fills_nothing_for_ever() {
    let mut rig = Rig::new(5);
    for id in 0..100 {
        arrive(&mut rig, id, 10, 5_000);
        rig.hand_over(id);
    }
    rig.tick(5_000);
    assert!((0..100).all(|id| rig.replies(id).len() == 1));
    rig.finish(0, sassafrasmast_core::agent::Finish::Timeout);
    assert_eq!(rig.agent.open_requests(), 0);
}

/// Serves for `ms` milliseconds with one step a millisecond; returns the waits of small ones.
fn serve(rig: &mut Rig, ms: u64, take_ms: impl Fn(RequestId) -> u64) -> usize {
    let mut ends: Vec<(u64, RequestId)> = Vec::new();
    let mut served = 0;
    for at in 0..ms {
        for action in std::mem::take(&mut rig.actions) {
            if let sassafrasmast_core::agent::Action::Start { id } = action
                && rig.hand_over(id)
            {
                ends.push((at + take_ms(id), id));
            }
        }
        rig.tick(1);
        while let Some(index) = ends.iter().position(|(end, _)| *end <= at) {
            let (_, id) = ends.swap_remove(index);
            served += usize::from(id < 1_000);
            rig.finish(id, whole(take_ms(id)));
        }
    }
    served
}

#[test]
fn manifests_do_not_delay_bookings_much() {
    let mut rig = Rig::new(5);
    rig.warm(20);
    for id in 1_000..1_040 {
        arrive(&mut rig, id, MANIFEST, 60_000);
    }
    for id in 0..20 {
        arrive(&mut rig, id, 10, 60_000);
    }
    let time = |id| if id < 1_000 { 20 } else { 1_000 };
    assert_eq!(SizeClass::of(Some(MANIFEST)), SizeClass::Large);
    let served = serve(&mut rig, 3_000, time);
    assert_eq!(served, 20);
}
