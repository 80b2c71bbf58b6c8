//! What a check found.

use std::fmt;

use serde::Serialize;

use crate::{Origin, Place};

/// How serious a finding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Severity {
    /// The configuration cannot be used as it is meant.
    Error,
    /// The configuration can be used, but a part of it has no effect or works against another one.
    Warning,
}

/// The rule that a configuration violates.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// The text is no document of its format.
    Syntax,
    /// A required key is missing.
    MissingKey,
    /// A key is not known.
    UnknownKey,
    /// A value has the wrong type or is out of range.
    InvalidValue,
    /// A service is named that does not exist.
    UnknownService,
    /// An address and port are used twice.
    AddressUsedTwice,
    /// A name is used twice.
    NameUsedTwice,
    /// The weights of a route's backends sum to zero.
    ZeroWeights,
    /// A change is refused by the rules of the configuration.
    RefusedChange,
    /// An entry never matches, because another one always does so first.
    Shadowed,
    /// No route leads to a service.
    UnusedService,
    /// A backend has weight 0.
    ZeroWeight,
    /// A latency objective is above the time limit.
    ObjectiveAboveLimit,
    /// A time limit is too short for any attempt.
    ShortTimeLimit,
    /// An idle timeout is above the time for which flows are kept.
    LongIdleTimeout,
    /// The version is lower than that of the configuration compared with.
    LowerVersion,
    /// The configuration compared with has the same version and other content.
    ReusedVersion,
}

impl Rule {
    /// How serious a violation is.
    pub fn severity(self) -> Severity {
        match self {
            Self::Syntax
            | Self::MissingKey
            | Self::UnknownKey
            | Self::InvalidValue
            | Self::UnknownService
            | Self::AddressUsedTwice
            | Self::NameUsedTwice
            | Self::ZeroWeights
            | Self::RefusedChange => Severity::Error,
            Self::Shadowed
            | Self::UnusedService
            | Self::ZeroWeight
            | Self::ObjectiveAboveLimit
            | Self::ShortTimeLimit
            | Self::LongIdleTimeout
            | Self::LowerVersion
            | Self::ReusedVersion => Severity::Warning,
        }
    }
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// The rule.
    pub rule: Rule,
    /// Where it was found; `None` if it concerns the whole text.
    #[serde(flatten)]
    pub place: Option<Place>,
    /// Path of the key; empty for the whole document.
    pub key: String,
    /// What is wrong, for a person to read.
    pub reason: String,
}

impl Finding {
    /// A violation of `rule` at `origin`.
    pub fn new(rule: Rule, origin: &Origin, reason: impl Into<String>) -> Self {
        Self {
            severity: rule.severity(),
            rule,
            place: Some(origin.place),
            key: origin.key.clone(),
            reason: reason.into(),
        }
    }

    /// A violation of `rule` by the whole text.
    pub fn whole(rule: Rule, reason: impl Into<String>) -> Self {
        Self {
            severity: rule.severity(),
            rule,
            place: None,
            key: String::new(),
            reason: reason.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(place) = self.place {
            write!(f, "{place}: ")?;
        }
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: ")?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        f.write_str(&self.reason)
    }
}
