//! Parsing of the intents of `plan`.

use std::{net::SocketAddr, path::PathBuf};

use anyhow::{Context, bail, ensure};
use pico_args::Arguments;
use sassafrasmast_core::config::{Change, Service, ServiceName, ZoneName};
use sassafrasmast_wire::AgentId;

use super::positional;

/// Default request deadline of a service, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Default limit on the request body of a service, in bytes.
const DEFAULT_MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// What an operator wants to change. [`crate::plan`] turns it into changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Intent {
    /// Changes given in full on the command line.
    Changes(Vec<Change>),
    /// Admit the announced upstreams with these agent addresses.
    Admit(Vec<SocketAddr>),
    /// Admit all announced upstreams.
    AdmitAll,
    /// Changes read from a JSON file.
    File(PathBuf),
}

impl Intent {
    /// Parses the intent of `plan`.
    ///
    /// # Errors
    ///
    /// Names the missing, unknown or invalid argument.
    pub fn parse(arguments: &mut Arguments) -> anyhow::Result<Self> {
        let name = arguments.subcommand()?;
        let name = name.context("an intent is missing, see plan --help")?;
        let single = |change| Ok(Self::Changes(vec![change]));
        match name.as_str() {
            "add-zone" => single(Change::AddZone {
                zone: zone(arguments)?,
            }),
            "zone-out" => single(Change::ZoneOut {
                zone: zone(arguments)?,
            }),
            "zone-in" => single(Change::ZoneIn {
                zone: zone(arguments)?,
            }),
            "remove-zone" => single(Change::RemoveZone {
                zone: zone(arguments)?,
            }),
            "create-service" => single(Change::CreateService {
                service: service(arguments)?,
            }),
            "set-service" => single(Change::SetService {
                service: service(arguments)?,
            }),
            "remove-service" => single(Change::RemoveService {
                service: service_name(arguments)?,
            }),
            "admit" => admit(arguments),
            "drain" => per_agent(arguments, |agent| Change::Drain { agent }),
            "undrain" => per_agent(arguments, |agent| Change::Undrain { agent }),
            "remove" => per_agent(arguments, |agent| Change::RemoveUpstream { agent }),
            "rotate-key" => single(Change::RotateKey),
            "remove-key" => single(Change::RemoveKey {
                phase: arguments
                    .free_from_str()
                    .context("a key phase is missing")?,
            }),
            "changes" => Ok(Self::File(
                arguments.free_from_str().context("a file is missing")?,
            )),
            name => bail!("unknown intent {name:?}, see plan --help"),
        }
    }
}

fn zone(arguments: &mut Arguments) -> anyhow::Result<ZoneName> {
    arguments.free_from_str().context("a zone is missing")
}

fn service_name(arguments: &mut Arguments) -> anyhow::Result<ServiceName> {
    arguments.free_from_str().context("a service is missing")
}

fn service(arguments: &mut Arguments) -> anyhow::Result<Service> {
    let address = arguments.value_from_str("--address")?;
    let feeds = arguments.values_from_str("--feed")?;
    let deadline_ms = arguments.opt_value_from_str("--deadline-ms")?;
    let max_body_bytes = arguments.opt_value_from_str("--max-body-bytes")?;
    Ok(Service {
        name: service_name(arguments)?,
        address,
        feeds,
        deadline_ms: deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS),
        max_body_bytes: max_body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES),
    })
}

fn admit(arguments: &mut Arguments) -> anyhow::Result<Intent> {
    let all = arguments.contains("--all");
    let agents: Vec<SocketAddr> = positional(arguments)?;
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

/// One change for each agent id among the remaining arguments.
fn per_agent(
    arguments: &mut Arguments,
    change: impl Fn(AgentId) -> Change,
) -> anyhow::Result<Intent> {
    let agents: Vec<AgentId> = positional(arguments)?;
    ensure!(!agents.is_empty(), "the id of an agent is missing");
    Ok(Intent::Changes(agents.into_iter().map(change).collect()))
}
