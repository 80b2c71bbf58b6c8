//! Rules for a list of changes. The configuration that the changes apply to is not at hand: zones and
//! services that a change refers to and that no earlier change adds are taken to exist, and changes of
//! admitted upstreams and keys are not followed.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv6Addr, SocketAddr},
    time::Duration,
};

use sassafrasmast_core::config::{Change, Document, Error, MAX_CHANGES, Secrets, Service, Zone};

use crate::{Entry, Finding, Origin, Rule, difference::Outline, rules::MIN_TIME_LIMIT};

/// Key of the document that the changes are tried on. No secret depends on it.
const TRIAL_KEY: [u8; 32] = [0; 32];

/// Port of services that are taken to exist. Any port but 0 is valid.
const TRIAL_PORT: u16 = 443;

/// First segment of IPv6 addresses of services that are taken to exist: a range for documentation,
/// so that it does not collide with the address of a service in the list.
const TRIAL_PREFIX: [u16; 2] = [0x2001, 0xdb8];

/// Checks a list of changes. The findings are in the order of the list.
pub fn check(changes: &[Entry<Change>]) -> Vec<Finding> {
    let mut findings = refusals(changes);
    for change in changes {
        if let Change::CreateService { service } | Change::SetService { service } = &change.value {
            check_service(&change.origin, service, &mut findings);
        }
    }
    findings.sort_by_key(|finding| finding.place);
    findings
}

/// Changes that the rules of the configuration refuse.
fn refusals(changes: &[Entry<Change>]) -> Vec<Finding> {
    let mut findings = Vec::new();
    let whole = |error: &Error| Finding::whole(Rule::RefusedChange, error.to_string());
    if changes.is_empty() {
        findings.push(whole(&Error::Empty));
    }
    if changes.len() > MAX_CHANGES {
        findings.push(whole(&Error::TooMany {
            count: changes.len(),
            limit: MAX_CHANGES,
        }));
    }
    let mut key_changes = changes.iter().filter(|change| is_key_change(&change.value));
    if let (Some(_), Some(second)) = (key_changes.next(), key_changes.next()) {
        let reason = Error::KeysTwice.to_string();
        findings.push(Finding::new(Rule::RefusedChange, &second.origin, reason));
    }
    let tried: Vec<_> = changes
        .iter()
        .filter(|change| is_tried(&change.value))
        .collect();
    let base = base(tried.iter().map(|change| &change.value));
    let values: Vec<_> = tried.iter().map(|change| change.value.clone()).collect();
    // Only the result of all changes has to be valid: two services may exchange their addresses.
    let Err(error) = base.apply(&values, &TRIAL_KEY) else {
        return findings;
    };
    let before = findings.len();
    let mut document = base;
    for change in tried {
        match document.apply(std::slice::from_ref(&change.value), &TRIAL_KEY) {
            Ok(next) => document = next,
            Err(error) => findings.push(refusal(&change.origin, &error)),
        }
    }
    if findings.len() == before {
        findings.push(whole(&error));
    }
    findings
}

fn refusal(origin: &Origin, error: &Error) -> Finding {
    let rule = match error {
        Error::ServiceExists { .. } | Error::ZoneExists { .. } => Rule::NameUsedTwice,
        Error::ServiceAddressShared { .. }
        | Error::AgentAddressShared { .. }
        | Error::UpstreamShared { .. } => Rule::AddressUsedTwice,
        Error::ServiceUnknown { .. } => Rule::UnknownService,
        _ => Rule::RefusedChange,
    };
    Finding::new(rule, origin, error.to_string())
}

fn is_key_change(change: &Change) -> bool {
    matches!(change, Change::RotateKey | Change::RemoveKey { .. })
}

/// Whether the rules for a change need nothing that only the configuration in force tells.
fn is_tried(change: &Change) -> bool {
    let is_of_upstream = matches!(
        change,
        Change::Drain { .. } | Change::Undrain { .. } | Change::RemoveUpstream { .. }
    );
    !is_of_upstream && !is_key_change(change)
}

/// A document with the zones and services that the changes refer to before they add them.
fn base<'a>(changes: impl Iterator<Item = &'a Change>) -> Document {
    let mut base = Document::first(Secrets {
        sealing: 0,
        phases: BTreeMap::from([(0, TRIAL_KEY)]),
        reset: TRIAL_KEY,
    });
    let (mut zones, mut services) = (BTreeSet::new(), BTreeSet::new());
    for change in changes {
        let (zone, service) = match change {
            Change::AddZone { zone } => {
                zones.insert(zone);
                continue;
            }
            Change::CreateService { service } => {
                services.insert(&service.name);
                continue;
            }
            Change::ZoneOut { zone } | Change::ZoneIn { zone } | Change::RemoveZone { zone } => {
                (Some(zone), None)
            }
            Change::SetService { service } => (None, Some(&service.name)),
            Change::RemoveService { service } => (None, Some(service)),
            Change::Admit { zone, service, .. } => (Some(zone), Some(service)),
            _ => continue,
        };
        if let Some(zone) = zone.filter(|&zone| zones.insert(zone)) {
            let out = matches!(change, Change::ZoneIn { .. });
            base.zones.insert(zone.clone(), Zone { out });
        }
        if let Some(service) = service.filter(|&service| services.insert(service)) {
            add_service(&mut base, service);
        }
    }
    base
}

