//! What `config check` finds in documents of routes, services and limits and in lists of changes, and
//! how it compares them.

#![allow(
    clippy::unwrap_used,
    reason = "a failed step in a helper must fail the test"
)]

use std::{
    collections::BTreeSet,
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    thread,
    time::{Duration, Instant},
};

use expect_test::expect;
use sassafrasmast::{
    check::{self, Against, Report},
    exit::Exit,
};
use sassafrasmast_core::flow::Intent;
use sassafrasmast_platform::operator;
use tokio::runtime::Runtime;

fn sample(name: &str) -> PathBuf {
    let samples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    samples.join("check").join(name)
}

fn report(file: &Path, against: Option<&Against>) -> Report {
    let runtime = Runtime::new().unwrap();
    runtime.block_on(check::report(file, against))
}

/// Everything that is printed for the reports, with the files' names only.
fn text(reports: &[Report]) -> String {
    let directory = format!("{}/", sample("").parent().unwrap().join("check").display());
    let reports = reports.iter();
    let texts = reports.map(|report| report.problems() + &report.result());
    texts.collect::<String>().replace(&directory, "")
}

fn against_file(name: &str) -> Option<Against> {
    Some(Against::File(sample(name)))
}

fn in_force(address: SocketAddr) -> Option<Against> {
    Some(Against::InForce {
        processes: vec![address],
        api: vec![address],
    })
}

/// Writes a file for one test.
fn scratch(name: &str, text: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Starts a server that gives each request the same answer.
fn server(status: u16, body: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 65_536]).unwrap();
            let length = body.len();
            let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
            let _ = stream.write_all((head + &body).as_bytes());
        }
    });
    address
}

/// The reports of all samples.
fn samples() -> [Report; 4] {
    [
        report(&sample("document.json"), None),
        report(&sample("changes.json"), None),
        report(&sample("syntax.json"), None),
        report(&sample("after.json"), against_file("before.json").as_ref()),
    ]
}

