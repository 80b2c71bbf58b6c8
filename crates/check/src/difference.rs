//! Differences between two configurations, and what becomes of open flows.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    time::Duration,
};

use sassafrasmast_core::flow::intent::{Kind, Policy, Route, Service};
use serde::Serialize;

use crate::{Entry, Finding, Rule};

/// Key of the idle timeout.
const IDLE_TIMEOUT: &str = "idle_timeout";

/// A configuration as texts: values by the name of an object and the key within it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Outline {
    /// Keys and values by object.
    pub objects: BTreeMap<String, BTreeMap<String, String>>,
}

/// What becomes of open flows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Flows {
    /// They are not concerned.
    Unaffected,
    /// They stay with their upstreams. New flows follow the change.
    Kept,
    /// They stay with their upstreams. New flows are reset.
    NewReset,
    /// Those that are idle for longer than the new value may be removed.
    IdleRemoved,
    /// They end.
    Ended,
}

impl fmt::Display for Flows {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unaffected => "open flows are not affected",
            Self::Kept => "open flows stay with their upstreams, new flows follow the change",
            Self::NewReset => "open flows stay with their upstreams, new flows are reset",
            Self::IdleRemoved => "open flows that are idle for longer may be removed",
            Self::Ended => "open flows end",
        })
    }
}

/// A key whose value differs. `old` is `None` if the key was added, `new` if it was removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Path of the key.
    pub key: String,
    /// Value before.
    pub old: Option<String>,
    /// Value after.
    pub new: Option<String>,
    /// What becomes of open flows.
    pub flows: Flows,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, flows, .. } = self;
        match (&self.old, &self.new) {
            (None, Some(new)) => write!(f, "added   {key}: {new}; {flows}"),
            (Some(old), None) => write!(f, "removed {key}: {old}; {flows}"),
            (old, new) => {
                let text = |value: &Option<String>| value.clone().unwrap_or_default();
                write!(f, "changed {key}: {} -> {}; {flows}", text(old), text(new))
            }
        }
    }
}

/// What differs between two policies. The version is not compared, see [`check_version`].
pub fn between_policies(old: &Policy, new: &Policy) -> Vec<Difference> {
    let mut differences = between(&outline(old, new), &outline(new, old));
    for difference in &mut differences {
        if difference.key == IDLE_TIMEOUT && new.idle_timeout < old.idle_timeout {
            difference.flows = Flows::IdleRemoved;
        }
    }
    differences
}

/// What differs between two outlines, by key. An object that only one of them has is one difference.
pub fn between(old: &Outline, new: &Outline) -> Vec<Difference> {
    let objects: BTreeSet<_> = old.objects.keys().chain(new.objects.keys()).collect();
    let mut differences = Vec::new();
    for object in objects {
        match (old.objects.get(object), new.objects.get(object)) {
            (Some(old), Some(new)) => compare_fields(object, old, new, &mut differences),
            (old, new) => differences.push(Difference {
                key: object.clone(),
                old: old.map(summary),
                new: new.map(summary),
                flows: match (old, new) {
                    (_, None) if object.starts_with("routes[") => Flows::NewReset,
                    (None, Some(new)) if is_end(new) => Flows::Ended,
                    _ => Flows::Unaffected,
                },
            }),
        }
    }
    differences
}

fn compare_fields(
    object: &str,
    old: &BTreeMap<String, String>,
    new: &BTreeMap<String, String>,
    differences: &mut Vec<Difference>,
) {
    let fields: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for field in fields {
        let (before, after) = (old.get(field), new.get(field));
        if before != after {
            let key = if field.is_empty() {
                object.to_owned()
            } else {
                format!("{object}.{field}")
            };
            differences.push(Difference {
                key,
                old: before.cloned(),
                new: after.cloned(),
                flows: if is_end(new) || field == "address" {
                    Flows::Ended
                } else {
                    Flows::Kept
                },
            });
        }
    }
}

/// Whether open flows end when an object gets these fields. Flows also end when the address of a
/// service changes.
fn is_end(fields: &BTreeMap<String, String>) -> bool {
    let state = fields.get("state").map(String::as_str);
    matches!(state, Some("out" | "removed"))
}

fn summary(fields: &BTreeMap<String, String>) -> String {
    let fields = fields.iter().map(|(field, value)| {
        if field.is_empty() {
            value.clone()
        } else {
            format!("{field} {value}")
        }
    });
    fields.collect::<Vec<_>>().join(", ")
}

/// The policy without its version and what `other` has alike: texts of all routes would take longer
/// than decoding them.
fn outline(policy: &Policy, other: &Policy) -> Outline {
    let routes = policy.routes.iter();
    let routes = routes.filter(|&(address, route)| other.routes.get(address) != Some(route));
    let routes = routes.map(|(address, route)| (format!("routes[{address}]"), route_fields(route)));
    let services = policy.services.iter();
    let services = services.filter(|&(name, service)| other.services.get(name) != Some(service));
    let services =
        services.map(|(name, service)| (format!("services[{name}]"), service_fields(service)));
    let idle = BTreeMap::from([(String::new(), millis(policy.idle_timeout))]);
    let idle = std::iter::once((IDLE_TIMEOUT.to_owned(), idle));
    Outline {
        objects: routes.chain(services).chain(idle).collect(),
    }
}

fn route_fields(route: &Route) -> BTreeMap<String, String> {
    let kind = match route.kind {
        Kind::Safe => "safe",
        Kind::Once => "at most once",
    };
    let limit = |limit: Option<Duration>| limit.map_or_else(|| "none".to_owned(), millis);
    let mut fields = BTreeMap::from([
        ("kind".to_owned(), kind.to_owned()),
        ("time_limit".to_owned(), limit(route.timeout)),
        (
            "latency_objective".to_owned(),
            limit(route.latency_objective),
        ),
        ("priority".to_owned(), route.priority.to_string()),
    ]);
    let total: u64 = route.backends.iter().map(|b| u64::from(b.weight)).sum();
    for backend in &route.backends {
        let share = format!("{} of {total}", backend.weight);
        fields.insert(format!("backends[{}].weight", backend.service), share);
    }
    fields
}

fn service_fields(service: &Service) -> BTreeMap<String, String> {
    BTreeMap::from([
        ("cold_rate".to_owned(), format!("{}/s", service.cold_rate)),
        ("cold_for".to_owned(), millis(service.cold_for)),
    ])
}

fn millis(duration: Duration) -> String {
    format!("{} ms", duration.as_millis())
}

/// Checks the version of a document against the policy that it was compared with.
pub fn check_version(
    version: &Entry<u64>,
    other: &Policy,
    differences: &[Difference],
) -> Option<Finding> {
    let (rule, reason) = if version.value < other.version {
        let reason = format!(
            "{} is lower than {}: processes that have the higher one ignore the document",
            version.value, other.version
        );
        (Rule::LowerVersion, reason)
    } else if version.value == other.version && !differences.is_empty() {
        let reason = format!(
            "{} is the version of other content: processes may go on with that",
            version.value
        );
        (Rule::ReusedVersion, reason)
    } else {
        return None;
    };
    Some(Finding::new(rule, &version.origin, reason))
}
