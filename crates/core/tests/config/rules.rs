//! Validation of documents, records, and the partial documents that agents get.

use expect_test::expect;
use sassafrasmast_core::config::Document;

use super::{add_zone, confirmed, fleet, zone_out};

#[test]
fn documents_that_violate_a_rule_are_refused() {
    let violations: [fn(&mut Document); 11] = [
        |d| d.version = 0,
        |d| d.next_agent = 3,
        |d| d.next_service = 1,
        |d| d.secrets.sealing = 7,
        |d| _ = d.secrets.phases.insert(1, [1; 32]),
        |d| d.services.get_mut(&1).unwrap().deadline_ms = 0,
        |d| d.services.get_mut(&1).unwrap().address.set_port(0),
        |d| d.services.get_mut(&1).unwrap().feeds = vec!["feed".to_owned()],
        |d| d.upstreams.get_mut(&2).unwrap().slots = 0,
        |d| d.upstreams.get_mut(&2).unwrap().zone = "nowhere".to_owned(),
        |d| d.upstreams.get_mut(&2).unwrap().upstream = d.upstreams[&1].upstream,
    ];
    let text: String = violations
        .into_iter()
        .map(|violate| {
            let mut document = fleet();
            violate(&mut document);
            format!("{}\n", document.validate().unwrap_err())
        })
        .collect();
    expect![[r#"
        version 0 is no configuration
        agent id 3 is not below the next one, 3
        service id 1 is not below the next one, 1
        the sealing phase 7 has no key
        key phases 0 and 1 have the same key
        deadline-ms of service dispatch is zero
        127.0.1.1:0 is not usable as an address of service dispatch
        feed path "feed" of service dispatch does not start with '/'
        slots of agent 2 is zero
        the upstream of agent 2 is in zone nowhere, which does not exist
        agents 1 and 2 are both beside the upstream 127.0.0.1:8080
    "#]]
    .assert_eq(&text);
}

#[test]
fn agent_ids_are_never_assigned_twice() {
    let remove = sassafrasmast_core::config::Change::RemoveUpstream { agent: 3 };
    let without = fleet().apply(&[remove], &[0; 32]).unwrap();
    let again = without
        .apply(&[super::admit("dispatch", "centro", 3)], &[0; 32])
        .unwrap();
    assert!(!again.upstreams.contains_key(&3));
    assert!(again.upstreams.contains_key(&4));
}

#[test]
fn a_record_applies_only_to_its_own_base() {
    let base = fleet();
    let (next, record) = confirmed(&base, vec![zone_out("centro")]);
    assert_eq!(record.apply_to(&base), Some(next.clone()));
    assert_eq!(record.apply_to(&next), None);
    let other = base.apply(&[add_zone("third")], &[0; 32]).unwrap();
    assert_eq!(record.apply_to(&other), None);
    let mut fork = base;
    fork.next_agent += 1;
    assert_eq!(record.apply_to(&fork), None);
}

#[test]
fn an_admitted_agent_gets_its_service_and_an_unknown_one_nothing() {
    let all = fleet();
    let own = all.for_agent("127.0.0.2:7000".parse().unwrap()).unwrap();
    assert_eq!(own.upstreams, all.upstreams);
    assert_eq!(own.validate(), Ok(()));
    assert_eq!(all.for_agent("127.0.0.9:7000".parse().unwrap()), None);
    assert_eq!(all.without_services().validate(), Ok(()));
    assert!(all.without_services().upstreams.is_empty());
}

#[test]
fn the_partial_document_of_an_agent_counts_all_upstreams_of_the_fleet() {
    let mut all = fleet();
    let own = all.upstreams.len();
    let mut service = all.services[&1].clone();
    service.name = "another".to_owned();
    service.address.set_port(9);
    all.services.insert(9, service);
    let mut upstream = all.upstreams[&1].clone();
    upstream.service = 9;
    for agent in 100..150 {
        all.upstreams.insert(agent, upstream.clone());
    }
    let partial = all.for_agent("127.0.0.2:7000".parse().unwrap()).unwrap();
    assert_eq!(partial.upstreams.len(), own);
    assert_eq!(partial.total_upstreams(), own + 50);
    assert_eq!(all.total_upstreams(), own + 50);
}
