//! Invalid settings are refused with key and reason, and the samples are valid.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::OnceLock,
};

use expect_test::{Expect, expect};
use sassafrasmast_core::config::{Change, Document, Plan, Secrets};
use sassafrasmastd::options::Settings;

const BALANCER: &str = r#"
name = "entry-1"
zone = "pocitos"
listen = "127.0.0.1:7000"
[role.balancer]
api = "127.0.0.1:7002"
store = ["127.0.0.9:2379"]
[role.balancer.bind]
"127.0.1.1:443" = "127.0.0.1:443"
"#;

const AGENT: &str = r#"
name = "dispatch-1"
zone = "pocitos"
listen = "127.0.0.2:7000"
[role.agent]
service = "dispatch"
upstream = "127.0.0.2:8080"
slots = 5
connections = 2000
entries = ["127.0.0.1:7000"]
certificate = "DIR/certificate.pem"
key = "DIR/key.pem"
"#;

/// Checks each text with one part of it replaced.
fn check(cases: &[(&str, &str, &str)], expected: &Expect) {
    let directory = certificate();
    let mut lines = String::new();
    for (text, from, to) in cases {
        assert!(text.contains(from), "{from}");
        let text = text.replacen(from, to, 1).replace("DIR", &directory);
        let problems = match Settings::parse(&text) {
            Ok(settings) => settings.problems(),
            Err(problem) => vec![problem],
        };
        lines.extend(problems.iter().map(|p| format!("{p}\n")));
    }
    expected.assert_eq(&lines);
}

/// A directory with a self-signed certificate, created once.
fn certificate() -> String {
    static DIRECTORY: OnceLock<PathBuf> = OnceLock::new();
    let directory = DIRECTORY.get_or_init(|| {
        let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join("settings");
        fs::create_dir_all(&directory).expect("a directory for the test");
        let hosts = ["localhost".to_owned()];
        let made = rcgen::generate_simple_self_signed(hosts).expect("a certificate");
        let key = made.signing_key.serialize_pem();
        fs::write(directory.join("certificate.pem"), made.cert.pem()).expect("written");
        fs::write(directory.join("key.pem"), key).expect("written");
        directory
    });
    directory.display().to_string()
}

#[test]
fn valid_settings_have_no_problems() {
    check(&[(BALANCER, "", ""), (AGENT, "", "")], &expect![""]);
}

