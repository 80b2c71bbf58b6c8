//! The history of one flow, from the logs of several processes.

use std::{
    collections::{BTreeMap, HashSet},
    fmt::Write,
    fs,
    path::PathBuf,
};

use anyhow::{Context, ensure};
use serde_json::{Map, Value};

use crate::exit::Exit;

/// Events that belong to no flow and show the state of a process: its configuration, its contact
/// with the store and other processes, and the upstreams it knows.
const STATE_EVENTS: [&str; 10] = [
    "start",
    "stop",
    "reload",
    "intent_read",
    "intent_stale",
    "store_lost",
    "store_regained",
    "peer_told",
    "upstream_changed",
    "member_unlisted",
];

/// Prints the history of `flow` from the logs in `files`.
///
/// # Errors
///
/// If a file cannot be read or no line is about the flow.
pub fn run(flow: &str, files: &[PathBuf]) -> anyhow::Result<Exit> {
    let mut text = String::new();
    for file in files {
        let read = fs::read_to_string(file);
        text += &read.with_context(|| format!("cannot read {}", file.display()))?;
    }
    let history = history(flow, &text);
    ensure!(!history.is_empty(), "no line is about {flow}");
    print!("{history}");
    Ok(Exit::Done)
}

/// The history of a flow from the log lines in `text`, in order of time: the lines about the flow
/// and, for each VM that logged such a line, its state events up to the time of the last line about
/// the flow. Of a VM's state events before the first line about the flow only the latest of each
/// kind is included. `flow` is the client's address,
/// or `CLIENT>ROUTE`. Lines may have any prefix; lines without a JSON object are skipped.
///
/// ```
/// let log = r#"{"at_ms":5,"vm":"a","event":"flow_reset","flow":"10.0.0.1:1>10.0.0.2:2"}"#;
/// let history = sassafrasmast::explain::history("10.0.0.1:1", log);
/// assert_eq!(history, "+0.000 s a flow_reset flow=10.0.0.1:1>10.0.0.2:2\n");
/// ```
pub fn history(flow: &str, text: &str) -> String {
    let lines: Vec<Map<String, Value>> = text.lines().filter_map(parse).collect();
    let mut selected: Vec<&Map<String, Value>> =
        lines.iter().filter(|line| is_about(line, flow)).collect();
    selected.sort_by_key(|line| at_ms(line));
    let (Some(first_ms), Some(last_ms)) = (
        selected.first().map(|l| at_ms(l)),
        selected.last().map(|l| at_ms(l)),
    ) else {
        return String::new();
    };
    let vms: HashSet<&str> = selected.iter().map(|line| field(line, "vm")).collect();
    let mut latest_before: BTreeMap<(&str, &str), &Map<String, Value>> = BTreeMap::new();
    let mut during = Vec::new();
    for line in &lines {
        let (vm, event) = (field(line, "vm"), field(line, "event"));
        if !vms.contains(vm) || !STATE_EVENTS.contains(&event) || at_ms(line) > last_ms {
            continue;
        }
        if at_ms(line) >= first_ms {
            during.push(line);
        } else {
            let newest = latest_before.entry((vm, event)).or_insert(line);
            if at_ms(line) >= at_ms(newest) {
                *newest = line;
            }
        }
    }
    selected.extend(during);
    selected.extend(latest_before.into_values());
    selected.sort_by_key(|line| at_ms(line));
    let mut history = String::new();
    for line in selected {
        push_line(&mut history, line, first_ms);
    }
    history
}

/// The JSON object that a line ends with.
fn parse(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Whether a line is about `flow`, given as the client's address or in full.
fn is_about(line: &Map<String, Value>, flow: &str) -> bool {
    let logged = field(line, "flow");
    logged == flow
        || logged
            .split('>')
            .next()
            .is_some_and(|client| client == flow)
}

fn field<'a>(line: &'a Map<String, Value>, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}

fn at_ms(line: &Map<String, Value>) -> i64 {
    line.get("at_ms")
        .and_then(Value::as_i64)
        .unwrap_or_default()
}

/// Appends one line of the history, with its time since `first_ms`.
fn push_line(history: &mut String, line: &Map<String, Value>, first_ms: i64) {
    let since = (at_ms(line) - first_ms) as f64 / 1_000.0;
    let (vm, event) = (field(line, "vm"), field(line, "event"));
    // Writing to a string does not fail.
    let _ = write!(history, "{since:+.3} s {vm} {event}");
    for (key, value) in line {
        if ["at_ms", "vm", "event"].contains(&key.as_str()) {
            continue;
        }
        let text = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        let _ = write!(history, " {key}={text}");
    }
    history.push('\n');
}
