//! The command line: which arguments are accepted or refused, and the exit code of a confirm by
//! the answers of the balancer.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    thread,
    time::Duration,
};

use expect_test::{Expect, expect};
use pico_args::Arguments;
use sassafrasmast::{
    certificate,
    client::Client,
    command::{Command, Intent},
    confirm,
    exit::Exit,
};

fn parse(line: &str) -> anyhow::Result<Command> {
    let words = line.split_whitespace().map(Into::into).collect();
    Command::parse(Arguments::from_vec(words))
}

/// Parses each intent of `plan` and compares the resulting changes or errors.
fn assert_intents(lines: &[&str], expected: &Expect) {
    let mut text = String::new();
    for line in lines {
        let command = parse(&format!("plan {line} --api 127.0.0.1:7002"));
        text += &match command {
            Ok(Command::Plan {
                intent: Intent::Changes(changes),
                ..
            }) => serde_json::to_string(&changes).expect("changes have a JSON form"),
            Ok(Command::Plan { intent, .. }) => format!("{intent:?}"),
            Ok(other) => format!("{other:?}"),
            Err(error) => format!("refused: {error:#}"),
        };
        text.push('\n');
    }
    expected.assert_eq(&text);
}

#[test]
fn intents_parse_to_changes() {
    assert_intents(
        &[
            "zone-out pocitos",
            "zone-in pocitos",
            "create-service dispatch --address 127.0.1.1:443 --feed /feed --deadline-ms 900",
            "drain 3 4",
            "remove 3",
            "rotate-key",
            "remove-key 0",
            "admit 127.0.0.1:7000 127.0.0.2:7000",
            "admit --all",
            "changes changes.json --out plan.json",
        ],
        &expect![[r#"
            [{"change":"zone-out","zone":"pocitos"}]
            [{"change":"zone-in","zone":"pocitos"}]
            [{"change":"create-service","service":{"name":"dispatch","address":"127.0.1.1:443","feeds":["/feed"],"deadline_ms":900,"max_body_bytes":67108864}}]
            [{"change":"drain","agent":3},{"change":"drain","agent":4}]
            [{"change":"remove-upstream","agent":3}]
            [{"change":"rotate-key"}]
            [{"change":"remove-key","phase":0}]
            Admit([127.0.0.1:7000, 127.0.0.2:7000])
            AdmitAll
            File("changes.json")
        "#]],
    );
}

#[test]
fn invalid_intents_are_refused() {
    assert_intents(
        &[
            "",
            "zone-off pocitos",
            "zone-out",
            "zone-out pocitos centro",
            "create-service dispatch",
            "create-service dispatch --address here",
            "drain",
            "drain three",
            "admit",
            "admit --all 127.0.0.1:7000",
            "rotate-key --force",
        ],
        &expect![[r#"
            refused: an intent is missing, see plan --help
            refused: unknown intent "zone-off", see plan --help
            refused: a zone is missing: free-standing argument is missing
            refused: unknown arguments ["centro"], see --help
            refused: the '--address' option must be set
            refused: failed to parse 'here': invalid socket address syntax
            refused: the id of an agent is missing
            refused: failed to parse 'three': invalid digit found in string
            refused: admit takes either addresses of agents or --all
            refused: admit takes either addresses of agents or --all
            refused: unknown arguments ["--force"], see --help
        "#]],
    );
}

#[test]
fn invalid_commands_are_refused() {
    let lines = [
        "",
        "plot",
        "status --api nowhere",
        "status --process nowhere",
        "confirm --api 127.0.0.1:7002",
        "config",
        "config check",
        "config check a.json b.json --against c.json",
        "config check a.json --process 127.0.0.1:9464",
        "config check a.json --format xml",
        "certificate --out here",
        "replay",
    ];
    let results = lines.map(|line| match parse(line) {
        Ok(command) => format!("{command:?}\n"),
        Err(error) => format!("{error:#}\n"),
    });
    expect![[r#"
        a command is missing, see --help
        unknown command "plot", see --help
        failed to parse 'nowhere': invalid socket address syntax
        failed to parse 'nowhere': invalid socket address syntax
        a plan file is missing, see --help: free-standing argument is missing
        config has one command, check; see --help
        a settings file is missing, see --help
        --against takes one file to check
        --process is for --against in-force
        failed to parse 'xml': text or json is expected
        --host is missing, see --help
        a recorded timeline is missing, see --help: free-standing argument is missing
    "#]]
    .assert_eq(&results.concat());
}

#[test]
fn each_command_has_help() {
    let commands = [
        "plan",
        "confirm",
        "status",
        "timeline",
        "replay",
        "config",
        "certificate",
    ];
    for command in commands {
        let Ok(Command::Print(text)) = parse(&format!("{command} --help")) else {
            panic!("{command} has no help");
        };
        assert!(text.contains(&format!("sassafrasmast {command}")), "{text}");
        let Ok(Command::Print(tool)) = parse("--help") else {
            panic!("no help");
        };
        assert!(tool.contains(command));
    }
}

/// Starts a server that answers each connection with the next status and body; the last answer
/// repeats.
fn scripted_server(answers: &'static [(u16, &'static str)]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free address");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let last = answers.last().into_iter().cycle();
        for (status, body) in answers.iter().chain(last) {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = [0; 65_536];
            let _ = stream.read(&mut request).expect("a request");
            let length = body.len();
            let head = format!("HTTP/1.1 {status} X\r\ncontent-length: {length}\r\n\r\n");
            let _ = stream.write_all((head + body).as_bytes());
        }
    });
    address
}

/// Confirms a plan against a server with scripted answers, waiting up to `wait` seconds.
fn confirm_with(name: &str, answers: &'static [(u16, &'static str)], wait: u64) -> Exit {
    let address = scripted_server(answers);
    let file = scratch(name).join("plan.json");
    let plan = r#"{"id":"p","base":1,"digest":"d","changes":[],"effects":[]}"#;
    std::fs::write(&file, plan).expect("written");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let client = Client::new(vec![address]);
    let wait = Duration::from_secs(wait);
    let result = runtime.block_on(confirm::run(&client, &file, None, wait, false));
    result.unwrap_or_else(|error| Exit::from_error(&error))
}

