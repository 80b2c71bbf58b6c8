//! Shows the fleet.

use std::fmt::Write;

use sassafrasmastd::api::{Status, UpstreamStatus};

use crate::{client::Client, exit::Exit};

/// Prints the fleet as one balancer sees it.
///
/// # Errors
///
/// If no balancer answers.
pub async fn run(client: &Client, json: bool) -> anyhow::Result<Exit> {
    let status: Status = client.get("/status").await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print!("{}", table(&status));
    }
    Ok(Exit::Done)
}

/// The status as text.
pub fn table(status: &Status) -> String {
    let mut text = format!("version {} at {}\n", status.version, status.balancer);
    for (name, zone) in &status.zones {
        let state = if zone.out { "out" } else { "in" };
        push_line(&mut text, &format!("zone {name}: {state}"));
    }
    for service in &status.services {
        push_line(
            &mut text,
            &format!(
                "service {} at {}: {} of {} upstreams open for new work",
                service.service.name, service.service.address, service.open, service.upstreams
            ),
        );
    }
    for upstream in &status.upstreams {
        push_line(&mut text, &row(upstream));
    }
    for announced in &status.announced {
        push_line(
            &mut text,
            &format!(
                "announced {} by agent {} for service {} in zone {}: {} slots, {} connections",
                announced.upstream,
                announced.agent,
                announced.service,
                announced.zone,
                announced.slots,
                announced.connections
            ),
        );
    }
    for balancer in &status.balancers {
        push_line(
            &mut text,
            &format!(
                "balancer {} in zone {}: listens on {}, api {}",
                balancer.name, balancer.zone, balancer.listen, balancer.api
            ),
        );
    }
    text
}

fn row(status: &UpstreamStatus) -> String {
    let upstream = &status.upstream;
    let age = status.age_ms.map_or_else(
        || "no report yet".to_owned(),
        |age| format!("reported {age} ms ago"),
    );
    format!(
        "upstream {} (agent {} at {}) of {} in {}: {}{}, {} running, {} queued, limit {} of {} \
         slots, {} flows, {age}",
        upstream.upstream,
        status.agent,
        upstream.agent,
        status.service,
        upstream.zone,
        status.health,
        if upstream.draining {
            " (drain requested)"
        } else {
            ""
        },
        status.running,
        status.queued,
        status.limit,
        upstream.slots,
        status.flows,
    )
}

/// Appends `line` and a line break.
pub(crate) fn push_line(text: &mut String, line: &str) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "{line}");
}
