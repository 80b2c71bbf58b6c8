//! Requests of several routes at one service, on upstreams and zones that differ.

use crate::{
    fixture::ms,
    load::{Class, Disturbance, Model, Scenario, Tail},
};

/// Load at which all classes are served: below what the slowest upstream bears of its share.
const BORNE_LOAD: f64 = 0.5;

/// Target for the share of each class that is answered within its objective below the capacity.
const IN_TIME: f64 = 0.9;

/// Target for the critical requests answered in time, relative to those without other requests.
const SHARE_OF_ALONE: f64 = 0.95;

/// Target for the answered requests, relative to the capacity.
const GOODPUT: f64 = 0.95;

/// Share of the places that is left to less critical requests.
const FLOOR: f64 = 0.05;

/// Difference of shares that plays of one seed have without a change: the order of a hash map's
/// entries differs from play to play.
const SAME: f64 = 0.01;

fn two_classes() -> Scenario {
    let class = |priority, share| Class {
        priority,
        share,
        objective: ms(300),
        ..Class::default()
    };
    Scenario {
        upstreams: 12,
        slots: 3,
        classes: vec![class(1, 0.25), class(2, 0.75)],
        ..Scenario::default()
    }
}

#[test]
fn each_class_is_served_below_the_capacity_of_uneven_upstreams_and_zones() {
    for seed in 0..3 {
        let scenario = Scenario {
            load: BORNE_LOAD,
            speeds: vec![0.7, 0.7, 1.7],
            tail: Some(Tail {
                share: 0.03,
                factor: 7.0,
            }),
            zone_loads: vec![1.4, 1.0, 0.6],
            ..two_classes()
        };
        let outcome = Model::new(seed, scenario).run();
        for class in 0..2 {
            let service = outcome.after_of(class);
            assert!(
                service.in_time() >= IN_TIME,
                "seed {seed}, class {class}: {service}"
            );
        }
    }
}

/// A critical class of a quarter of the load, and a less critical one of which two thirds come on
/// long flows.
fn long_flows(load: f64) -> Scenario {
    let class = |priority, share, requests| Class {
        priority,
        share,
        requests,
        objective: ms(300),
        ..Class::default()
    };
    Scenario {
        load,
        length: ms(16_000),
        classes: vec![class(1, 0.25, 1), class(2, 0.25, 1), class(2, 0.5, 10)],
        ..two_classes()
    }
}

/// The critical class of a scenario without the others.
fn alone(scenario: &Scenario) -> Scenario {
    let mut classes = scenario.classes.clone();
    classes.truncate(1);
    let load = scenario.load * classes[0].share;
    classes[0].share = 1.0;
    Scenario {
        load,
        classes,
        ..scenario.clone()
    }
}

/// Guards against critical requests that have to open a flow and wait behind less critical ones on
/// flows that are open, and against capacity or packets lost by preferring them.
#[test]
fn critical_requests_are_served_as_if_alone_at_twice_the_capacity() {
    for load in [1.5, 2.0] {
        for seed in 0..3 {
            let scenario = long_flows(load);
            let borne = scenario.capacity() * scenario.counted_after().as_secs_f64();
            let alone = Model::new(seed, alone(&scenario)).run().after;
            let outcome = Model::new(seed, scenario).run();
            let classes = [0, 1, 2].map(|class| outcome.after_of(class));
            let [critical, short, long] = &classes;
            let figures = format!(
                "load {load}, seed {seed}: alone {alone}; critical {critical}; less critical \
                 {short}; on long flows {long}; {outcome}"
            );
            let in_time = critical.in_time();
            assert!(in_time >= SHARE_OF_ALONE * alone.in_time(), "{figures}");
            let answered = outcome.after.answered as f64;
            assert!(answered >= GOODPUT * borne, "{figures}");
            let less_critical = (short.answered + long.answered) as f64;
            assert!(less_critical >= FLOOR * borne, "{figures}");
            assert_eq!(outcome.shed, 0, "{figures}");
            assert_eq!(outcome.out_of_order, 0, "{figures}");
        }
    }
}

/// Guards against decisions by class that cost something where there is room for all.
#[test]
fn classes_change_nothing_below_the_capacity() {
    for load in [0.5, 0.8] {
        for seed in 0..3 {
            let scenario = long_flows(load);
            let mut equal = scenario.clone();
            for class in &mut equal.classes {
                class.priority = 0;
            }
            let without_classes = Model::new(seed, equal).run();
            let outcome = Model::new(seed, scenario).run();
            for class in 0..3 {
                let before = without_classes.after_of(class);
                let service = outcome.after_of(class);
                let change = service.in_time() - before.in_time();
                assert!(
                    change.abs() <= SAME,
                    "load {load}, seed {seed}, class {class}: {before}; with classes {service}"
                );
            }
        }
    }
}

/// Long flows that are open when all upstreams become slower.
fn slow_upstreams(factor: f64) -> Scenario {
    let mut scenario = Scenario {
        disturbance: Disturbance::Slow { share: 1.0, factor },
        begin: ms(6_000),
        end: ms(10_000),
        length: ms(15_000),
        ..long_flows(0.8)
    };
    scenario.classes[2].requests = 40;
    scenario
}

/// Guards against open flows that take the upstreams from critical requests when they become slower.
#[test]
fn critical_requests_are_served_as_if_alone_while_upstreams_are_slow() {
    for seed in 0..3 {
        let scenario = slow_upstreams(2.0);
        let alone = Model::new(seed, alone(&scenario)).run().during;
        let outcome = Model::new(seed, scenario).run();
        let critical = outcome.during_of(0);
        let figures = format!("seed {seed}: alone {alone}; critical {critical}; {outcome}");
        let in_time = critical.in_time();
        assert!(in_time >= SHARE_OF_ALONE * alone.in_time(), "{figures}");
        assert_eq!(outcome.shed, 0, "{figures}");
        assert_eq!(outcome.out_of_order, 0, "{figures}");
    }
}

/// Guards against a less critical class that gets nothing while critical requests alone exceed the
/// capacity.
#[test]
fn less_critical_requests_keep_the_floor() {
    for seed in 0..3 {
        let mut scenario = long_flows(1.5);
        for (class, share) in scenario.classes.iter_mut().zip([0.75, 0.125, 0.125]) {
            class.share = share;
        }
        let borne = scenario.capacity() * scenario.counted_after().as_secs_f64();
        let outcome = Model::new(seed, scenario).run();
        let [short, long] = [1, 2].map(|class| outcome.after_of(class));
        let answered = (short.answered + long.answered) as f64;
        let figures = format!("seed {seed}: {short}; on long flows {long}; {outcome}");
        assert!(answered >= FLOOR * borne, "{figures}");
        let answered = outcome.after.answered as f64;
        assert!(answered >= GOODPUT * borne, "{figures}");
        assert_eq!(outcome.shed, 0, "{figures}");
    }
}