fn scratch(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::create_dir_all(&directory).expect("a directory for the test");
    directory
}

const CONFIRMED: (u16, &str) = (200, r#"{"version":2}"#);
const UNSETTLED: (u16, &str) = (504, r#"{"error":"unsettled"}"#);
const STORE_DOWN: (u16, &str) = (503, r#"{"error":"store-down"}"#);
const CONFLICT: (u16, &str) = (409, r#"{"error":"conflict","base":1,"current":2}"#);
const ALL_IN_FORCE: (u16, &str) = (200, r#"{"asked":3,"behind":[],"silent":[]}"#);
const BEHIND: (u16, &str) = (
    200,
    r#"{"asked":3,"silent":[],"behind":[{"process":{"address":"127.0.0.1:1","role":"agent"},"version":1}]}"#,
);

#[test]
fn a_confirm_with_unknown_outcome_is_repeated() {
    let exit = confirm_with("settled", &[UNSETTLED, CONFIRMED, BEHIND, ALL_IN_FORCE], 5);
    assert_eq!(exit, Exit::Done);
    let exit = confirm_with("lost", &[UNSETTLED, CONFLICT], 5);
    assert_eq!(exit, Exit::Conflict);
}

#[test]
fn store_failure_after_an_unknown_outcome_exits_as_unsettled() {
    let exit = confirm_with("down", &[UNSETTLED, STORE_DOWN], 0);
    assert_eq!(exit, Exit::Unsettled);
    let exit = confirm_with("unsettled", &[UNSETTLED, UNSETTLED, UNSETTLED], 0);
    assert_eq!(exit, Exit::Unsettled);
    assert_eq!(confirm_with("nothing", &[STORE_DOWN], 0), Exit::Unreachable);
}

#[test]
fn confirm_exits_as_partial_if_a_process_stays_behind() {
    let exit = confirm_with("behind", &[CONFIRMED, BEHIND], 1);
    assert_eq!(exit, Exit::Partial);
}

#[test]
fn certificate_key_is_readable_by_its_owner_only() {
    use std::os::unix::fs::PermissionsExt;
    let directory = scratch("certificate");
    let hosts = vec!["localhost".to_owned(), "127.0.0.1".to_owned()];
    assert_eq!(certificate::run(hosts, &directory).unwrap(), Exit::Done);
    let key = std::fs::metadata(directory.join("key.pem")).unwrap();
    assert_eq!(key.permissions().mode() & 0o777, 0o600);
    let pem = std::fs::read_to_string(directory.join("certificate.pem")).unwrap();
    assert!(pem.starts_with("-----BEGIN CERTIFICATE-----"));
}
