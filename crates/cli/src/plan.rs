//! Plans changes of the configuration.

use std::{fs, net::SocketAddr, path::PathBuf};

use anyhow::{Context, bail, ensure};
use sassafrasmast_core::config::{Change, Plan};
use sassafrasmastd::api::{Announced, Status, UpstreamStatus, Wish};

use crate::{client::Client, command::Intent, exit::Exit};

/// Requests a plan, prints it and writes it to `out`.
///
/// # Errors
///
/// If no balancer answers, the changes are refused or a file cannot be read or written.
pub async fn run(
    client: &Client,
    intent: Intent,
    out: Option<PathBuf>,
    json: bool,
) -> anyhow::Result<Exit> {
    let changes = changes(client, intent).await?;
    let plan: Plan = client.post("/plans", &Wish { changes }).await?;
    let text = serde_json::to_string_pretty(&plan)? + "\n";
    if json {
        print!("{text}");
    } else {
        println!("{plan}");
        if let Some(note) = affected_flows(client, &plan).await {
            println!("{note}");
        }
    }
    if let Some(path) = out {
        fs::write(&path, text).with_context(|| format!("{}", path.display()))?;
        if !json {
            println!("confirm with: sassafrasmast confirm {}", path.display());
        }
    }
    Ok(Exit::Done)
}

/// Note on the open flows at the upstreams that the plan drains, removes or takes out, as their
/// agents last reported; `None` if there are no such upstreams or no balancer answers.
async fn affected_flows(client: &Client, plan: &Plan) -> Option<String> {
    let is_affected = |upstream: &UpstreamStatus| {
        plan.changes.iter().any(|change| match change {
            Change::ZoneOut { zone } => upstream.upstream.zone == *zone,
            Change::Drain { agent } | Change::RemoveUpstream { agent } => upstream.agent == *agent,
            _ => false,
        })
    };
    let status: Status = client.get("/status").await.ok()?;
    let affected: Vec<_> = status.upstreams.iter().filter(|u| is_affected(u)).collect();
    if affected.is_empty() {
        return None;
    }
    let flows: u32 = affected.iter().map(|upstream| upstream.flows).sum();
    let silent = affected.iter().filter(|u| u.age_ms.is_none()).count();
    Some(format!(
        "{flows} flows are open at the {} upstreams affected, as last reported; {silent} of them \
         never reported",
        affected.len()
    ))
}

/// The changes that `intent` stands for; announced upstreams are looked up at a balancer.
async fn changes(client: &Client, intent: Intent) -> anyhow::Result<Vec<Change>> {
    match intent {
        Intent::Changes(changes) => Ok(changes),
        Intent::File(path) => {
            let text = fs::read(&path).with_context(|| format!("{}", path.display()))?;
            serde_json::from_slice(&text).with_context(|| format!("{}", path.display()))
        }
        Intent::Admit(agents) => {
            let status: Status = client.get("/status").await?;
            let announced = |agent: &SocketAddr| {
                let found = status.announced.iter().find(|a| a.agent == *agent);
                found.with_context(|| format!("no upstream is announced by an agent at {agent}"))
            };
            agents
                .iter()
                .map(|agent| Ok(admit(announced(agent)?)))
                .collect()
        }
        Intent::AdmitAll => {
            let status: Status = client.get("/status").await?;
            ensure!(!status.announced.is_empty(), "no upstream is announced");
            let announcements: Vec<_> = status.announced.iter().collect();
            for announced in &announcements {
                if !status.zones.contains_key(&announced.zone) {
                    bail!(
                        "the agent at {} announces zone {}, which does not exist",
                        announced.agent,
                        announced.zone
                    );
                }
            }
            Ok(announcements.into_iter().map(admit).collect())
        }
    }
}

fn admit(announced: &Announced) -> Change {
    Change::Admit {
        service: announced.service.clone(),
        zone: announced.zone.clone(),
        agent: announced.agent,
        upstream: announced.upstream,
        slots: announced.slots,
        connections: announced.connections,
    }
}
