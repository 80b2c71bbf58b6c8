//! Compares a document or a list of changes with another file or with the configuration in force.

use std::{net::SocketAddr, path::Path};

use anyhow::{Context, ensure};
use sassafrasmast_check::{
    Draft, Entry,
    changes::outline,
    difference::{between, between_policies, check_version},
};
use sassafrasmast_core::{
    config::{Change, Plan},
    flow::{Intent, intent::Policy},
};
use sassafrasmast_forwarder::metrics_server::INTENT_PATH;
use sassafrasmast_platform::operator;
use sassafrasmastd::api::Wish;

use super::{Against, Report};
use crate::client::Client;

/// Compares a document. One that processes reject is not compared.
pub(super) async fn compare_document(
    draft: &Draft,
    text: &str,
    against: &Against,
    report: &mut Report,
) {
    let Ok(new) = operator::policy(text.as_bytes()) else {
        return;
    };
    let old = match against {
        Against::File(file) => match policy_of(file) {
            Ok(policy) => policy,
            Err(error) => return report.add_failure(error),
        },
        Against::InForce { processes, .. } => match policy_in_force(processes).await {
            Ok(policy) => policy,
            Err(error) => return report.add_failure(error),
        },
    };
    report.against = Some(format!("{}, version {}", name(against), old.version));
    report.differences = between_policies(&old, &new);
    if let Some(version) = &draft.version {
        let finding = check_version(version, &old, &report.differences);
        report.findings.extend(finding);
    }
}

/// Compares a list of changes. In comparison with the configuration in force, the changes are
/// planned; one that has errors by itself is not.
pub(super) async fn compare_changes(new: &[Entry<Change>], against: &Against, report: &mut Report) {
    let values = || new.iter().map(|change| &change.value);
    match against {
        Against::File(file) => match changes_of(file) {
            Ok(old) => {
                report.against = Some(name(against));
                report.differences = between(&outline(&old), &outline(values()));
            }
            Err(error) => report.add_failure(error),
        },
        Against::InForce { api, .. } => {
            if report.has_errors() {
                return;
            }
            let changes = values().cloned().collect();
            match plan(api, changes).await {
                Ok(plan) => report.plan = Some(plan),
                Err(error) => report.add_failure(error),
            }
        }
    }
}

fn name(against: &Against) -> String {
    match against {
        Against::File(file) => file.display().to_string(),
        Against::InForce { .. } => "the configuration in force".to_owned(),
    }
}

fn policy_of(file: &Path) -> anyhow::Result<Policy> {
    let name = || file.display().to_string();
    let text = std::fs::read(file).with_context(name)?;
    operator::policy(&text).with_context(name)
}

fn changes_of(file: &Path) -> anyhow::Result<Vec<Change>> {
    let name = || file.display().to_string();
    let text = std::fs::read(file).with_context(name)?;
    serde_json::from_slice(&text).with_context(name)
}

/// The policy in force at the first process that answers.
async fn policy_in_force(processes: &[SocketAddr]) -> anyhow::Result<Policy> {
    ensure!(
        !processes.is_empty(),
        "a document is compared with --process ADDR"
    );
    let client = Client::new(processes.to_vec());
    let intent: Intent = client.get(INTENT_PATH).await?;
    Ok(intent.policy)
}

async fn plan(api: &[SocketAddr], changes: Vec<Change>) -> anyhow::Result<Plan> {
    ensure!(
        !api.is_empty(),
        "a list of changes is compared with --api ADDR"
    );
    let client = Client::new(api.to_vec());
    Ok(client.post("/plans", &Wish { changes }).await?)
}