fn add_service(document: &mut Document, name: &str) {
    let id = document.next_service;
    let [first, second] = TRIAL_PREFIX;
    let address = Ipv6Addr::from([first, second, 0, 0, 0, 0, 0, id]);
    document.services.insert(
        id,
        Service {
            name: name.to_owned(),
            address: SocketAddr::from((address, TRIAL_PORT)),
            feeds: Vec::new(),
            deadline_ms: 1,
            max_body_bytes: 1,
        },
    );
    document.next_service = id.saturating_add(1);
}

fn check_service(origin: &Origin, service: &Service, findings: &mut Vec<Finding>) {
    let at = |key: &str| Origin {
        key: format!("{}.service.{key}", origin.key),
        place: origin.place,
    };
    let limit = Duration::from_millis(service.deadline_ms);
    if !limit.is_zero() && limit < MIN_TIME_LIMIT {
        let reason = format!(
            "{} ms is below {} ms: no attempt can meet it",
            service.deadline_ms,
            MIN_TIME_LIMIT.as_millis()
        );
        findings.push(Finding::new(
            Rule::ShortTimeLimit,
            &at("deadline_ms"),
            reason,
        ));
    }
    for (index, path) in service.feeds.iter().enumerate() {
        let shadows = |&(other, prefix): &(usize, &String)| {
            path.starts_with(prefix.as_str()) && (path != prefix || other < index)
        };
        if let Some((_, prefix)) = service.feeds.iter().enumerate().find(shadows) {
            let origin = at(&format!("feeds[{index}]"));
            let reason = format!("{path:?} is shadowed by the prefix {prefix:?}");
            findings.push(Finding::new(Rule::Shadowed, &origin, reason));
        }
    }
}

/// What the zones, services and upstreams of the list are after it, as far as the list tells.
pub fn outline<'a>(changes: impl IntoIterator<Item = &'a Change>) -> Outline {
    let mut outline = Outline::default();
    for change in changes {
        let (object, fields) = match change {
            Change::AddZone { zone } | Change::ZoneIn { zone } => zone_state(zone, "in service"),
            Change::ZoneOut { zone } => zone_state(zone, "out"),
            Change::RemoveZone { zone } => zone_state(zone, "removed"),
            Change::CreateService { service } | Change::SetService { service } => (
                format!("services[{}]", service.name),
                vec![
                    ("address", service.address.to_string()),
                    ("feeds", service.feeds.join(" ")),
                    ("deadline_ms", service.deadline_ms.to_string()),
                    ("max_body_bytes", service.max_body_bytes.to_string()),
                ],
            ),
            Change::RemoveService { service } => {
                state(format!("services[{service}]"), "removed".to_owned())
            }
            Change::Admit {
                service,
                zone,
                agent,
                upstream,
                slots,
                connections,
            } => (
                format!("upstreams[{upstream}]"),
                vec![
                    ("service", service.clone()),
                    ("zone", zone.clone()),
                    ("agent", agent.to_string()),
                    ("slots", slots.to_string()),
                    ("connections", connections.to_string()),
                ],
            ),
            Change::Drain { agent } => state(format!("agents[{agent}]"), "draining".to_owned()),
            Change::Undrain { agent } => state(format!("agents[{agent}]"), "in use".to_owned()),
            Change::RemoveUpstream { agent } => {
                state(format!("agents[{agent}]"), "removed".to_owned())
            }
            Change::RotateKey => state("keys".to_owned(), "rotated".to_owned()),
            Change::RemoveKey { phase } => state(format!("keys[{phase}]"), "removed".to_owned()),
        };
        let fields = fields
            .into_iter()
            .map(|(field, value)| (field.to_owned(), value));
        outline.objects.insert(object, fields.collect());
    }
    outline
}

fn zone_state(zone: &str, value: &str) -> (String, Vec<(&'static str, String)>) {
    state(format!("zones[{zone}]"), value.to_owned())
}

fn state(object: String, value: String) -> (String, Vec<(&'static str, String)>) {
    (object, vec![("state", value)])
}
