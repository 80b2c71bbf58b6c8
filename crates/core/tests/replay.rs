//! Replays of recorded traces meet their expectations.

use std::{fs, path::Path, time::Instant};

use expect_test::expect;
use sassafrasmast_core::replay::{Error, Player, Report, Trace};

fn read(name: &str) -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/traces")
        .join(name);
    fs::read_to_string(file).expect("the trace can be read")
}

fn play(name: &str) -> Report {
    let trace = Trace::parse(&read(name)).expect("the trace parses");
    Player::new(Instant::now())
        .play(&trace)
        .expect("the trace can be replayed")
}

fn decisions(report: &Report) -> String {
    report
        .decisions
        .iter()
        .map(|decision| format!("{decision}\n"))
        .collect()
}

#[test]
fn every_trace_meets_its_expectations() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut failed = Vec::new();
    let mut played = 0;
    for entry in fs::read_dir(folder).unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        let report = play(&name);
        assert!(report.expectation_count > 0, "{name} has no expectations");
        played += 1;
        if !report.passed() {
            failed.push((name, report.violations, report.unmet));
        }
    }
    assert!(played > 0);
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn a_replay_is_deterministic() {
    let name = "placement-through-changes.jsonl";
    assert_eq!(play(name), play(name));
}

#[test]
fn a_retried_ticket_runs_once() {
    let report = play("ticket-retried.jsonl");
    expect![[r#"
        +0.000s dispatch-1 limit 1
        +1.000s dispatch-1 #1 start
        +1.001s dispatch-1 #1 handed over
        +1.050s dispatch-1 #2 answer ran
        +1.050s dispatch-1 #1 answer ran
        +2.000s dispatch-1 #3 answer ran
    "#]]
    .assert_eq(&decisions(&report));
}

#[test]
fn a_pause_past_the_deadline_forbids_the_hand_over() {
    let report = play("paused-past-expiry.jsonl");
    expect![[r#"
        +0.000s dispatch-1 limit 1
        +1.000s dispatch-1 #1 start
        +700.000s dispatch-1 #1 answer not-run: the deadline passed before the request was started
        +700.000s dispatch-1 #1 hand-over forbidden
        +701.000s dispatch-1 #2 answer not-run: the deadline passed before the request was started
    "#]]
    .assert_eq(&decisions(&report));
}

#[test]
fn an_unmet_expectation_is_reported() {
    let wrong = r#"{"expect":"handed-over","process":"dispatch-1","request":2,"count":1}"#;
    let text = read("ticket-retried.jsonl") + wrong;
    let trace = Trace::parse(&text).unwrap();
    let report = Player::new(Instant::now()).play(&trace).unwrap();
    assert_eq!(report.unmet.len(), 1);
    assert!(!report.passed());
}

#[test]
fn a_line_that_does_not_parse_is_reported_by_number() {
    let text = read("ticket-retried.jsonl") + "{\"at_ns\":1}\n";
    let last = text.lines().count();
    let error = Trace::parse(&text).unwrap_err();
    assert!(
        matches!(error, Error::InvalidLine { line, .. } if line == last),
        "{error}"
    );
}

#[test]
fn inputs_before_the_settings_are_an_error() {
    let text: String = read("ticket-retried.jsonl")
        .lines()
        .filter(|line| !line.contains("agent-settings"))
        .map(|line| format!("{line}\n"))
        .collect();
    let trace = Trace::parse(&text).unwrap();
    let error = Player::new(Instant::now()).play(&trace).unwrap_err();
    assert_eq!(error, Error::MissingSettings("dispatch-1".to_owned()));
}
