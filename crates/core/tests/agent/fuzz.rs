//! Random schedules of requests, faults and operations. [`Cluster::apply`] checks the invariants
//! after each event.

use std::time::Duration;

use proptest::prelude::{Strategy, any, proptest};
use sassafrasmast_core::agent::Class;

use crate::cluster::{Cluster, EventLimits};

/// Upper bound of the events in one schedule.
const MAX_EVENTS: usize = 120;

fn limits() -> impl Strategy<Value = EventLimits> {
    let advances_ms = [1, 500, 2_999, 5_000, 60_000, 600_000, 1_800_000];
    let advances = proptest::collection::vec(proptest::sample::select(advances_ms.to_vec()), 0..12);
    (advances, any::<bool>()).prop_map(|(advances, load_reports)| EventLimits {
        sends: 30,
        restarts: 2,
        advances: advances.into_iter().map(Duration::from_millis).collect(),
        operations: 4,
        cancels: 4,
        refusals: true,
        load_reports,
    })
}

proptest! {
    #[test]
    fn random_schedules_run_bookings_at_most_once_and_answer_all_requests(
        limits in limits(),
        kinds in proptest::collection::vec(0..6_u8, 1..10),
        choices in proptest::collection::vec(any::<u16>(), 1..MAX_EVENTS),
    ) {
        let mut cluster = Cluster::new(limits);
        for kind in kinds {
            match kind {
                0 => cluster.add_minted(),
                1 => cluster.add_with_ticket(1),
                2 => cluster.add_with_ticket(2),
                3 => cluster.add_without_key(Class::NonIdempotent),
                4 if cluster.first_has_key() => cluster.add_reuse(),
                _ => cluster.add_without_key(Class::Idempotent),
            }
        }
        for choice in choices {
            let events = cluster.events();
            if events.is_empty() {
                break;
            }
            let event = events[usize::from(choice) % events.len()].clone();
            cluster.apply(&event);
        }
        cluster.quiesce();
    }
}
