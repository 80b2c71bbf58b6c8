//! What an intent will change, before anything is changed.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

use sassafrasmast_wire::{ConfigVersion, ServiceId, keys::SECRET_BYTES};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{Change, Digest, Document, Effect, Error, digest};

/// Most changes in one plan.
pub const MAX_CHANGES: usize = 256;

/// Characters of the digest that make up a plan's id.
const ID_CHARS: usize = 12;

/// Stands for the new key while nothing is confirmed; it goes nowhere.
const NO_KEY: [u8; SECRET_BYTES] = [0; SECRET_BYTES];

/// A list of changes to one version of the configuration, with its effects. A plan is a pure
/// function of the document and the changes, so any balancer can check and confirm it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Short name of the plan, from its digest.
    pub id: String,
    /// Version that the changes were planned for.
    pub base: ConfigVersion,
    /// Digest over the base document and the changes.
    pub digest: Digest,
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// What the changes will do.
    pub effects: Vec<Effect>,
}

impl Plan {
    /// Plans `changes` on `document`.
    ///
    /// # Errors
    ///
    /// The first rule of the configuration that the changes break.
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
        let after = document.apply(&changes, &NO_KEY)?;
        let mut step = document.clone();
        let mut effects = Vec::new();
        for change in &changes {
            effects.extend(describe(&step, change));
            step.apply_one(change, &NO_KEY)?;
        }
        effects.extend(capacity(document, &after));
        let digest = digest::of(&(document.version, document.digest(), &changes));
        Ok(Self {
            id: digest.chars().take(ID_CHARS).collect(),
            base: document.version,
            digest,
            changes,
            effects,
        })
    }

    /// Effects that operators should think about before they confirm.
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
        write!(f, "nothing is in force before this plan is confirmed")
    }
}

/// What one change does to the document before it.
fn describe(document: &Document, change: &Change) -> Vec<Effect> {
    let in_zone = |zone: &str| {
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
            upstreams: in_zone(&zone),
            zone,
        }),
        Change::ZoneIn { zone } => Some(Effect::ZoneIn {
            upstreams: in_zone(&zone),
            zone,
        }),
        Change::RemoveZone { zone } => Some(Effect::ZoneRemoved { zone }),
        Change::CreateService { service } => Some(Effect::ServiceCreated {
            service: service.name,
            address: service.address,
        }),
        Change::SetService { service } => return describe_set(document, &service),
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
        Change::RotateKey => Some(match document.secrets.prepared() {
            Some(phase) => Effect::KeySeals { phase },
            None => Effect::KeyAdded {
                phase: document.secrets.next_phase(),
            },
        }),
        Change::RemoveKey { phase } => Some(Effect::KeyRemoved { phase }),
    };
    effect.into_iter().collect()
}

fn describe_set(document: &Document, service: &super::Service) -> Vec<Effect> {
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

/// How the capacity of each service changes, and what is hardly left.
fn capacity(before: &Document, after: &Document) -> Vec<Effect> {
    let (before, rooms) = (Room::of(before), Room::of(after));
    let none = Room::default();
    let mut effects = Vec::new();
    for (id, service) in &after.services {
        let old = before.get(id).unwrap_or(&none);
        let new = rooms.get(id).unwrap_or(&none);
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

/// What takes new work of one service.
#[derive(Debug, Default, PartialEq, Eq)]
struct Room {
    slots: u32,
    upstreams: usize,
    zones: BTreeSet<String>,
}

impl Room {
    /// The room of each service that has any.
    fn of(document: &Document) -> BTreeMap<ServiceId, Self> {
        let mut rooms = BTreeMap::<_, Self>::new();
        for (&agent, upstream) in &document.upstreams {
            if !upstream.draining && document.admits(agent) {
                let room = rooms.entry(upstream.service).or_default();
                room.slots += u32::from(upstream.slots);
                room.upstreams += 1;
                room.zones.insert(upstream.zone.clone());
            }
        }
        rooms
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
