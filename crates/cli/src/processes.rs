//! Shows the status of flow-forwarding processes.

use std::net::SocketAddr;

use sassafrasmast_forwarder::{
    Status,
    status::{self, Upstream},
    zone_status::ServicePlacement,
};

use crate::{client::Client, exit::Exit, status::push_line};

/// Prints the status of each process. Those that do not answer are listed on standard error.
///
/// # Errors
///
/// If a status cannot be encoded.
pub async fn run(processes: &[SocketAddr], json: bool) -> anyhow::Result<Exit> {
    let mut exit = Exit::Done;
    for &address in processes {
        match Client::new(vec![address]).get::<Status>(status::PATH).await {
            Ok(status) if json => println!("{}", serde_json::to_string(&status)?),
            Ok(status) => print!("{}", table(&status)),
            Err(error) => {
                eprintln!("{error}");
                exit = Exit::Partial;
            }
        }
    }
    Ok(exit)
}

/// The status of a process as text.
pub fn table(status: &Status) -> String {
    let Status {
        name, role, zone, ..
    } = status;
    let mut text = format!(
        "{role} {name} in zone {zone}: version {} at revision {}{}, {} flows\n",
        status.version,
        status.revision,
        match status.era {
            0 => String::new(),
            era => format!(" of era {era}"),
        },
        status.flows
    );
    for zone in &status.zones_out {
        push_line(&mut text, &format!("zone {zone} is out"));
    }
    let store = &status.store;
    let reason = store.reason.as_deref().unwrap_or("unknown");
    let store_line = if store.answers {
        format!("store has answered for {} ms", store.since_ms)
    } else {
        format!("store has been silent for {} ms: {reason}", store.since_ms)
    };
    push_line(&mut text, &store_line);
    for peer in &status.peers {
        let outcome = peer.failure.as_ref().map_or_else(
            || "answered".to_owned(),
            |failure| format!("failed ({failure})"),
        );
        let peer = format!("peer {} {outcome} {} ms ago", peer.address, peer.heard_ms);
        push_line(&mut text, &peer);
    }
    for placement in &status.placements {
        push_line(&mut text, &placement_row(placement));
    }
    for upstream in &status.upstreams {
        push_line(&mut text, &row(upstream));
    }
    text
}

fn placement_row(placement: &ServicePlacement) -> String {
    let zones = placement.zones.iter().map(|zone| {
        let path = zone
            .path_us
            .map_or_else(String::new, |path| format!(", path {path} us"));
        format!("; zone {}: room {}{path}", zone.zone, zone.room)
    });
    format!(
        "placement of {}: {} accepted a second, {} in other zones, {} SYNs wait, {} of 1000 sent away \
         ({}){}",
        placement.service,
        placement.accepted,
        placement.away,
        placement.waiting,
        placement.share_permille,
        placement.reason,
        zones.collect::<String>()
    )
}

fn row(upstream: &Upstream) -> String {
    let report = &upstream.report;
    let heard = upstream
        .heard_ms
        .map_or_else(String::new, |age| format!(", heard {age} ms ago"));
    format!(
        "upstream at agent {} of {} in {}: {}{}, {} of {} slots busy, {} flows{heard}{}",
        upstream.agent,
        upstream.service,
        upstream.zone,
        report.state.as_str(),
        if report.stopping {
            " (agent stops)"
        } else {
            ""
        },
        report.busy,
        report.slots,
        report.flows,
        if upstream.listed { "" } else { ", not listed" },
    )
}
