//! What an operator wants.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::{Context, bail, ensure};
use pico_args::Arguments;
use sassafrasmast_core::config::{Change, Service, ServiceName, ZoneName};
use sassafrasmast_wire::AgentId;

use super::free;

/// Deadline of requests whose caller gives none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Largest request body in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// The closed set of intents.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Intent {
    /// Changes that are known already.
    Changes(Vec<Change>),
    /// Admit announced upstreams by the address of their agent.
    Admit(Vec<SocketAddr>),
    /// Admit all announced upstreams.
    AdmitAll,
    /// Changes in a JSON file.
    File(PathBuf),
}

impl Intent {
    /// Parses the intent of `plan`.
    ///
    /// # Errors
    ///
    /// Names the missing, unknown or bad argument.
    pub fn parse(given: &mut Arguments) -> anyhow::Result<Self> {
        let name = given.subcommand()?;
        let name = name.context("an intent is missing, see plan --help")?;
        let one = |change| Ok(Self::Changes(vec![change]));
        match name.as_str() {
            "add-zone" => one(Change::AddZone { zone: zone(given)? }),
            "zone-out" => one(Change::ZoneOut { zone: zone(given)? }),
            "zone-in" => one(Change::ZoneIn { zone: zone(given)? }),
            "remove-zone" => one(Change::RemoveZone { zone: zone(given)? }),
            "create-service" => one(Change::CreateService {
                service: service(given)?,
            }),
            "set-service" => one(Change::SetService {
                service: service(given)?,
            }),
            "remove-service" => one(Change::RemoveService {
                service: service_name(given)?,
            }),
            "admit" => admit(given),
            "drain" => each(given, |agent| Change::Drain { agent }),
            "undrain" => each(given, |agent| Change::Undrain { agent }),
            "remove" => each(given, |agent| Change::RemoveUpstream { agent }),
            "rotate-key" => one(Change::RotateKey),
            "remove-key" => one(Change::RemoveKey {
                phase: given.free_from_str().context("a key phase is missing")?,
            }),
            "changes" => Ok(Self::File(
                given.free_from_str().context("a file is missing")?,
            )),
            name => bail!("unknown intent {name:?}, see plan --help"),
        }
    }
}

fn zone(given: &mut Arguments) -> anyhow::Result<ZoneName> {
    given.free_from_str().context("a zone is missing")
}

fn service_name(given: &mut Arguments) -> anyhow::Result<ServiceName> {
    given.free_from_str().context("a service is missing")
}

fn service(given: &mut Arguments) -> anyhow::Result<Service> {
    let address = given.value_from_str("--address")?;
    let feeds = given.values_from_str("--feed")?;
    let deadline_ms = given.opt_value_from_str("--deadline-ms")?;
    let max_body_bytes = given.opt_value_from_str("--max-body-bytes")?;
    Ok(Service {
        name: service_name(given)?,
        address,
        feeds,
        deadline_ms: deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS),
        max_body_bytes: max_body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES),
    })
}

fn admit(given: &mut Arguments) -> anyhow::Result<Intent> {
    let all = given.contains("--all");
    let agents: Vec<SocketAddr> = free(given)?;
    ensure!(
        all == agents.is_empty(),
        "admit takes either addresses of agents or --all"
    );
    Ok(if all {
        Intent::AdmitAll
    } else {
        Intent::Admit(agents)
    })
}

fn each(given: &mut Arguments, change: impl Fn(AgentId) -> Change) -> anyhow::Result<Intent> {
    let agents: Vec<AgentId> = free(given)?;
    ensure!(!agents.is_empty(), "the id of an agent is missing");
    Ok(Intent::Changes(agents.into_iter().map(change).collect()))
}
