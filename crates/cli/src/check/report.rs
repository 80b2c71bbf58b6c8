//! Results of checking one file.

use std::fmt::Write;

use sassafrasmast_check::{Difference, Finding, Rule, Severity};
use sassafrasmast_core::config::Plan;
use sassafrasmastd::api;
use serde::Serialize;

use crate::{client, exit::Exit};

/// Result of checking one file.
#[derive(Debug, Serialize)]
pub struct Report {
    /// The file.
    pub file: String,
    /// What the file holds.
    pub kind: String,
    /// Errors and warnings, in the order of the file.
    pub findings: Vec<Finding>,
    /// Name of the configuration that the file was compared with.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub against: Option<String>,
    /// What differs from that configuration.
    pub differences: Vec<Difference>,
    /// Plan of a list of changes on the configuration in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub plan: Option<Plan>,
    /// Why the configuration in force could not be fetched.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unreachable: Option<String>,
    /// Whether the file holds settings, whose errors name the file themselves.
    #[serde(skip)]
    is_settings: bool,
}

impl Report {
    /// An empty report.
    pub(super) fn new(file: String, kind: impl Into<String>) -> Self {
        Self {
            file,
            kind: kind.into(),
            findings: Vec::new(),
            against: None,
            differences: Vec::new(),
            plan: None,
            unreachable: None,
            is_settings: false,
        }
    }

    /// The report of a file of settings or of `deploy/`, which cannot be compared.
    pub(super) fn of_settings(
        file: String,
        checked: anyhow::Result<String>,
        compare: bool,
    ) -> Self {
        let mut report = Self::new(file, "settings");
        report.is_settings = true;
        match checked {
            Ok(valid) => {
                let kind = valid.strip_suffix(" is valid");
                report.kind = kind.map_or(report.kind, str::to_owned);
                if compare {
                    let reason = format!("{}: settings are not compared", report.file);
                    report.findings = vec![Finding::whole(Rule::InvalidValue, reason)];
                }
            }
            Err(error) => {
                let reason = format!("{error:#}");
                report.findings = vec![Finding::whole(Rule::InvalidValue, reason)];
            }
        }
        report
    }

    /// Adds the error of a comparison.
    pub(super) fn add_failure(&mut self, error: anyhow::Error) {
        let reason = format!("{error:#}");
        match error.downcast::<client::Error>() {
            Ok(client::Error::Api(api::Error::Refused { .. })) => {
                let refused = Finding::whole(Rule::RefusedChange, reason);
                self.findings.push(refused);
            }
            Ok(_) => self.unreachable = Some(reason),
            Err(_) => self
                .findings
                .push(Finding::whole(Rule::InvalidValue, reason)),
        }
    }

    /// Whether there are errors.
    pub(super) fn has_errors(&self) -> bool {
        self.count(Severity::Error) > 0
    }

    /// How the check ends. With `strict`, warnings count as a failure.
    pub fn exit(&self, strict: bool) -> Exit {
        if self.has_errors() {
            Exit::Usage
        } else if self.unreachable.is_some() {
            Exit::Unreachable
        } else if strict && self.count(Severity::Warning) > 0 {
            Exit::Failed
        } else {
            Exit::Done
        }
    }

    fn count(&self, severity: Severity) -> usize {
        let findings = self.findings.iter();
        findings.filter(|found| found.severity == severity).count()
    }

    /// Errors and warnings as text, one on each line.
    pub fn problems(&self) -> String {
        let mut text = String::new();
        for finding in &self.findings {
            if self.is_settings {
                text += &format!("{}\n", finding.reason);
            } else if finding.place.is_some() {
                text += &format!("{}:{finding}\n", self.file);
            } else {
                text += &format!("{}: {finding}\n", self.file);
            }
        }
        if let Some(reason) = &self.unreachable {
            text += &format!("{}: not compared: {reason}\n", self.file);
        }
        text
    }

    /// The verdict and the differences as text.
    pub fn result(&self) -> String {
        let mut text = self.verdict();
        if let Some(against) = &self.against {
            let count = self.differences.len();
            let _ = writeln!(text, "{}: differences from {against}: {count}", self.file);
        }
        for difference in &self.differences {
            let _ = writeln!(text, "  {difference}");
        }
        if let Some(plan) = &self.plan {
            let _ = writeln!(text, "{plan}");
        }
        text
    }

    fn verdict(&self) -> String {
        let Self { file, kind, .. } = self;
        let (errors, warnings) = (self.count(Severity::Error), self.count(Severity::Warning));
        match (errors, warnings) {
            (0, 0) if self.is_settings && kind == "settings" => {
                format!("{file}: settings are valid\n")
            }
            (0, 0) => format!("{file}: {kind} is valid\n"),
            // The error was printed, as for all files of this kind.
            _ if self.is_settings => String::new(),
            (0, _) => format!("{file}: {kind} is valid, warnings: {warnings}\n"),
            _ => format!("{file}: {kind} is invalid, errors: {errors}, warnings: {warnings}\n"),
        }
    }
}
