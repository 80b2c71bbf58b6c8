//! Plans: changes and their effects, computed before anything is changed.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use sassafrasmast_wire::{ConfigVersion, ServiceId, keys::SECRET_BYTES};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Change, Digest, Document, Effect, Error, digest};

/// Largest number of changes in one plan.
pub const MAX_CHANGES: usize = 256;

/// Leading characters of the digest that form a plan's id.
const ID_CHARS: usize = 12;

/// Placeholder for the new key while planning; it is never stored or sent.
const PLACEHOLDER_KEY: [u8; SECRET_BYTES] = [0; SECRET_BYTES];

/// A list of changes to one version of the configuration, with its effects. A plan is a pure
/// function of the document and the changes, so any balancer can check and confirm it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Short id of the plan: the first characters of its digest.
    pub id: String,
    /// Version of the document that the changes apply to.
    pub base: ConfigVersion,
    /// Digest over the base document and the changes.
    pub digest: Digest,
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Effects of the changes.
    pub effects: Vec<Effect>,
}

impl Plan {
    /// Plans `changes` on `document`.
    ///
    /// # Errors
    ///
    /// The first rule of the configuration that the changes violate.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use sassafrasmast_core::config::{Change, Document, Plan, Secrets};
    /// let secrets = Secrets {
    ///     sealing: 0, phases: BTreeMap::from([(0, [1; 32])]), reset: [2; 32],
    /// };
    /// let first = Document::first(secrets);
    /// let changes = vec![Change::AddZone { zone: "antigua".to_owned() }];
    /// let plan = Plan::new(&first, changes).unwrap();
    /// assert_eq!(plan.base, 1);
    /// assert_eq!(plan.effects[0].to_string(), "zone antigua is added");
    /// ```
    pub fn new(document: &Document, changes: Vec<Change>) -> Result<Self, Error> {
        if changes.is_empty() {
            return Err(Error::Empty);
        }
        if changes.len() > MAX_CHANGES {
            return Err(Error::TooMany {
                count: changes.len(),
                limit: MAX_CHANGES,
            });
        }
        let after = document.apply(&changes, &PLACEHOLDER_KEY)?;
        let mut intermediate = document.clone();
        let mut effects = Vec::new();
        for change in &changes {
            effects.extend(describe(&intermediate, change));
            intermediate.apply_change(change, &PLACEHOLDER_KEY)?;
        }
        effects.extend(capacity_effects(document, &after));
        let digest = digest::of(&(document.version, document.digest(), &changes));
        Ok(Self {
            id: digest.chars().take(ID_CHARS).collect(),
            base: document.version,
            digest,
            changes,
            effects,
        })
    }

    /// Effects that operators should check before they confirm.
    pub fn warnings(&self) -> impl Iterator<Item = &Effect> {
        self.effects.iter().filter(|effect| effect.is_warning())
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "plan {} on version {}", self.id, self.base)?;
        for effect in &self.effects {
            let mark = if effect.is_warning() { "warning: " } else { "" };
            writeln!(f, "  {mark}{effect}")?;
        }
        write!(f, "nothing changes until this plan is confirmed")
    }
}

/// Effects of one change on the document that it applies to.
fn describe(document: &Document, change: &Change) -> Vec<Effect> {
    let upstreams_in = |zone: &str| {
        document
            .upstreams
            .values()
            .filter(|u| u.zone == zone)
            .count()
    };
    let upstream = |agent| document.upstreams.get(agent);
    let effect = match change.clone() {
        Change::AddZone { zone } => Some(Effect::ZoneAdded { zone }),
        Change::ZoneOut { zone } => Some(Effect::ZoneOut {
            upstreams: upstreams_in(&zone),
            zone,
        }),
        Change::ZoneIn { zone } => Some(Effect::ZoneIn {
            upstreams: upstreams_in(&zone),
            zone,
        }),
        Change::RemoveZone { zone } => Some(Effect::ZoneRemoved { zone }),
        Change::CreateService { service } => Some(Effect::ServiceCreated {
            service: service.name,
            address: service.address,
        }),
        Change::SetService { service } => return describe_set_service(document, &service),
        Change::RemoveService { service } => Some(Effect::ServiceRemoved { service }),
        Change::Admit {
            service,
            zone,
            upstream,
            ..
        } => Some(Effect::Admitted {
            agent: document.next_agent,
            upstream,
            service,
            zone,
        }),
        Change::Drain { agent } => upstream(&agent).map(|u| Effect::Draining {
            agent,
            upstream: u.upstream,
        }),
        Change::Undrain { agent } => upstream(&agent).map(|u| Effect::Undrained {
            agent,
            upstream: u.upstream,
        }),
        Change::RemoveUpstream { agent } => upstream(&agent).map(|u| Effect::Removed {
            agent,
            upstream: u.upstream,
            drained: u.draining,
        }),
        Change::RotateKey => Some(match document.secrets.pending_phase() {
            Some(phase) => Effect::KeySeals { phase },
            None => Effect::KeyAdded {
                phase: document.secrets.next_phase(),
            },
        }),
        Change::RemoveKey { phase } => Some(Effect::KeyRemoved { phase }),
    };
    effect.into_iter().collect()
}

fn describe_set_service(document: &Document, service: &super::Service) -> Vec<Effect> {
    let name = service.name.clone();
    let mut effects = vec![Effect::ServiceSet {
        service: name.clone(),
    }];
    let before = document.services.values().find(|s| s.name == name);
    if let Some(before) = before.filter(|before| before.address != service.address) {
        effects.push(Effect::ServiceMoved {
            service: name,
            from: before.address,
            to: service.address,
        });
    }
    effects
}

/// Capacity changes of services, and warnings about services with little or no capacity left.
fn capacity_effects(before: &Document, after: &Document) -> Vec<Effect> {
    let (before_capacities, after_capacities) = (Capacity::of(before), Capacity::of(after));
    let none = Capacity::default();
    let mut effects = Vec::new();
    for (id, service) in &after.services {
        let old = before_capacities.get(id).unwrap_or(&none);
        let new = after_capacities.get(id).unwrap_or(&none);
        if old == new {
            continue;
        }
        let service = &service.name;
        effects.push(Effect::Capacity {
            service: service.clone(),
            before: old.slots,
            after: new.slots,
            upstreams: new.upstreams,
        });
        effects.extend(new.warning(service, old));
    }
    effects
}

/// Capacity of one service for new work: upstreams that are routable and not draining.
#[derive(Debug, Default, PartialEq, Eq)]
struct Capacity {
    slots: u32,
    upstreams: usize,
    zones: BTreeSet<String>,
}

impl Capacity {
    /// The capacity of each service that has any.
    fn of(document: &Document) -> BTreeMap<ServiceId, Self> {
        let mut capacities = BTreeMap::<_, Self>::new();
        for (&agent, upstream) in &document.upstreams {
            if !upstream.draining && document.is_routable(agent) {
                let capacity = capacities.entry(upstream.service).or_default();
                capacity.slots += u32::from(upstream.slots);
                capacity.upstreams += 1;
                capacity.zones.insert(upstream.zone.clone());
            }
        }
        capacities
    }

    fn warning(&self, service: &str, before: &Self) -> Option<Effect> {
        let service = service.to_owned();
        if self.upstreams == 0 {
            return Some(Effect::ServiceEmpty { service });
        }
        let last = self.zones.first().filter(|_| self.zones.len() == 1);
        last.filter(|_| before.zones.len() > 1)
            .map(|zone| Effect::LastZone {
                service,
                zone: zone.clone(),
            })
    }
}
