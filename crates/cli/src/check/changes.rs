//! Reads a list of changes for a check: all that can be decoded, with places, and all that cannot.
//!
//! The decoder of changes stops at the first error. To find the others, an invalid change is decoded
//! with one member after the other, leaving out those that have an error. Members that are required are
//! listed in the schema of changes.

use std::fmt;

use sassafrasmast_check::{Entry, Finding, Lines, Origin, Place, Rule};
use sassafrasmast_core::config::Change;
use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, Visitor},
};
use serde_json::{Value, value::RawValue};

/// Member that tells the kind of a change.
const TAG: &str = "change";

/// A list of changes as it was read.
#[derive(Debug, Default)]
pub(super) struct Reading {
    /// The changes that could be decoded.
    pub(super) changes: Vec<Entry<Change>>,
    /// What could not.
    pub(super) findings: Vec<Finding>,
}

/// Reads the text of a list of changes.
pub(super) fn read(text: &str) -> Reading {
    let lines = Lines::new(text);
    let mut reading = Reading::default();
    let elements: Vec<&RawValue> = match serde_json::from_str(text) {
        Ok(elements) => elements,
        Err(error) => {
            let origin = Origin {
                key: String::new(),
                place: Place {
                    line: error.line().max(1),
                    column: error.column().max(1),
                },
            };
            let finding = Finding::new(Rule::Syntax, &origin, message(&error));
            reading.findings.push(finding);
            return reading;
        }
    };
    let schema = serde_json::to_value(schemars::schema_for!(Change)).unwrap_or_default();
    for (index, element) in elements.into_iter().enumerate() {
        let origin = Origin {
            key: format!("[{index}]"),
            place: lines.place(element.get()),
        };
        match serde_json::from_str(element.get()) {
            Ok(value) => reading.changes.push(Entry { value, origin }),
            Err(error) => {
                let mut probe = Probe {
                    lines: &lines,
                    schema: &schema,
                    findings: Vec::new(),
                };
                probe.change(&origin, element, &error);
                reading.findings.append(&mut probe.findings);
            }
        }
    }
    reading
}

/// The error without its place, which is relative to the part of the list that was decoded.
fn message(error: &serde_json::Error) -> String {
    let text = error.to_string();
    let place = format!(" at line {} column {}", error.line(), error.column());
    text.strip_suffix(&place).unwrap_or(&text).to_owned()
}

/// Finds all errors in a change.
struct Probe<'a> {
    lines: &'a Lines<'a>,
    /// Schema of a change.
    schema: &'a Value,
    findings: Vec<Finding>,
}

impl<'a> Probe<'a> {
    fn change(&mut self, origin: &Origin, element: &'a RawValue, error: &serde_json::Error) {
        let Ok(Members(mut members)) = serde_json::from_str(element.get()) else {
            self.add(Rule::InvalidValue, origin, "a change is a JSON object");
            return;
        };
        // The other members can be decoded only when the kind is known.
        members.sort_by_key(|(name, _)| name != TAG);
        let Some((_, tag)) = members.first().filter(|(name, _)| name == TAG) else {
            self.add(Rule::MissingKey, &at(origin, TAG), "is missing");
            return;
        };
        let kind: Value = serde_json::from_str(tag.get()).unwrap_or_default();
        let variants = self.schema["oneOf"].as_array().into_iter().flatten();
        let is_kind = |variant: &&Value| variant["properties"][TAG]["enum"][0] == kind;
        if let Some(variant) = variants.into_iter().find(is_kind) {
            self.object(origin, variant, members, &|change| change);
        } else {
            let origin = self.origin(origin, TAG, tag);
            self.add(Rule::InvalidValue, &origin, &message(error));
        }
    }

    /// Finds all errors in an object. `wrap` makes a change of the object's text. Returns whether
    /// the object is valid.
    fn object(
        &mut self,
        origin: &Origin,
        schema: &'a Value,
        members: Vec<(String, &'a RawValue)>,
        wrap: &dyn Fn(String) -> String,
    ) -> bool {
        let before = self.findings.len();
        for required in schema["required"].as_array().into_iter().flatten() {
            let required = required.as_str().unwrap_or_default();
            if !members.iter().any(|(name, _)| name == required) {
                self.add(Rule::MissingKey, &at(origin, required), "is missing");
            }
        }
        let mut valid = Vec::new();
        for (name, value) in members {
            let with = |value: &str| wrap(object_text(&valid, &name, value));
            let own = self.origin(origin, &name, value);
            let is_valid = match (
                self.nested(schema, &name),
                serde_json::from_str(value.get()),
            ) {
                (Some(nested), Ok(Members(inner))) => {
                    self.object(&own, nested, inner, &|inner| with(&inner))
                }
                _ => self.member(&own, &with(value.get())),
            };
            if is_valid {
                valid.push((name, value));
            }
        }
        self.findings.len() == before
    }

    /// Decodes a change that may lack members after the one at `origin`.
    fn member(&mut self, origin: &Origin, change: &str) -> bool {
        let Err(error) = serde_json::from_str::<Change>(change) else {
            return true;
        };
        let reason = message(&error);
        if reason.starts_with("missing field") {
            return true;
        }
        let rule = if reason.starts_with("unknown field") {
            Rule::UnknownKey
        } else {
            Rule::InvalidValue
        };
        self.add(rule, origin, &reason);
        false
    }

    /// The schema of a member that is an object.
    fn nested(&self, schema: &'a Value, member: &str) -> Option<&'a Value> {
        let property = &schema["properties"][member];
        let reference = property["$ref"]
            .as_str()
            .or_else(|| property["allOf"][0]["$ref"].as_str())?;
        self.schema.pointer(reference.strip_prefix('#')?)
    }

    fn origin(&self, parent: &Origin, name: &str, value: &RawValue) -> Origin {
        Origin {
            place: self.lines.place(value.get()),
            ..at(parent, name)
        }
    }

    fn add(&mut self, rule: Rule, origin: &Origin, reason: &str) {
        self.findings.push(Finding::new(rule, origin, reason));
    }
}

fn at(parent: &Origin, name: &str) -> Origin {
    Origin {
        key: format!("{}.{name}", parent.key),
        place: parent.place,
    }
}

/// Text of an object with valid members and one more.
fn object_text(valid: &[(String, &RawValue)], name: &str, value: &str) -> String {
    let valid = valid
        .iter()
        .map(|(name, value)| (name.as_str(), value.get()));
    let members = valid.chain([(name, value)]);
    let members = members.map(|(name, value)| format!("{}:{value}", Value::from(name)));
    format!("{{{}}}", members.collect::<Vec<_>>().join(","))
}

/// Members of an object in their order.
struct Members<'a>(Vec<(String, &'a RawValue)>);

impl<'a, 'de: 'a> Deserialize<'de> for Members<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Collect;
        impl<'de> Visitor<'de> for Collect {
            type Value = Vec<(String, &'de RawValue)>;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
                let mut members = Vec::new();
                while let Some(member) = map.next_entry()? {
                    members.push(member);
                }
                Ok(members)
            }
        }
        deserializer.deserialize_map(Collect).map(Members)
    }
}
