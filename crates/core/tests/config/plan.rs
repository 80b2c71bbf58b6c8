//! Effects and errors of plans.

use expect_test::{Expect, expect};
use sassafrasmast_core::config::{Change, Document, Plan};

use super::{admit, first, fleet, service, zone_out};

fn check(document: &Document, changes: Vec<Change>, expected: &Expect) {
    let text = match Plan::new(document, changes) {
        Ok(plan) => plan.effects.iter().map(|e| format!("{e}\n")).collect(),
        Err(error) => format!("refused: {error}\n"),
    };
    expected.assert_eq(&text);
}

#[test]
fn a_zone_out_reports_the_remaining_capacity() {
    let changes = vec![zone_out("pocitos")];
    check(
        &fleet(),
        changes,
        &expect![[r#"
            zone pocitos goes out: its 2 upstreams stop getting packets within 5 s and their open flows end
            service dispatch has 5 slots on 1 upstreams that take new work, 15 slots before
            zone centro is the last one in which service dispatch takes new work
        "#]],
    );
}

#[test]
fn taking_out_the_last_zone_warns() {
    let changes = vec![zone_out("pocitos"), zone_out("centro")];
    let plan = Plan::new(&fleet(), changes).unwrap();
    let warnings: Vec<_> = plan.warnings().map(ToString::to_string).collect();
    assert_eq!(
        warnings,
        ["service dispatch has no upstream left that takes new work"]
    );
}

#[test]
fn one_plan_can_create_a_service_and_admit_its_upstream() {
    let changes = vec![
        Change::CreateService {
            service: service("manifests", "127.0.1.2:443"),
        },
        admit("manifests", "centro", 9),
        Change::Drain { agent: 1 },
    ];
    check(
        &fleet(),
        changes,
        &expect![[r#"
            service manifests is created at 127.0.1.2:443
            upstream 127.0.0.9:8080 is admitted to service manifests in zone centro as agent 4
            upstream 127.0.0.1:8080 (agent 1) gets no new work; its open flows go on
            service dispatch has 10 slots on 2 upstreams that take new work, 15 slots before
            service manifests has 5 slots on 1 upstreams that take new work, 0 slots before
        "#]],
    );
}

#[test]
fn removing_an_upstream_that_was_not_drained_warns() {
    check(
        &fleet(),
        vec![Change::RemoveUpstream { agent: 3 }],
        &expect![[r#"
            upstream 127.0.0.3:8080 (agent 3) is removed without a drain: its open flows end
            service dispatch has 10 slots on 2 upstreams that take new work, 15 slots before
            zone pocitos is the last one in which service dispatch takes new work
        "#]],
    );
}

#[test]
fn a_key_rotation_takes_two_steps() {
    let rotate = || vec![Change::RotateKey];
    check(
        &first(),
        rotate(),
        &expect![[r#"
            key 1 is added and opens connection ids and tickets; once this version is in force in every process, rotate again to seal with it
        "#]],
    );
    let prepared = first().apply(&rotate(), &[9; 32]).unwrap();
    assert_eq!(prepared.secrets.sealing, 0);
    check(
        &prepared,
        rotate(),
        &expect![[r#"
            key 1 seals new connection ids and tickets; older keys still open those sealed with them
        "#]],
    );
    let rotated = prepared.apply(&rotate(), &[8; 32]).unwrap();
    assert_eq!(rotated.secrets.sealing, 1);
    assert_eq!(rotated.secrets.phases[&1], [9; 32]);
    assert!(rotated.secrets.phases.contains_key(&0));
}

#[test]
fn a_plan_is_a_pure_function_of_base_and_changes() {
    let plan = |document: &Document| Plan::new(document, vec![zone_out("centro")]).unwrap();
    assert_eq!(plan(&fleet()), plan(&fleet()));
    let mut other = fleet();
    other.next_agent += 1;
    assert_ne!(plan(&fleet()).digest, plan(&other).digest);
    let two = Plan::new(&fleet(), vec![zone_out("pocitos")]).unwrap();
    assert_ne!(plan(&fleet()).digest, two.digest);
}

#[test]
fn a_plan_round_trips_through_json() {
    let plan = Plan::new(&fleet(), vec![zone_out("centro"), Change::RotateKey]).unwrap();
    let text = serde_json::to_string(&plan).unwrap();
    assert_eq!(serde_json::from_str::<Plan>(&text).unwrap(), plan);
}

#[test]
fn invalid_plans_are_refused() {
    let refused = [
        vec![],
        vec![zone_out("nowhere")],
        vec![zone_out("centro"), zone_out("centro")],
        vec![Change::RemoveZone {
            zone: "centro".to_owned(),
        }],
        vec![admit("dispatch", "centro", 1)],
        vec![admit("nothing", "centro", 8)],
        vec![Change::Undrain { agent: 1 }],
        vec![Change::Drain { agent: 77 }],
        vec![Change::RemoveService {
            service: "dispatch".to_owned(),
        }],
        vec![Change::CreateService {
            service: service("second", "127.0.1.1:443"),
        }],
        vec![Change::RemoveKey { phase: 0 }],
        vec![Change::RotateKey, Change::RotateKey],
    ];
    let text: String = refused
        .into_iter()
        .map(|changes| match Plan::new(&fleet(), changes) {
            Ok(plan) => format!("{plan}\n"),
            Err(error) => format!("{error}\n"),
        })
        .collect();
    expect![[r#"
        the plan has no changes
        there is no zone nowhere
        zone centro is out already
        zone centro still has 1 upstreams
        agents 1 and 4 share the address 127.0.0.1:7000
        there is no service nothing
        the upstream of agent 1 is not draining
        there is no admitted agent 77
        service dispatch still has 3 upstreams
        services dispatch and second share the address 127.0.1.1:443
        the key of phase 0 seals new ids and cannot be removed
        a plan may hold one change of keys
    "#]]
    .assert_eq(&text);
}
