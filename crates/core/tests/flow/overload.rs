//! Balancers and agents under a load that returns at once after an outage.

use crate::{
    fixture::ms,
    load::{Disturbance, Model, Outcome, Scenario},
};

/// Target for the goodput, as a share of the load or of the capacity, whichever is less.
const GOODPUT: f64 = 0.95;

/// Plays a load of `share` of the capacity and returns the outcome and what the upstreams bear of
/// the requests that count. Those count that arrive from two seconds after the outage on.
fn play(seed: u64, share: f64) -> (Outcome, f64) {
    let scenario = Scenario {
        balancers: 2,
        zones: 1,
        near_delay: ms(0),
        client_delay: ms(2),
        cold_for: ms(0),
        load: share,
        disturbance: Disturbance::PowerLost,
        begin: ms(3_000),
        end: ms(5_000),
        length: ms(12_000),
        ..Scenario::default()
    };
    let borne = scenario.capacity() * scenario.counted_after().as_secs_f64();
    let outcome = Model::new(seed, scenario).run();
    let borne = borne.min(outcome.after.arrived as f64);
    (outcome, borne)
}

#[test]
fn goodput_recovers_within_two_seconds_of_the_capacity() {
    for share in [0.5, 0.8, 1.0, 1.5] {
        for seed in 0..10 {
            let (outcome, borne) = play(seed, share);
            let answered = outcome.after.answered as f64;
            assert!(
                answered >= GOODPUT * borne,
                "load {share}, seed {seed}: {answered} of {borne}: {outcome}"
            );
        }
    }
}

#[test]
fn latency_recovers_within_two_seconds_of_the_capacity() {
    for share in [0.5, 0.8] {
        for seed in 0..10 {
            let (outcome, _) = play(seed, share);
            let in_time = outcome.after.in_time();
            assert!(in_time >= GOODPUT, "load {share}, seed {seed}: {outcome}");
        }
    }
}

#[test]
fn goodput_stays_at_the_capacity_under_twice_the_load() {
    for seed in 0..10 {
        let (outcome, borne) = play(seed, 2.0);
        let answered = outcome.after.answered as f64;
        assert!(
            answered >= GOODPUT * borne,
            "seed {seed}: {answered} of {borne}: {outcome}"
        );
        assert_eq!(outcome.shed, 0, "seed {seed}");
    }
}
