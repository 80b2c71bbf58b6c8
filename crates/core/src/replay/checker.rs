//! Invariants that are checked for every trace.

use std::collections::{BTreeMap, BTreeSet};

use crate::{agent::Key, error::Outcome, timeline::RequestId};

/// Identifies a request across processes: the process name and the request id.
type RequestRef = (String, RequestId);

/// Tracks the hand-overs and answers of all processes and collects violations.
#[derive(Debug, Default)]
pub(super) struct Checker {
    keys: BTreeMap<RequestRef, Key>,
    runs: BTreeMap<RequestRef, u32>,
    runs_by_key: BTreeMap<Key, u32>,
    arrived: BTreeSet<RequestRef>,
    answered: BTreeMap<RequestRef, Outcome>,
    not_run: BTreeSet<RequestRef>,
    not_run_keys: BTreeSet<Key>,
    violations: Vec<String>,
}

impl Checker {
    /// Called when a request arrived.
    pub(super) fn arrived(&mut self, request: RequestRef, key: Option<Key>) {
        self.arrived.insert(request.clone());
        if let Some(key) = key {
            self.keys.insert(request, key);
        }
    }

    /// Called when a request was handed over to an upstream.
    pub(super) fn handed_over(&mut self, request: &RequestRef) {
        let runs = self.runs.entry(request.clone()).or_default();
        *runs += 1;
        if self.not_run.contains(request) {
            self.add_violation(request, "was handed over after the answer \"not run\"");
        }
        let Some(key) = self.keys.get(request).cloned() else {
            return;
        };
        let runs = self.runs_by_key.entry(key.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.add_violation(request, "was handed over though its key ran before");
        }
        if self.not_run_keys.contains(&key) {
            self.add_violation(
                request,
                "was handed over though its key was answered \"not run\"",
            );
        }
    }

    /// Called when a handed-over request turned out not to have run: the upstream refused it or was
    /// unreachable.
    pub(super) fn not_run(&mut self, request: &RequestRef) {
        if let Some(runs) = self.runs.get_mut(request) {
            *runs = runs.saturating_sub(1);
        }
        if let Some(runs) = self
            .keys
            .get(request)
            .and_then(|key| self.runs_by_key.get_mut(key))
        {
            *runs = runs.saturating_sub(1);
        }
    }

    /// Called when a request got its final answer.
    pub(super) fn answered(&mut self, request: &RequestRef, outcome: Outcome) {
        if self.answered.insert(request.clone(), outcome).is_some() {
            self.add_violation(request, "was answered twice");
        }
        if outcome != Outcome::NotRun {
            return;
        }
        let key = self.keys.get(request).cloned();
        let by_key = key.as_ref().and_then(|key| self.runs_by_key.get(key));
        let runs = by_key
            .or_else(|| self.runs.get(request))
            .copied()
            .unwrap_or(0);
        if runs > 0 {
            self.add_violation(
                request,
                "was answered \"not run\" though it was handed over",
            );
        }
        self.not_run.insert(request.clone());
        self.not_run_keys.extend(key);
    }

    /// Compares a recorded hand-over with the replay.
    pub(super) fn compare_start(&mut self, request: &RequestRef) {
        if self.arrived.contains(request) && !self.runs.contains_key(request) {
            self.add_violation(request, "was handed over in the recording only");
        }
    }

    /// Compares a recorded final answer with the replay.
    pub(super) fn compare_answer(&mut self, request: &RequestRef, outcome: &str) {
        let replayed = self.answered.get(request).map(|outcome| outcome.as_str());
        if self.arrived.contains(request) && replayed != Some(outcome) {
            let replayed = replayed.unwrap_or("nothing");
            let what = format!("was answered {outcome} in the recording, {replayed} in the replay");
            self.add_violation(request, &what);
        }
    }

    /// Returns all violations found.
    pub(super) fn finish(self) -> Vec<String> {
        self.violations
    }

    fn add_violation(&mut self, (process, request): &RequestRef, what: &str) {
        self.violations.push(format!("{process} #{request} {what}"));
    }
}
