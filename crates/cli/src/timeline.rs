//! Merges the timelines of several processes in the order of time.

use std::{fs, net::SocketAddr, path::PathBuf};

use anyhow::Context;
use chrono::{DateTime, SecondsFormat};
use sassafrasmast_core::timeline::Event;
use sassafrasmastd::api::{Events, Process};
use tokio::task::JoinSet;

use crate::{client::Client, exit::Exit};

/// Most processes queried at the same time.
const MAX_CONCURRENT_QUERIES: usize = 16;

/// Collects the events of `processes`, or of all known processes if it is empty, merges them by
/// time and prints them.
///
/// # Errors
///
/// If the list of processes cannot be fetched. A process whose events cannot be fetched is
/// reported on standard error and left out.
pub async fn run(
    client: &Client,
    processes: Vec<SocketAddr>,
    out: Option<PathBuf>,
    json: bool,
) -> anyhow::Result<Exit> {
    let mut exit = Exit::Done;
    let mut merged = Vec::new();
    let mut remaining = addresses(client, processes).await?.into_iter();
    let mut tasks = JoinSet::new();
    loop {
        while tasks.len() < MAX_CONCURRENT_QUERIES
            && let Some(address) = remaining.next()
        {
            let client = client.clone();
            tasks.spawn(async move { (address, collect(&client, address).await) });
        }
        let Some(done) = tasks.join_next().await else {
            break;
        };
        match done? {
            (_, Ok(events)) => merged.extend(events),
            (address, Err(error)) => {
                eprintln!("sassafrasmast: the events of {address} are left out: {error:#}");
                exit = Exit::Partial;
            }
        }
    }
    merged.sort_by_key(|event| event.at_ns);
    print(&merged, out, json)?;
    Ok(exit)
}

async fn addresses(client: &Client, requested: Vec<SocketAddr>) -> anyhow::Result<Vec<SocketAddr>> {
    if !requested.is_empty() {
        return Ok(requested);
    }
    let known: Vec<Process> = client.get("/processes").await?;
    Ok(known.into_iter().map(|process| process.address).collect())
}

/// All events that one process still holds, fetched page by page.
async fn collect(client: &Client, address: SocketAddr) -> anyhow::Result<Vec<Event>> {
    let mut all = Vec::new();
    let mut after = 0;
    loop {
        let path = format!("/events?process={address}&after={after}");
        let page: Events = client.get(&path).await?;
        let Some(last) = page.events.last() else {
            return Ok(all);
        };
        after = last.number;
        all.extend(page.events.into_iter().map(|numbered| numbered.event));
    }
}

fn print(events: &[Event], out: Option<PathBuf>, json: bool) -> anyhow::Result<()> {
    let mut lines = String::new();
    for event in events {
        lines += &serde_json::to_string(event)?;
        lines.push('\n');
    }
    if json {
        print!("{lines}");
    } else if out.is_none() {
        for event in events.iter().filter(|event| !event.kind.is_input()) {
            println!("{}", row(event));
        }
    }
    if let Some(path) = out {
        fs::write(&path, lines).with_context(|| format!("{}", path.display()))?;
        eprintln!("wrote {} events to {}", events.len(), path.display());
    }
    Ok(())
}

/// One event as a line of text.
///
/// ```
/// use sassafrasmast::timeline::row;
/// use sassafrasmast_core::timeline::{Event, Kind};
/// let event = Event {
///     at_ns: 1_500_000_000, process: "entry-1".to_owned(), incarnation: 7, flow: None,
///     request: None, kind: Kind::ConfigInForce { version: 3 },
/// };
/// assert_eq!(row(&event), "1970-01-01T00:00:01.500000000Z entry-1 config-in-force version=3");
/// ```
pub fn row(event: &Event) -> String {
    let at = DateTime::from_timestamp_nanos(i64::try_from(event.at_ns).unwrap_or(i64::MAX));
    let at = at.to_rfc3339_opts(SecondsFormat::Nanos, true);
    let mut row = format!("{at} {}", event.process);
    if let Ok(serde_json::Value::Object(mut kind)) = serde_json::to_value(&event.kind) {
        if let Some(serde_json::Value::String(what)) = kind.remove("what") {
            row += &format!(" {what}");
        }
        for (key, value) in kind {
            row += &format!(" {key}={value}");
        }
    }
    if let Some(flow) = event.flow {
        row += &format!(" flow={flow:016x}");
    }
    if let Some(request) = event.request {
        row += &format!(" request={request}");
    }
    row
}
