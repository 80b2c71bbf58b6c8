//! Service under load, and how soon it is as before after a disturbance, on deployments whose
//! upstreams differ in slots and in the duration of requests.

use std::time::Duration;

use crate::{
    fixture::ms,
    load::{Class, Disturbance, Model, Outcome, Scenario},
};

const SEEDS: std::ops::Range<u64> = 0..3;

/// Load that upstreams bear before a disturbance, and bear again two seconds after its end.
const BORNE_LOAD: f64 = 0.6;

/// Target for the share of the requests that are answered within their objective, before and after
/// a disturbance.
const IN_TIME: f64 = 0.9;

/// Target for the goodput in an overload, as a share of the capacity.
const GOODPUT: f64 = 0.95;

/// Target for the SYNs that balancers send to agents for each answer, in an overload.
const SYNS_PER_ANSWER: f64 = 1.3;

fn one_class(objective: Duration, time_limit: Duration) -> Vec<Class> {
    vec![Class {
        objective,
        time_limit,
        ..Class::default()
    }]
}

fn short_requests() -> Scenario {
    Scenario {
        balancers: 4,
        slots: 1,
        work_micros: 6_000..=8_000,
        classes: one_class(ms(70), ms(1_000)),
        ..Scenario::default()
    }
}

fn many_balancers() -> Scenario {
    Scenario {
        balancers: 13,
        upstreams: 26,
        slots: 2,
        classes: one_class(ms(300), ms(2_000)),
        ..Scenario::default()
    }
}

fn long_requests() -> Scenario {
    Scenario {
        upstreams: 4,
        slots: 20,
        work_micros: 100_000..=300_000,
        classes: one_class(ms(800), ms(3_000)),
        length: ms(14_000),
        ..Scenario::default()
    }
}

fn deployments() -> [(&'static str, Scenario); 3] {
    [
        ("five slots", Scenario::default()),
        ("short requests", short_requests()),
        ("many balancers", many_balancers()),
    ]
}

const DISTURBANCES: [Disturbance; 5] = [
    Disturbance::PowerLost,
    Disturbance::ProcessesKilled,
    Disturbance::Burst { factor: 4.0 },
    Disturbance::Slow {
        share: 0.17,
        factor: 5.0,
    },
    Disturbance::Lost { share: 0.34 },
];

/// Plays a deployment under `load` for each seed.
fn play(
    deployment: &Scenario,
    load: f64,
    disturbance: Disturbance,
) -> impl Iterator<Item = Outcome> {
    let scenario = Scenario {
        load,
        disturbance,
        ..deployment.clone()
    };
    SEEDS.map(move |seed| Model::new(seed, scenario.clone()).run())
}

#[test]
fn service_recovers_from_each_disturbance_on_each_deployment() {
    for (name, deployment) in deployments() {
        for disturbance in DISTURBANCES {
            for outcome in play(&deployment, BORNE_LOAD, disturbance) {
                for service in [&outcome.before, &outcome.after] {
                    assert!(
                        service.in_time() >= IN_TIME,
                        "{name}, {disturbance:?}: {outcome}"
                    );
                }
            }
        }
    }
}

#[test]
fn service_of_long_requests_recovers_from_each_disturbance() {
    for disturbance in DISTURBANCES {
        for outcome in play(&long_requests(), BORNE_LOAD, disturbance) {
            for service in [&outcome.before, &outcome.after] {
                assert!(service.in_time() >= IN_TIME, "{disturbance:?}: {outcome}");
            }
        }
    }
}

#[test]
fn short_requests_use_nine_tenths_of_the_capacity() {
    for outcome in play(&short_requests(), 0.9, Disturbance::None) {
        for service in [&outcome.before, &outcome.after] {
            assert!(service.in_time() >= IN_TIME, "{outcome}");
        }
    }
}

#[test]
fn goodput_stays_at_the_capacity_in_an_overload() {
    for (name, deployment) in [
        ("five slots", Scenario::default()),
        ("short requests", short_requests()),
        ("many balancers", many_balancers()),
    ] {
        for load in [1.5, 2.0] {
            for outcome in play(&deployment, load, Disturbance::None) {
                let answered = outcome.after.answered() * load;
                assert!(answered >= GOODPUT, "{name}, load {load}: {outcome}");
            }
        }
    }
}

#[test]
fn few_syns_are_returned_in_an_overload() {
    for (name, deployment) in [
        ("short requests", short_requests()),
        ("many balancers", many_balancers()),
    ] {
        for outcome in play(&deployment, 1.5, Disturbance::None) {
            assert!(
                outcome.after.syns_per_answer() <= SYNS_PER_ANSWER,
                "{name}: {outcome}"
            );
        }
    }
}
