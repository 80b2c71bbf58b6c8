//! Rules for documents: what they must not report, and what becomes of open flows. Each finding is
//! shown in the samples.

use std::{net::SocketAddrV4, time::Duration};

use sassafrasmast_check::{
    Draft, Entry, Origin, Place, Rule,
    difference::{Flows, between_policies},
    draft::{Backend, Route, Service},
    rules::{FLOW_LIFETIME, MIN_TIME_LIMIT, check},
};
use sassafrasmast_core::flow::intent::{self, Policy};

fn entry<T>(value: T) -> Entry<T> {
    Entry {
        value,
        origin: Origin {
            key: "key".to_owned(),
            place: Place { line: 1, column: 1 },
        },
    }
}

/// A draft with one route to one service.
fn draft() -> Draft {
    let backend = Backend {
        service: Some(entry("booking".to_owned())),
        weight: Some(entry(1)),
    };
    Draft {
        version: Some(entry(1)),
        routes: Some(vec![Route {
            origin: entry(()).origin,
            name: None,
            address: "198.18.0.1:443".parse().ok().map(entry),
            time_limit: Some(entry(MIN_TIME_LIMIT)),
            objective: Some(entry(MIN_TIME_LIMIT)),
            backends: Some(vec![backend]),
        }]),
        services: Some(vec![Service {
            name: Some(entry("booking".to_owned())),
        }]),
        idle_timeout: Some(entry(FLOW_LIFETIME)),
    }
}

fn rules(draft: &Draft) -> Vec<Rule> {
    check(draft).iter().map(|finding| finding.rule).collect()
}

fn first_route(draft: &mut Draft) -> &mut Route {
    &mut draft.routes.as_mut().expect("routes")[0]
}

#[test]
fn values_at_the_bounds_have_no_findings() {
    assert_eq!(rules(&draft()), []);
}

#[test]
fn values_beyond_the_bounds_have_findings() {
    let mut draft = draft();
    draft.idle_timeout = Some(entry(FLOW_LIFETIME + Duration::from_millis(1)));
    let route = first_route(&mut draft);
    route.time_limit = Some(entry(MIN_TIME_LIMIT - Duration::from_millis(1)));
    assert_eq!(
        rules(&draft),
        [
            Rule::ShortTimeLimit,
            Rule::ObjectiveAboveLimit,
            Rule::LongIdleTimeout
        ]
    );
}

/// Findings that follow from a value that could not be decoded would send operators to the wrong
/// place.
#[test]
fn nothing_is_concluded_from_what_could_not_be_decoded() {
    let mut unknown_backend = draft();
    first_route(&mut unknown_backend).backends = None;
    assert_eq!(rules(&unknown_backend), []);

    let mut unknown_service = draft();
    let backends = first_route(&mut unknown_service).backends.as_mut();
    backends.expect("backends")[0].service = None;
    assert_eq!(rules(&unknown_service), []);

    let mut unknown_weight = draft();
    let backends = first_route(&mut unknown_weight).backends.as_mut();
    backends.expect("backends")[0].weight = None;
    assert_eq!(rules(&unknown_weight), []);

    let mut unknown_name = draft();
    unknown_name.services = Some(vec![Service { name: None }]);
    assert_eq!(rules(&unknown_name), []);
    assert_eq!(rules(&Draft::default()), []);
}

#[test]
fn a_route_without_backends_leads_to_no_service() {
    let mut draft = draft();
    first_route(&mut draft).backends = Some(Vec::new());
    assert_eq!(rules(&draft), [Rule::ZeroWeights, Rule::UnusedService]);
}

#[test]
fn three_routes_with_one_address_shadow_each_other_in_turn() {
    let mut draft = draft();
    let routes = draft.routes.as_mut().expect("routes");
    routes.extend([routes[0].clone(), routes[0].clone()]);
    let count = |rule| rules(&draft).iter().filter(|&&found| found == rule).count();
    assert_eq!(count(Rule::AddressUsedTwice), 2);
    assert_eq!(count(Rule::Shadowed), 2);
}

#[test]
fn what_becomes_of_open_flows_follows_from_the_change() {
    let address: SocketAddrV4 = "198.18.0.1:443".parse().expect("an address");
    let mut policy = Policy {
        idle_timeout: Duration::from_secs(15),
        ..Policy::default()
    };
    policy.routes.insert(address, intent::Route::default());
    let flows = |old: &Policy, new: &Policy| {
        let differences = between_policies(old, new);
        assert_eq!(differences.len(), 1, "{differences:?}");
        differences[0].flows
    };
    let mut critical = policy.clone();
    critical.routes.entry(address).or_default().priority = 7;
    assert_eq!(flows(&policy, &critical), Flows::Kept);
    let without_route = Policy {
        routes: Default::default(),
        ..policy.clone()
    };
    assert_eq!(flows(&policy, &without_route), Flows::NewReset);
    assert_eq!(flows(&without_route, &policy), Flows::Unaffected);
    let shorter = Policy {
        idle_timeout: Duration::from_secs(5),
        ..policy.clone()
    };
    assert_eq!(flows(&policy, &shorter), Flows::IdleRemoved);
    assert_eq!(flows(&shorter, &policy), Flows::Kept);
    assert_eq!(between_policies(&policy, &policy), []);
}
