//! Random schedules of events.

use std::time::Duration;

use proptest::prelude::{Strategy, any, proptest};
use sassafrasmast_core::agent::Class;

use crate::world::{Limits, World};

/// Events of one schedule at most.
const EVENTS: usize = 120;

fn limits() -> impl Strategy<Value = Limits> {
    let times = [1, 500, 2_999, 5_000, 60_000, 600_000, 1_800_000];
    let passes = proptest::collection::vec(proptest::sample::select(times.to_vec()), 0..12);
    (passes, any::<bool>()).prop_map(|(passes, reports)| Limits {
        copies: 30,
        restarts: 2,
        passes: passes.into_iter().map(Duration::from_millis).collect(),
        operations: 4,
        cancels: 4,
        endings: true,
        reports,
    })
}

proptest! {
    #[test]
    fn every_schedule_keeps_the_promises(
        limits in limits(),
        kinds in proptest::collection::vec(0..6_u8, 1..10),
        choices in proptest::collection::vec(any::<u16>(), 1..EVENTS),
    ) {
        let mut world = World::new(limits);
        for kind in kinds {
            match kind {
                0 => world.mint(),
                1 => world.ticket(1),
                2 => world.ticket(2),
                3 => world.plain(Class::NonIdempotent),
                4 if world.has_key() => world.reuse(),
                _ => world.plain(Class::Idempotent),
            }
        }
        for choice in choices {
            let events = world.events();
            if events.is_empty() {
                break;
            }
            let event = events[usize::from(choice) % events.len()].clone();
            world.apply(&event);
        }
        world.quiesce();
    }
}
