//! Requests of two priorities that compete for upstreams under more load than these bear.

use crate::{
    fixture::ms,
    load::{Class, Model, Outcome, Scenario},
};

const SEEDS: std::ops::Range<u64> = 0..3;

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

#[test]
#[ignore = "prints figures"]
fn figures() {
    for load in [OVERLOADS[0], OVERLOADS[1]] {
        for seed in SEEDS {
            let outcome = play(seed, competing(load));
            let alone = play(seed, critical_alone(load));
            println!(
                "load {load} seed {seed}: total {} goodput {:.3}\n   critical {} (alone {:.3})\n   lower {}\n   {}",
                outcome.after,
                outcome.after.answered() * load,
                outcome.after_of(CRITICAL),
                alone.after_of(CRITICAL).in_time(),
                outcome.after_of(LOWER),
                format_args!(
                    "{:.3} refused within 100 ms, {} untrue",
                    outcome.refused_within(ms(100)),
                    outcome.untrue_refusals
                ),
            );
        }
    }
}

#[test]
#[ignore = "prints figures"]
fn floor_figures() {
    for (load, share) in [(3.0, 0.5), (2.0, 0.1), (2.0, 0.3)] {
        for seed in SEEDS {
            let scenario = Scenario { classes: vec![class(1, 1.0 - share), class(2, share)], ..competing(load) };
            let outcome = play(seed, scenario);
            println!("FLOOR {load} {share}: {} | lower {} of cap {:.3} | {:.3}", outcome.after_of(CRITICAL), outcome.after_of(LOWER), outcome.after_of(LOWER).answered() * load * share, outcome.refused_within(ms(100)));
        }
    }
}