#[test]
fn sample_of_a_document_shows_findings_with_place_key_and_reason() {
    expect![[r#"
        document.json:4:5: warning: routes[0]: is shadowed by routes[1], which has the same address and port
        document.json:6:30: error: routes[1].host: 198.18.0.1:8443 is already used by routes[0]
        document.json:7:44: warning: routes[1].targetLatencyMs: 2000 ms is above the time limit of 1000 ms
        document.json:8:14: error: routes[2].name: "feed" is already used by routes[0].name
        document.json:9:19: warning: routes[2].timeoutMs: 20 ms is below 50 ms: no attempt can meet it
        document.json:9:35: error: routes[2].priority: a whole number from 0 to 255 is expected, not 256
        document.json:9:51: error: routes[2].service: there is no service "bookings"
        document.json:11:93: warning: routes[3].backends[1].weight: is zero: no new flow goes to this backend
        document.json:12:5: error: routes[4]: the weights of its backends sum to zero
        document.json:14:5: error: routes[5].host: is missing
        document.json:14:33: error: routes[5].prefix: prefix "/https/" is not a port: invalid digit found in string
        document.json:14:57: error: routes[5].timeoutMs: invalid type: string "1s", expected u64
        document.json:18:14: warning: services[1].name: no route leads to service "manifests"
        document.json:19:14: error: services[2].name: "booking" is already used by services[0].name
        document.json:21:31: warning: limits.idleTimeoutMs: 90000 ms is above 60000 ms, for which a flow is kept
        document.json: document of routes, services and limits is invalid, errors: 9, warnings: 6
    "#]].assert_eq(&text(&samples()[..1]));
}

#[test]
fn sample_of_changes_shows_findings_with_place_key_and_reason() {
    expect![[r#"
        changes.json:3:3: error: [1]: zone zona-norte exists already
        changes.json:4:3: warning: [2].service.deadline_ms: 20 ms is below 50 ms: no attempt can meet it
        changes.json:4:3: warning: [2].service.feeds[1]: "/feed/new" is shadowed by the prefix "/feed"
        changes.json:7:3: error: [3]: services booking and manifests share the address 10.30.0.1:443
        changes.json:11:15: error: [4].service.deadline_ms: is missing
        changes.json:11:15: error: [4].service.feeds: is missing
        changes.json:11:45: error: [4].service.address: invalid socket address syntax
        changes.json:11:70: error: [4].service.deadline: unknown field `deadline`, expected one of `name`, `address`, `feeds`, `deadline_ms`, `max_body_bytes`
        changes.json:12:34: error: [4].service.max_body_bytes: invalid type: string "1 MB", expected u64
        changes.json:14:3: error: [6]: there is no service claims
        changes.json:16:3: error: [7]: slots of agent 1 is zero
        changes.json:18:14: error: [8].change: unknown variant `zone-off`, expected one of `add-zone`, `zone-out`, `zone-in`, `remove-zone`, `create-service`, `set-service`, `remove-service`, `admit`, `drain`, `undrain`, `remove-upstream`, `rotate-key`, `remove-key`
        changes.json:19:3: error: [9].change: is missing
        changes.json:20:3: error: [10]: a change is a JSON object
        changes.json: list of changes is invalid, errors: 12, warnings: 2
        syntax.json:4:1: error: trailing comma
        syntax.json: document of routes, services and limits is invalid, errors: 1, warnings: 0
    "#]].assert_eq(&text(&samples()[1..3]));
}

#[test]
fn samples_to_compare_show_differences_and_what_becomes_of_open_flows() {
    expect![[r#"
        after.json:2:14: warning: version: 7 is lower than 8: processes that have the higher one ignore the document
        after.json: document of routes, services and limits is valid, warnings: 1
        after.json: differences from before.json, version 8: 9
          changed idle_timeout: 30000 ms -> 15000 ms; open flows that are idle for longer may be removed
          changed routes[198.18.0.1:8443].latency_objective: 150 ms -> none; open flows stay with their upstreams, new flows follow the change
          changed routes[198.18.0.1:8443].priority: 2 -> 1; open flows stay with their upstreams, new flows follow the change
          changed routes[198.18.0.2:8443].backends[booking].weight: 90000 of 100000 -> 50000 of 100000; open flows stay with their upstreams, new flows follow the change
          changed routes[198.18.0.2:8443].backends[manifests].weight: 10000 of 100000 -> 50000 of 100000; open flows stay with their upstreams, new flows follow the change
          removed routes[198.18.0.3:8443]: backends[manifests].weight 1 of 1, kind at most once, latency_objective none, priority 255, time_limit none; open flows stay with their upstreams, new flows are reset
          added   routes[198.18.0.4:8443]: backends[claims].weight 1 of 1, kind at most once, latency_objective none, priority 255, time_limit none; open flows are not affected
          changed services[booking].cold_rate: 12/s -> 20/s; open flows stay with their upstreams, new flows follow the change
          added   services[claims]: cold_for 0 ms, cold_rate 0/s; open flows are not affected
    "#]].assert_eq(&text(&samples()[3..]));
}

/// All rules but `reused-version`, which excludes `lower-version`.
#[test]
fn samples_have_a_finding_of_each_rule() {
    let reports = samples();
    let findings = reports.iter().flat_map(|report| &report.findings);
    let rules: BTreeSet<_> = findings
        .map(|finding| serde_json::to_string(&finding.rule).unwrap())
        .collect();
    expect![[r#"
        "address-used-twice"
        "invalid-value"
        "long-idle-timeout"
        "lower-version"
        "missing-key"
        "name-used-twice"
        "objective-above-limit"
        "refused-change"
        "shadowed"
        "short-time-limit"
        "syntax"
        "unknown-key"
        "unknown-service"
        "unused-service"
        "zero-weight"
        "zero-weights""#]]
    .assert_eq(&Vec::from_iter(rules).join("\n"));
}

#[test]
fn the_same_version_with_other_content_is_a_warning() {
    let text = fs::read_to_string(sample("after.json")).unwrap();
    let file = scratch(
        "same-version.json",
        &text.replace("\"version\": 7", "\"version\": 8"),
    );
    let changed = report(&file, against_file("before.json").as_ref());
    let finding = changed.findings.first().unwrap().to_string();
    expect![
        "2:14: warning: version: 8 is the version of other content: processes may go on with that"
    ]
    .assert_eq(&finding);
    let unchanged = report(&sample("before.json"), against_file("before.json").as_ref());
    assert!(unchanged.findings.is_empty() && unchanged.differences.is_empty());
}

#[test]
fn exit_code_follows_the_worst_finding() {
    let exit = |name: &str, strict| report(&sample(name), None).exit(strict);
    assert_eq!(exit("document.json", false), Exit::Usage);
    assert_eq!(exit("changes.json", true), Exit::Usage);
    assert_eq!(exit("syntax.json", false), Exit::Usage);
    assert_eq!(exit("before.json", true), Exit::Done);
    assert_eq!(exit("no-such-file.json", false), Exit::Usage);
    let lower_version = report(&sample("after.json"), against_file("before.json").as_ref());
    assert_eq!(lower_version.exit(false), Exit::Done);
    assert_eq!(lower_version.exit(true), Exit::Failed);
}

#[test]
fn a_document_is_compared_with_the_intent_of_a_process() {
    let before = fs::read(sample("before.json")).unwrap();
    let intent = Intent {
        policy: operator::policy(&before).unwrap(),
        ..Intent::default()
    };
    let address = server(200, serde_json::to_string(&intent).unwrap());
    let live = report(&sample("after.json"), in_force(address).as_ref());
    let file = report(&sample("after.json"), against_file("before.json").as_ref());
    assert!(!file.differences.is_empty());
    assert_eq!(live.differences, file.differences);
    assert_eq!(live.findings, file.findings);
}

#[test]
fn what_can_be_checked_is_reported_if_no_process_answers() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let valid = report(&sample("before.json"), in_force(closed).as_ref());
    assert!(valid.unreachable.is_some());
    assert_eq!(valid.exit(true), Exit::Unreachable);
    let invalid = report(&sample("document.json"), in_force(closed).as_ref());
    assert_eq!(invalid.exit(false), Exit::Usage);
    assert_eq!(
        invalid.findings,
        report(&sample("document.json"), None).findings
    );
    let not_ready = server(503, "no intent is in force".to_owned());
    let waiting = report(&sample("before.json"), in_force(not_ready).as_ref());
    assert_eq!(waiting.exit(false), Exit::Unreachable);
}

#[test]
fn a_list_of_changes_is_planned_on_the_configuration_in_force() {
    let file = scratch(
        "zone-out.json",
        r#"[{"change": "zone-out", "zone": "zona-sur"}]"#,
    );
    let plan = r#"{"id":"p","base":7,"digest":"d","changes":[],
        "effects":[{"effect":"zone-out","zone":"zona-sur","upstreams":3}]}"#;
    let planned = report(&file, in_force(server(200, plan.to_owned())).as_ref());
    assert_eq!(planned.exit(true), Exit::Done);
    let result = planned.result();
    assert!(result.contains("their open flows end"), "{result}");

    let refusal = r#"{"error":"refused","reason":"there is no zone zona-sur",
        "refusal":{"refusal":"zone-unknown","zone":"zona-sur"}}"#;
    let refused = report(&file, in_force(server(422, refusal.to_owned())).as_ref());
    assert_eq!(refused.exit(false), Exit::Usage);
    let reason = &refused.findings.first().unwrap().reason;
    assert_eq!(reason, "there is no zone zona-sur");
}

#[test]
fn json_has_findings_and_differences() {
    let report = report(&sample("after.json"), against_file("before.json").as_ref());
    let mut value = serde_json::to_value(&report).unwrap();
    value["differences"].as_array_mut().unwrap().truncate(1);
    for key in ["file", "against"] {
        let path = value[key].as_str().unwrap().to_owned();
        value[key] = path.rsplit('/').next().unwrap().into();
    }
    expect![[r#"
        {
          "against": "before.json, version 8",
          "differences": [
            {
              "flows": "idle-removed",
              "key": "idle_timeout",
              "new": "15000 ms",
              "old": "30000 ms"
            }
          ],
          "file": "after.json",
          "findings": [
            {
              "column": 14,
              "key": "version",
              "line": 2,
              "reason": "7 is lower than 8: processes that have the higher one ignore the document",
              "rule": "lower-version",
              "severity": "warning"
            }
          ],
          "kind": "document of routes, services and limits"
        }"#]]
    .assert_eq(&serde_json::to_string_pretty(&value).unwrap());
}

#[test]
fn documents_that_are_no_objects_and_empty_lists_have_findings() {
    let reasons = [
        ("number.json", "{\"version\": 1, \"routes\": 5}"),
        ("empty.json", "[]"),
        ("numbers.json", "[{}, 5]"),
        ("unfinished.json", "[{\"change\": "),
    ];
    let reports = reasons.map(|(name, text)| report(&scratch(name, text), None));
    let directory = format!("{}/", env!("CARGO_TARGET_TMPDIR"));
    expect![[r#"
        number.json:1:1: error: services: is missing
        number.json:1:1: error: limits: is missing
        number.json:1:26: error: routes: invalid type: integer `5`, expected a sequence
        number.json: document of routes, services and limits is invalid, errors: 3, warnings: 0
        empty.json: error: the plan has no changes
        empty.json: list of changes is invalid, errors: 1, warnings: 0
        numbers.json: error: the plan has no changes
        numbers.json:1:2: error: [0].change: is missing
        numbers.json:1:6: error: [1]: a change is a JSON object
        numbers.json: list of changes is invalid, errors: 3, warnings: 0
        unfinished.json: error: the plan has no changes
        unfinished.json:1:12: error: EOF while parsing a value
        unfinished.json: list of changes is invalid, errors: 2, warnings: 0
    "#]]
    .assert_eq(&text(&reports).replace(&directory, ""));
}

#[test]
fn settings_are_not_compared() {
    let samples = sample("").join("../refugios");
    let against = against_file("before.json");
    let compared = report(&samples.join("balancer.toml"), against.as_ref());
    assert_eq!(compared.exit(false), Exit::Usage);
    let alone = report(&samples.join("balancer.toml"), None);
    assert_eq!(alone.exit(true), Exit::Done);
}

/// The stated bound is a second. The best of three runs counts, since other tests run at the same
/// time.
#[test]
fn ten_thousand_routes_are_checked_in_less_than_a_second() {
    let route = |number: usize| {
        let (high, low) = (number / 250, number % 250);
        format!(
            r#"{{"name":"r{number}","host":"198.18.{high}.{low}","prefix":"/8443/","kind":"safe","timeoutMs":1000,"targetLatencyMs":150,"priority":2,"backends":[{{"service":"booking","weight":90}},{{"service":"manifests","weight":10}}],"maxAttempts":2}}"#
        )
    };
    let routes: Vec<_> = (0..10_000).map(route).collect();
    let text = format!(
        r#"{{"version":7,"routes":[{}],"services":[{{"name":"booking"}},{{"name":"manifests"}}],"limits":{{"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    );
    let file = scratch("many-routes.json", &text);
    let best = (0..3)
        .map(|_| {
            let start = Instant::now();
            assert_eq!(report(&file, None).findings, []);
            start.elapsed()
        })
        .min();
    assert!(best.unwrap() < Duration::from_secs(1), "{best:?}");
}
