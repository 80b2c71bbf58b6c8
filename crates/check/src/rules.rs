//! Rules for documents of routes, services and limits.

use std::{
    collections::{HashMap, HashSet, hash_map},
    time::Duration,
};

use crate::{
    Draft, Entry, Finding, Origin, Rule,
    draft::{Route, Service},
};

/// Shortest time limit that an attempt can meet.
pub const MIN_TIME_LIMIT: Duration = Duration::from_millis(50);

/// Time for which a flow is kept, unless the settings of a process state another one. An idle
/// timeout above it has no effect.
pub const FLOW_LIFETIME: Duration = Duration::from_secs(60);

/// Checks a draft. The findings are in the order of the document.
pub fn check(draft: &Draft) -> Vec<Finding> {
    let mut findings = Vec::new();
    let routes = draft.routes.as_deref().unwrap_or_default();
    let services = draft.services.as_deref().unwrap_or_default();
    check_names(routes.iter().map(|route| &route.name), &mut findings);
    check_names(services.iter().map(|service| &service.name), &mut findings);
    check_addresses(routes, &mut findings);
    let known = draft.services.as_deref().and_then(names);
    for route in routes {
        if let Some(known) = &known {
            check_references(route, known, &mut findings);
        }
        check_weights(route, &mut findings);
        check_times(route, &mut findings);
    }
    if let Some(used) = draft.routes.as_deref().and_then(used_services) {
        check_use(services, &used, &mut findings);
    }
    if let Some(idle) = &draft.idle_timeout
        && idle.value > FLOW_LIFETIME
    {
        let reason = format!(
            "{} ms is above {} ms, for which a flow is kept",
            idle.value.as_millis(),
            FLOW_LIFETIME.as_millis()
        );
        findings.push(Finding::new(Rule::LongIdleTimeout, &idle.origin, reason));
    }
    findings.sort_by_key(|finding| finding.place);
    findings
}

/// The names of all services; `None` if one of them could not be decoded.
fn names(services: &[Service]) -> Option<HashSet<&str>> {
    services
        .iter()
        .map(|service| service.name.as_ref().map(|name| name.value.as_str()))
        .collect()
}

/// The services that new flows go to; `None` if a backend could not be decoded.
fn used_services(routes: &[Route]) -> Option<HashSet<&str>> {
    let mut used = HashSet::new();
    for route in routes {
        for backend in route.backends.as_ref()? {
            let service = backend.service.as_ref()?;
            if backend.weight.as_ref()?.value > 0 {
                used.insert(service.value.as_str());
            }
        }
    }
    Some(used)
}

fn check_names<'a>(
    names: impl Iterator<Item = &'a Option<Entry<String>>>,
    findings: &mut Vec<Finding>,
) {
    let mut first_uses = HashMap::<_, &Origin>::new();
    for name in names.flatten() {
        match first_uses.entry(name.value.as_str()) {
            hash_map::Entry::Vacant(vacant) => {
                vacant.insert(&name.origin);
            }
            hash_map::Entry::Occupied(first) => {
                let reason = format!("{:?} is already used by {}", name.value, first.get().key);
                findings.push(Finding::new(Rule::NameUsedTwice, &name.origin, reason));
            }
        }
    }
}

/// Of routes with the same address and port, the last one is in force and shadows the others.
fn check_addresses(routes: &[Route], findings: &mut Vec<Finding>) {
    let mut last_uses = HashMap::new();
    for route in routes {
        let Some(address) = &route.address else {
            continue;
        };
        let Some(earlier) = last_uses.insert(address.value, &route.origin) else {
            continue;
        };
        let reason = format!("{} is already used by {}", address.value, earlier.key);
        findings.push(Finding::new(
            Rule::AddressUsedTwice,
            &address.origin,
            reason,
        ));
        let reason = format!(
            "is shadowed by {}, which has the same address and port",
            route.origin.key
        );
        findings.push(Finding::new(Rule::Shadowed, earlier, reason));
    }
}

fn check_references(route: &Route, known: &HashSet<&str>, findings: &mut Vec<Finding>) {
    for backend in route.backends.iter().flatten() {
        if let Some(service) = &backend.service
            && !known.contains(service.value.as_str())
        {
            let reason = format!("there is no service {:?}", service.value);
            findings.push(Finding::new(Rule::UnknownService, &service.origin, reason));
        }
    }
}

fn check_weights(route: &Route, findings: &mut Vec<Finding>) {
    let Some(backends) = &route.backends else {
        return;
    };
    let weights: Option<Vec<_>> = backends
        .iter()
        .map(|backend| backend.weight.as_ref())
        .collect();
    if weights.is_some_and(|weights| weights.iter().all(|weight| weight.value == 0)) {
        let reason = if backends.is_empty() {
            "leads to no service"
        } else {
            "the weights of its backends sum to zero"
        };
        findings.push(Finding::new(Rule::ZeroWeights, &route.origin, reason));
        return;
    }
    for weight in backends
        .iter()
        .filter_map(|backend| backend.weight.as_ref())
    {
        if weight.value == 0 {
            let reason = "is zero: no new flow goes to this backend";
            findings.push(Finding::new(Rule::ZeroWeight, &weight.origin, reason));
        }
    }
}

fn check_times(route: &Route, findings: &mut Vec<Finding>) {
    let Some(limit) = &route.time_limit else {
        return;
    };
    if limit.value < MIN_TIME_LIMIT {
        let reason = format!(
            "{} ms is below {} ms: no attempt can meet it",
            limit.value.as_millis(),
            MIN_TIME_LIMIT.as_millis()
        );
        findings.push(Finding::new(Rule::ShortTimeLimit, &limit.origin, reason));
    }
    if let Some(objective) = &route.objective
        && objective.value > limit.value
    {
        let reason = format!(
            "{} ms is above the time limit of {} ms",
            objective.value.as_millis(),
            limit.value.as_millis()
        );
        findings.push(Finding::new(
            Rule::ObjectiveAboveLimit,
            &objective.origin,
            reason,
        ));
    }
}

fn check_use(services: &[Service], used: &HashSet<&str>, findings: &mut Vec<Finding>) {
    for name in services.iter().filter_map(|service| service.name.as_ref()) {
        if !used.contains(name.value.as_str()) {
            let reason = format!("no route leads to service {:?}", name.value);
            findings.push(Finding::new(Rule::UnusedService, &name.origin, reason));
        }
    }
}
