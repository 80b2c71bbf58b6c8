//! The story of one flow, told from the logs of several processes.

use std::{
    collections::{BTreeMap, HashSet},
    fmt::Write,
    fs,
    path::PathBuf,
};

use anyhow::{Context, ensure};
use serde_json::{Map, Value};

use crate::exit::Exit;

/// Events that tell what a process believed, and that belong to no flow.
const SURROUNDINGS: [&str; 10] = [
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

/// Prints what the logs in `files` say of `flow`.
///
/// # Errors
///
/// When a file cannot be read or no line is about the flow.
pub fn run(flow: &str, files: &[PathBuf]) -> anyhow::Result<Exit> {
    let mut text = String::new();
    for file in files {
        let read = fs::read_to_string(file);
        text += &read.with_context(|| format!("cannot read {}", file.display()))?;
    }
    let story = story(flow, &text);
    ensure!(!story.is_empty(), "no line is about {flow}");
    print!("{story}");
    Ok(Exit::Done)
}

/// What the log lines in `text` say of a flow, in order of time, with what the processes concerned
/// believed before. `flow` is the client's end, or `CLIENT>ROUTE`. Lines may have any prefix, and
/// lines that are not ours are passed over.
///
/// ```
/// let log = r#"{"at_ms":5,"vm":"a","event":"flow_reset","flow":"10.0.0.1:1>10.0.0.2:2"}"#;
/// let story = sassafrasmast::explain::story("10.0.0.1:1", log);
/// assert_eq!(story, "+0.000 s a flow_reset flow=10.0.0.1:1>10.0.0.2:2\n");
/// ```
pub fn story(flow: &str, text: &str) -> String {
    let lines: Vec<Map<String, Value>> = text.lines().filter_map(parse).collect();
    let mut told: Vec<&Map<String, Value>> =
        lines.iter().filter(|line| is_about(line, flow)).collect();
    told.sort_by_key(|line| at(line));
    let (Some(first), Some(last)) = (told.first().map(|l| at(l)), told.last().map(|l| at(l)))
    else {
        return String::new();
    };
    let vms: HashSet<&str> = told.iter().map(|line| field(line, "vm")).collect();
    let mut before: BTreeMap<(&str, &str), &Map<String, Value>> = BTreeMap::new();
    let mut around = Vec::new();
    for line in &lines {
        let (vm, event) = (field(line, "vm"), field(line, "event"));
        if !vms.contains(vm) || !SURROUNDINGS.contains(&event) || at(line) > last {
            continue;
        }
        if at(line) >= first {
            around.push(line);
        } else {
            let newest = before.entry((vm, event)).or_insert(line);
            if at(line) >= at(newest) {
                *newest = line;
            }
        }
    }
    told.extend(around);
    told.extend(before.into_values());
    told.sort_by_key(|line| at(line));
    let mut story = String::new();
    for line in told {
        describe(&mut story, line, first);
    }
    story
}

/// The JSON object that a line ends with.
fn parse(line: &str) -> Option<Map<String, Value>> {
    let start = line.find('{')?;
    serde_json::from_str(&line[start..]).ok()
}

/// Whether a line is about the flow.
fn is_about(line: &Map<String, Value>, flow: &str) -> bool {
    let named = field(line, "flow");
    named == flow || named.split('>').next().is_some_and(|client| client == flow)
}

fn field<'a>(line: &'a Map<String, Value>, name: &str) -> &'a str {
    line.get(name).and_then(Value::as_str).unwrap_or_default()
}

fn at(line: &Map<String, Value>) -> i64 {
    line.get("at_ms")
        .and_then(Value::as_i64)
        .unwrap_or_default()
}

/// Appends one line of the story, with its time since `first`.
fn describe(story: &mut String, line: &Map<String, Value>, first: i64) {
    let since = (at(line) - first) as f64 / 1_000.0;
    let (vm, event) = (field(line, "vm"), field(line, "event"));
    // Writing to a string does not fail.
    let _ = write!(story, "{since:+.3} s {vm} {event}");
    for (key, value) in line {
        if ["at_ms", "vm", "event"].contains(&key.as_str()) {
            continue;
        }
        let text = value
            .as_str()
            .map_or_else(|| value.to_string(), str::to_owned);
        let _ = write!(story, " {key}={text}");
    }
    story.push('\n');
}
