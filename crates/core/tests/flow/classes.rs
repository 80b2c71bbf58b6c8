//! Requests of several routes at one service, on upstreams and zones that differ.

use crate::{
    fixture::ms,
    load::{Class, Model, Scenario, Tail},
};

/// Load at which all classes are served: below what the slowest upstream bears of its share.
const BORNE_LOAD: f64 = 0.5;

/// Target for the share of each class that is answered within its objective below the capacity.
const IN_TIME: f64 = 0.9;

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
