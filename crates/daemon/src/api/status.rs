//! The state of the fleet as known to this balancer.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use sassafrasmast_core::config::Document;
use sassafrasmast_wire::State;

use super::{
    Announced, Context, Health, Overview, Process, Role, ServiceStatus, Status, UpstreamStatus,
};

impl From<&Document> for Overview {
    fn from(document: &Document) -> Self {
        Self {
            version: document.version,
            zones: document.zones.clone(),
            services: document.services.clone(),
            upstreams: document.upstreams.clone(),
            keys: document.secrets.phases.keys().copied().collect(),
            sealing: document.secrets.sealing,
        }
    }
}

impl From<State> for Health {
    fn from(state: State) -> Self {
        match state {
            State::Cold => Self::Cold,
            State::Ready => Self::Ready,
            State::Draining => Self::Draining,
            State::Out => Self::Out,
        }
    }
}

impl Status {
    /// The status at `now`, without announcements that have expired.
    pub(super) fn new(context: &Context, now: Instant) -> Self {
        let blackboard = context.blackboard();
        let config = blackboard.config();
        let document = config.as_ref().map(|config| &config.document);
        Self {
            balancer: context.installer.recorder().process().to_owned(),
            version: blackboard.version(),
            zones: document.map(|d| d.zones.clone()).unwrap_or_default(),
            services: document.map(services).unwrap_or_default(),
            upstreams: document.map(|d| upstreams(context, d)).unwrap_or_default(),
            announced: announced(context, document, now),
            balancers: blackboard.balancers().to_vec(),
        }
    }
}

fn services(document: &Document) -> Vec<ServiceStatus> {
    let mut counts = BTreeMap::<_, (usize, usize)>::new();
    for (&agent, upstream) in &document.upstreams {
        let (open, all) = counts.entry(upstream.service).or_default();
        *open += usize::from(!upstream.draining && document.is_routable(agent));
        *all += 1;
    }
    let status = document.services.iter().map(|(&id, service)| {
        let (open, upstreams) = counts.get(&id).copied().unwrap_or_default();
        ServiceStatus {
            id,
            service: service.clone(),
            open,
            upstreams,
        }
    });
    status.collect()
}

fn upstreams(context: &Context, document: &Document) -> Vec<UpstreamStatus> {
    let status = document.upstreams.iter().map(|(&agent, upstream)| {
        let report = context.loads.load(agent);
        let load = report.map(|(_, load, _)| load).unwrap_or_default();
        let service = document.services.get(&upstream.service);
        UpstreamStatus {
            agent,
            upstream: upstream.clone(),
            service: service.map(|s| s.name.clone()).unwrap_or_default(),
            health: report.map_or(Health::Unknown, |(_, load, _)| load.state.into()),
            incarnation: report.map(|(incarnation, _, _)| incarnation),
            running: load.running,
            queued: load.queued,
            limit: load.limit,
            flows: load.flows,
            age_ms: report.map(|(_, _, age)| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        }
    });
    status.collect()
}

fn announced(context: &Context, document: Option<&Document>, now: Instant) -> Vec<Announced> {
    let admitted: BTreeSet<_> = document
        .iter()
        .flat_map(|document| document.upstreams.values().map(|u| u.agent))
        .collect();
    let waiting = context.blackboard().announcements(now).into_iter();
    let waiting = waiting.filter(|announcement| !admitted.contains(&announcement.agent));
    waiting
        .map(|announcement| Announced {
            service: announcement.service,
            zone: announcement.zone,
            agent: announcement.agent,
            upstream: announcement.upstream,
            slots: announcement.slots,
            connections: announcement.connections,
        })
        .collect()
}

/// All processes that this balancer knows, itself included.
pub(super) fn processes(context: &Context) -> Vec<Process> {
    let balancers = context.blackboard().balancers();
    let config = context.blackboard().config();
    let agents = config
        .iter()
        .flat_map(|config| config.document.upstreams.values().map(|u| u.agent));
    let process = |role| move |address| Process { address, role };
    balancers
        .iter()
        .map(|balancer| balancer.listen)
        .map(process(Role::Balancer))
        .chain(agents.map(process(Role::Agent)))
        .collect()
}
