//! Requests of two priorities that compete for upstreams under more load than these bear.

use std::time::Duration;

use crate::{
    fixture::ms,
    load::{Class, Model, Outcome, Scenario},
};

const SEEDS: std::ops::Range<u64> = 0..3;

/// Target for critical requests that are answered within their objective in an overload, as a share
/// of those that would be if they were alone on the same upstreams.
const CRITICAL_IN_TIME: f64 = 0.95;

/// Target for the goodput in an overload, as a share of the capacity.
const GOODPUT: f64 = 0.95;

/// Target for the SYNs that balancers send to agents for each answer, in an overload.
const SYNS_PER_ANSWER: f64 = 1.3;

/// Time within which [`REFUSED_AT_ONCE`] of the refusals by the forecast must come.
const AT_ONCE: Duration = ms(100);

const REFUSED_AT_ONCE: f64 = 0.99;

/// Share of the places that a lower class gets, of which nine tenths must be answers within the time
/// of a test.
const FLOOR: f64 = 0.05;

/// Loads in an overload, as shares of the capacity.
const OVERLOADS: [f64; 2] = [1.5, 2.0];

/// Numbers of the classes in [`competing`].
const CRITICAL: usize = 0;
const LOWER: usize = 1;

/// Part of the load that is in the lower class.
const LOWER_SHARE: f64 = 0.75;

fn class(priority: u8, share: f64) -> Class {
    Class {
        priority,
        share,
        objective: ms(300),
        ..Class::default()
    }
}

/// Upstreams with critical requests and three times as many less critical ones.
fn competing(load: f64) -> Scenario {
    Scenario {
        upstreams: 12,
        slots: 3,
        load,
        classes: vec![class(1, 1.0 - LOWER_SHARE), class(2, LOWER_SHARE)],
        ..Scenario::default()
    }
}

/// The critical requests of [`competing`] alone on the same upstreams.
fn critical_alone(load: f64) -> Scenario {
    Scenario {
        load: load * (1.0 - LOWER_SHARE),
        classes: vec![class(1, 1.0)],
        ..competing(load)
    }
}

fn play(seed: u64, scenario: Scenario) -> Outcome {
    Model::new(seed, scenario).run()
}

/// Guards against an overload that critical requests bear, against lost capacity and against untrue
/// or late refusals.
#[test]
fn overload_is_borne_by_the_lower_class() {
    for load in OVERLOADS {
        for seed in SEEDS {
            let outcome = play(seed, competing(load));
            let critical = outcome.after_of(CRITICAL);
            let alone = play(seed, critical_alone(load)).after_of(CRITICAL);
            let case = format!("load {load}, seed {seed}: critical {critical}; {outcome}");
            assert!(
                critical.in_time() >= CRITICAL_IN_TIME * alone.in_time(),
                "{case}"
            );
            assert!(outcome.after.answered() * load >= GOODPUT, "{case}");
            assert!(outcome.refused_within(AT_ONCE) >= REFUSED_AT_ONCE, "{case}");
            assert_eq!(outcome.untrue_refusals, 0, "{case}");
            assert_eq!(outcome.shed, 0, "{case}");
        }
    }
}

/// Guards against SYNs that go back and forth between balancers and agents.
#[test]
fn overload_of_two_classes_needs_few_syns() {
    for load in OVERLOADS {
        for seed in SEEDS {
            let outcome = play(seed, competing(load));
            assert!(
                outcome.after.syns_per_answer() < SYNS_PER_ANSWER,
                "load {load}, seed {seed}: {outcome}"
            );
        }
    }
}

/// Guards against a lower class that is starved while the critical one alone exceeds the capacity.
#[test]
fn lower_class_keeps_its_floor() {
    for seed in SEEDS {
        let (load, lower) = (2.0, 0.3);
        let scenario = Scenario {
            classes: vec![class(1, 1.0 - lower), class(2, lower)],
            ..competing(load)
        };
        let outcome = play(seed, scenario);
        let answered = outcome.after_of(LOWER).answered() * lower * load;
        assert!(
            answered >= 0.9 * FLOOR,
            "seed {seed}: {answered}, {outcome}"
        );
    }
}

/// Guards against refusals and delays below the capacity.
#[test]
fn nothing_changes_below_the_capacity() {
    for load in [0.5, 0.8] {
        for seed in SEEDS {
            let outcome = play(seed, competing(load));
            let one_class = Scenario {
                classes: vec![class(1, 1.0)],
                ..competing(load)
            };
            let before = play(seed, one_class).after;
            let case = format!("load {load}, seed {seed}: {outcome}; one class: {before}");
            assert_eq!(outcome.after.resets, 0, "{case}");
            for class in [CRITICAL, LOWER] {
                let service = outcome.after_of(class);
                assert!(service.in_time() >= before.in_time() - 0.005, "{case}");
            }
        }
    }
}

/// Guards against a loss of capacity while agents of an earlier build drop the new messages.
#[test]
fn agents_of_an_earlier_build_lose_no_capacity() {
    for seed in SEEDS {
        let load = 1.5;
        let scenario = Scenario {
            agents_of_earlier_build: true,
            ..competing(load)
        };
        let outcome = play(seed, scenario);
        assert!(
            outcome.after.answered() * load >= GOODPUT,
            "seed {seed}: {outcome}"
        );
        assert_eq!(outcome.untrue_refusals, 0, "seed {seed}: {outcome}");
    }
}
