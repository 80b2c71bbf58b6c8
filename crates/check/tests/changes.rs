//! What a check finds in a list of changes without the configuration that they apply to, and what it
//! must not find.

use expect_test::expect;
use sassafrasmast_check::{
    Entry, Origin, Place,
    changes::{check, outline},
    difference::{Flows, between},
};
use sassafrasmast_core::config::{Change, MAX_CHANGES};

fn changes(text: &str) -> Vec<Entry<Change>> {
    let changes: Vec<Change> = serde_json::from_str(text).expect("changes");
    let entries = changes.into_iter().enumerate().map(|(index, value)| Entry {
        value,
        origin: Origin {
            key: format!("[{index}]"),
            place: Place {
                line: index + 1,
                column: 1,
            },
        },
    });
    entries.collect()
}

fn findings(text: &str) -> String {
    let findings = check(&changes(text));
    let lines = findings.iter().map(|finding| format!("{finding}\n"));
    lines.collect()
}

/// A service as a change takes it.
fn service(name: &str, address: &str) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","feeds":[],"deadline_ms":900,"max_body_bytes":1}}"#
    )
}

#[test]
fn what_only_the_configuration_in_force_tells_is_not_reported() {
    let admit = r#"{"change":"admit","service":"booking","zone":"norte","agent":"10.0.0.1:1",
        "upstream":"10.0.0.2:1","slots":1,"connections":1}"#;
    let lists = [
        r#"{"change":"zone-in","zone":"norte"}, {"change":"zone-out","zone":"sur"}"#.to_owned(),
        r#"{"change":"remove-zone","zone":"norte"}, {"change":"remove-service","service":"booking"}"#
            .to_owned(),
        admit.to_owned(),
        r#"{"change":"drain","agent":1}, {"change":"remove-upstream","agent":2}"#.to_owned(),
        r#"{"change":"remove-key","phase":9}"#.to_owned(),
        format!(
            r#"{{"change":"set-service","service":{}}}"#,
            service("booking", "10.0.0.1:443")
        ),
    ];
    for list in lists {
        assert_eq!(findings(&format!("[{list}]")), "", "{list}");
    }
}

#[test]
fn services_may_exchange_their_addresses() {
    let set = |name, address| {
        let service = service(name, address);
        format!(r#"{{"change":"set-service","service":{service}}}"#)
    };
    let create = set("booking", "10.0.0.1:443").replace("set-service", "create-service");
    let create_other = set("manifests", "10.0.0.2:443").replace("set-service", "create-service");
    let list = [
        create,
        create_other,
        set("booking", "10.0.0.2:443"),
        set("manifests", "10.0.0.1:443"),
    ];
    assert_eq!(findings(&format!("[{}]", list.join(","))), "");
}

#[test]
fn what_the_list_itself_rules_out_is_reported() {
    let texts = [
        r#"[{"change":"zone-out","zone":"norte"}, {"change":"zone-out","zone":"norte"}]"#,
        r#"[{"change":"remove-zone","zone":"norte"}, {"change":"zone-in","zone":"norte"}]"#,
        r#"[{"change":"add-zone","zone":"zona norte"}]"#,
        r#"[{"change":"rotate-key"}, {"change":"rotate-key"}]"#,
        "[]",
    ];
    expect![[r#"
        2:1: error: [1]: zone norte is out already
        2:1: error: [1]: there is no zone norte
        1:1: error: [0]: "zona norte" is not a name: 1 to 64 letters, digits, '-', '_' or '.' are wanted
        2:1: error: [1]: a plan may hold one change of keys
        error: the plan has no changes
    "#]].assert_eq(&texts.map(findings).concat());
    let one = r#"{"change":"drain","agent":1}"#;
    let list = vec![one; MAX_CHANGES + 1].join(",");
    expect![[r#"
        error: the plan has 257 changes, at most 256 are allowed
    "#]]
    .assert_eq(&findings(&format!("[{list}]")));
}

#[test]
fn open_flows_end_when_a_zone_or_upstream_is_taken_away_or_a_service_moves() {
    let moved = |address| {
        let service = service("booking", address);
        format!(r#"[{{"change":"set-service","service":{service}}}]"#)
    };
    let ends = |old: &str, new: &str| {
        let [old, new] = [old, new].map(changes);
        let [old, new] = [&old, &new].map(|list| outline(list.iter().map(|entry| &entry.value)));
        let differences = between(&old, &new);
        assert_eq!(differences.len(), 1, "{differences:?}");
        differences[0].flows == Flows::Ended
    };
    assert!(ends(&moved("10.0.0.1:1"), &moved("10.0.0.2:1")));
    assert!(ends("[]", r#"[{"change":"zone-out","zone":"norte"}]"#));
    assert!(ends("[]", r#"[{"change":"remove-upstream","agent":1}]"#));
    assert!(!ends("[]", r#"[{"change":"zone-in","zone":"norte"}]"#));
    assert!(!ends("[]", r#"[{"change":"drain","agent":1}]"#));
}
