//! Placement among upstreams of different speed, and among zones.

use std::{collections::BTreeSet, time::Instant};

use rand::{Rng, SeedableRng, rngs::StdRng};
use sassafrasmast_core::flow::{Member, Report, State, balancer::Members};

use crate::{
    fixture::{SERVICE, address, flow, ms},
    load::{Class, Model, Outcome, Scenario, Tail},
};

/// Share of the capacity at which uneven upstreams are played.
const UNEVEN_LOAD: f64 = 0.85;

fn uneven() -> Scenario {
    Scenario {
        balancers: 6,
        upstreams: 12,
        zones: 1,
        slots: 3,
        work_micros: 26_000..=42_000,
        client_delay: ms(3),
        near_delay: ms(0),
        classes: vec![Class {
            objective: ms(300),
            ..Class::default()
        }],
        speeds: vec![0.7, 0.7, 1.7],
        tail: Some(Tail {
            share: 0.03,
            factor: 7.0,
        }),
        load: UNEVEN_LOAD,
        ..Scenario::default()
    }
}

/// A zone at 1.4 times its own capacity, and another one at half of it.
fn crowded_zone() -> Scenario {
    Scenario {
        balancers: 6,
        upstreams: 18,
        zones: 3,
        slots: 3,
        work_micros: 26_000..=42_000,
        client_delay: ms(3),
        near_delay: ms(0),
        far_delay: ms(1),
        classes: vec![Class {
            objective: ms(300),
            ..Class::default()
        }],
        zone_loads: vec![1.4, 0.5, 0.5],
        load: (1.4 + 0.5 + 0.5) / 3.0,
        ..Scenario::default()
    }
}

fn play(seed: u64, scenario: Scenario) -> Outcome {
    Model::new(seed, scenario).run()
}

#[test]
#[ignore]
fn figures() {
    for seed in 0..2 {
        for zones in [1, 3] {
            if std::env::var("Z").is_ok() {
                break;
            }
            let outcome = play(seed, Scenario { zones, ..uneven() });
            let queues: Vec<_> = outcome
                .queue_waits
                .values()
                .map(|waits| (waits.mean().as_micros(), waits.count))
                .collect();
            println!("uneven zones {zones} seed {seed}: {outcome}");
            println!("  mean {:?} {queues:?}", outcome.mean_queue_wait());
        }
        for far in [300, 1_000, 5_000, 20_000] {
            let scenario = Scenario {
                far_delay: std::time::Duration::from_micros(far),
                ..crowded_zone()
            };
            let capacity = scenario.capacity() / 3.0 * scenario.counted_after().as_secs_f64();
            let outcome = play(seed, scenario);
            println!(
                "crowded far {far} seed {seed}: {outcome}\n   waits {:?} {:?} {} away {} of {} least {:.0}",
                outcome.wait_in("zone-a"),
                outcome.wait_in("zone-b"),
                format!(
                    "ratio {:.2} all {:.2}",
                    f64::from(outcome.sent_away("zone-a"))
                        / (f64::from(outcome.placed("zone-a")) - capacity),
                    f64::from(
                        outcome.sent_away("zone-a")
                            + outcome.sent_away("zone-b")
                            + outcome.sent_away("zone-c")
                    ) / (f64::from(outcome.placed("zone-a")) - capacity)
                ),
                outcome.sent_away("zone-a"),
                outcome.placed("zone-a"),
                f64::from(outcome.placed("zone-a")) - capacity,
            );
        }
    }
}

/// Members of three zones with random reports of equal upstreams.
fn random_members(rng: &mut StdRng, now: Instant) -> Members {
    let mut members = Members::new(now, "zone-a".into());
    let listed = (0..30_u8).map(|index| {
        let report = Report {
            state: match rng.random_range(0..10) {
                0 => State::Cold,
                1 => State::Draining,
                _ => State::Ready,
            },
            slots: 5,
            busy: rng.random_range(0..4),
            headroom: rng.random_range(0..6),
            ..Report::default()
        };
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(index % 3)];
        let agent = address(&format!("10.0.1.{index}:7000"));
        Member::listed(agent, SERVICE.into(), zone.into(), report)
    });
    members.replace_listed(now, listed.collect());
    for index in 0..30 {
        let agent = address(&format!("10.0.1.{index}:7000"));
        let report = members.get(agent).unwrap().report;
        members.record_report(now, agent, report);
    }
    members
}

#[test]
#[ignore]
fn record_decisions() {
    let now = Instant::now();
    let mut rng = StdRng::seed_from_u64(1);
    let mut decisions = Vec::new();
    for round in 0..8 {
        let mut members = random_members(&mut rng, now);
        for port in 0..10 {
            let flow = flow(1_000 + round * 10 + port);
            let chosen = members.choose(now, &flow, SERVICE, &[], &BTreeSet::new());
            if let Some(to) = chosen {
                members.record_placement(now, to);
            }
            decisions.push(chosen.map_or(255, |to| to.ip().octets()[3]));
        }
    }
    println!("{decisions:?}");
}
