//! Checks files before they are used: settings of the daemon and of the users' platform, the files in
//! `deploy/`, documents of routes, services and limits, and lists of changes.

mod against;
mod changes;
mod report;

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
};

use anyhow::Context;
use sassafrasmast_check::rules;
use sassafrasmast_platform::{deploy, operator};
use sassafrasmastd::options::Settings;

pub use self::report::Report;
use crate::exit::Exit;

/// Which files to check and how.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Request {
    /// The files.
    pub files: Vec<PathBuf>,
    /// What to compare a document or list of changes with.
    pub against: Option<Against>,
    /// Whether to print JSON.
    pub json: bool,
    /// Whether warnings count as a failure.
    pub strict: bool,
}

/// What to compare a document or list of changes with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Against {
    /// Another file of the same format.
    File(PathBuf),
    /// The configuration in force.
    InForce {
        /// Metrics addresses of flow-forwarding processes, tried in order; for documents.
        processes: Vec<SocketAddr>,
        /// Addresses of balancers' APIs, tried in order; for lists of changes.
        api: Vec<SocketAddr>,
    },
}

/// Formats that are checked by [`sassafrasmast_check`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Format {
    /// A document of routes, services and limits.
    Document,
    /// A list of changes.
    Changes,
}

impl Format {
    /// Detects the format; `None` for settings and deploy files, which are TOML. A TOML file may
    /// begin with a bracket, too, which a name follows.
    fn detect(text: &str) -> Option<Self> {
        let text = text.trim_start();
        if text.starts_with('{') {
            return Some(Self::Document);
        }
        let list = text.strip_prefix('[')?.trim_start();
        list.starts_with(['{', ']']).then_some(Self::Changes)
    }
}

/// Checks each file and prints the results: valid files and differences on standard output, errors
/// and warnings on standard error. JSON is printed on standard output.
///
/// # Errors
///
/// When a report cannot be encoded.
pub async fn run(request: &Request) -> anyhow::Result<Exit> {
    let mut exit = Exit::Done;
    for file in &request.files {
        let report = report(file, request.against.as_ref()).await;
        if request.json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            eprint!("{}", report.problems());
            print!("{}", report.result());
        }
        exit = worse(exit, report.exit(request.strict));
    }
    Ok(exit)
}

/// The exit of two checks together: errors in files first, then a configuration in force that could
/// not be fetched, then warnings.
fn worse(first: Exit, second: Exit) -> Exit {
    [Exit::Usage, Exit::Unreachable, Exit::Failed]
        .into_iter()
        .find(|&exit| exit == first || exit == second)
        .unwrap_or(Exit::Done)
}

/// Checks a file of any kind and compares it with `against`.
pub async fn report(file: &Path, against: Option<&Against>) -> Report {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let mut report = match Format::detect(&text) {
        None => return Report::of_settings(name, check(file), against.is_some()),
        Some(Format::Document) => {
            let mut report = Report::new(name, "document of routes, services and limits");
            let reading = operator::read(&text);
            report.findings.extend(reading.findings);
            report.findings.extend(rules::check(&reading.draft));
            if let Some(against) = against {
                against::compare_document(&reading.draft, &text, against, &mut report).await;
            }
            report
        }
        Some(Format::Changes) => {
            let mut report = Report::new(name, "list of changes");
            let reading = changes::read(&text);
            report.findings.extend(reading.findings);
            let findings = sassafrasmast_check::changes::check(&reading.changes);
            report.findings.extend(findings);
            if let Some(against) = against {
                against::compare_changes(&reading.changes, against, &mut report).await;
            }
            report
        }
    };
    report.findings.sort_by_key(|finding| finding.place);
    report
}

/// Checks a file of settings or of `deploy/`. Returns which kind of file was found to be valid.
///
/// # Errors
///
/// Names the file, the key and the reason.
pub fn check(file: &Path) -> anyhow::Result<String> {
    let name = || file.display().to_string();
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {}", name()))?;
    if let Some(kind) = deploy::Kind::detect(&text) {
        kind.check(&text).with_context(name)?;
        return Ok(format!("{} is valid", kind.as_str()));
    }
    Settings::read(file)?;
    Ok("settings are valid".to_owned())
}