#[test]
fn errors_of_syntax_and_types_are_reported() {
    check(
        &[
            (BALANCER, "zone =", "zones ="),
            (BALANCER, "zone = \"pocitos\"", ""),
            (BALANCER, "127.0.0.1:7000", "127.0.0.1"),
            (BALANCER, "127.0.0.9:2379", "store:2379"),
            (BALANCER, "[role.balancer]", "[role.router]"),
            (AGENT, "slots = 5", "slots = -5"),
            (AGENT, "slots = 5", "slots = 5 5"),
        ],
        &expect![[r#"
            line 3: zones: unknown field `zones`, expected one of `name`, `zone`, `listen`, `metrics`, `log`, `workers`, `events`, `role`
            missing field `zone`
            line 4: listen: invalid socket address syntax
            line 7: store: invalid socket address syntax
            line 5: role.router: wanted exactly 1 element, more than 1 element
            line 8: slots: invalid value: integer `-5`, expected u16
            line 8: slots: string values must be quoted, expected literal string
        "#]],
    );
}

#[test]
fn invalid_names_and_limits_are_reported() {
    check(
        &[
            (BALANCER, "\"pocitos\"", "\"\""),
            (BALANCER, "\"entry-1\"", "\"entry 1\""),
            (BALANCER, "name =", "workers = 0\nname ="),
            (BALANCER, "name =", "events = 9000000\nname ="),
            (BALANCER, "name =", "log = \"loud\"\nname ="),
            (AGENT, "slots = 5", "slots = 0"),
            (AGENT, "connections = 2000", "connections = 4"),
            (AGENT, "\"dispatch\"", "\"\""),
        ],
        &expect![[r#"
            zone: is empty
            name: "entry 1" is not 1 to 64 letters, digits, '-', '_' or '.'
            workers: is zero
            events: is 9000000, at most 1048576 is allowed
            log: "loud" is not a log level
            role.agent.slots: is zero
            role.agent.connections: 4 is less than the 5 slots
            role.agent.service: is empty
        "#]],
    );
}

#[test]
fn invalid_addresses_are_reported() {
    check(
        &[
            (BALANCER, "127.0.0.1:7000", "0.0.0.0:7000"),
            (BALANCER, "127.0.0.1:7002", "127.0.0.1:7000"),
            (BALANCER, "[\"127.0.0.9:2379\"]", "[]"),
            (BALANCER, "\"127.0.0.1:443\"", "\"127.0.0.1:7000\""),
            (AGENT, "127.0.0.2:8080", "127.0.0.2:7000"),
            (
                AGENT,
                "[\"127.0.0.1:7000\"]",
                "[\"127.0.0.1:7000\", \"127.0.0.1:7000\"]",
            ),
        ],
        &expect![[r#"
            listen: 0.0.0.0:7000 is no address that others can reach
            role.balancer.api: 127.0.0.1:7000 overlaps with listen
            role.balancer.store: is empty
            role.balancer.bind: 127.0.0.1:7000 overlaps with listen
            role.agent.upstream: 127.0.0.2:7000 overlaps with listen
            role.agent.entries: 127.0.0.1:7000 is given twice
        "#]],
    );
}

#[test]
fn invalid_files_are_reported() {
    check(
        &[
            (AGENT, "DIR/certificate.pem", "/nowhere/c.pem"),
            (AGENT, "DIR/key.pem", "/dev/null"),
        ],
        &expect![[r#"
            role.agent.certificate: /nowhere/c.pem: No such file or directory (os error 2)
            role.agent.key: /dev/null does not hold valid PEM of the expected kind
        "#]],
    );
}

#[test]
fn an_error_names_the_file() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("faulty.toml");
    fs::write(
        &path,
        BALANCER.replace("7002", "7000").replace("pocitos", ""),
    )
    .unwrap();
    let error = Settings::read(&path).unwrap_err().to_string();
    let error = error.replace(&path.display().to_string(), "FILE");
    expect![[r#"
        FILE: zone: is empty
        FILE: role.balancer.api: 127.0.0.1:7000 overlaps with listen"#]]
    .assert_eq(&error);
}

/// Files of the samples with the given ending.
fn samples(ending: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    let mut found = Vec::new();
    for firm in ["reciclumen", "refugios"] {
        for file in fs::read_dir(root.join(firm)).expect("samples") {
            found.push(file.expect("a sample").path());
        }
    }
    found.retain(|path| path.extension().is_some_and(|e| e == ending));
    found
}

#[test]
fn the_sample_settings_are_valid() {
    let directory = certificate();
    let paths = samples("toml");
    assert_eq!(paths.len(), 6);
    for path in paths {
        let text = fs::read_to_string(&path).unwrap();
        let text = text.replace("/etc/sassafrasmast", &directory);
        let settings = Settings::parse(&text).unwrap_or_else(|p| panic!("{path:?}: {p}"));
        assert_eq!(settings.problems(), [], "{path:?}");
    }
}

#[test]
fn the_sample_changes_make_a_plan() {
    let secrets = Secrets {
        sealing: 0,
        phases: [(0, [1; 32])].into(),
        reset: [2; 32],
    };
    let first = Document::first(secrets);
    let paths = samples("json");
    assert_eq!(paths.len(), 2);
    for path in paths {
        let text = fs::read(&path).unwrap();
        let changes: Vec<Change> = serde_json::from_slice(&text).unwrap();
        let plan = Plan::new(&first, changes).unwrap_or_else(|e| panic!("{path:?}: {e}"));
        assert_eq!(plan.changes.len(), 5);
    }
}
