//! What is checked of every trace.

use std::collections::{BTreeMap, BTreeSet};

use crate::{agent::Key, error::Outcome, timeline::RequestId};

/// Names a request over all processes.
type Place = (String, RequestId);

/// Follows hand-overs and answers of all processes.
#[derive(Debug, Default)]
pub(super) struct Checker {
    keys: BTreeMap<Place, Key>,
    runs: BTreeMap<Place, u32>,
    runs_by_key: BTreeMap<Key, u32>,
    arrived: BTreeSet<Place>,
    answered: BTreeMap<Place, Outcome>,
    not_run: BTreeSet<Place>,
    not_run_keys: BTreeSet<Key>,
    violations: Vec<String>,
}

impl Checker {
    /// A request arrived.
    pub(super) fn arrived(&mut self, place: Place, key: Option<Key>) {
        self.arrived.insert(place.clone());
        if let Some(key) = key {
            self.keys.insert(place, key);
        }
    }

    /// A request was handed to an upstream.
    pub(super) fn handed_over(&mut self, place: &Place) {
        let runs = self.runs.entry(place.clone()).or_default();
        *runs += 1;
        if self.not_run.contains(place) {
            self.fault(place, "was handed over after the answer \"not run\"");
        }
        let Some(key) = self.keys.get(place).cloned() else {
            return;
        };
        let runs = self.runs_by_key.entry(key.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            self.fault(place, "was handed over though its key ran before");
        }
        if self.not_run_keys.contains(&key) {
            self.fault(
                place,
                "was handed over though its key was answered \"not run\"",
            );
        }
    }

    /// The upstream said, or the edge saw, that the request did not run.
    pub(super) fn not_run(&mut self, place: &Place) {
        if let Some(runs) = self.runs.get_mut(place) {
            *runs = runs.saturating_sub(1);
        }
        if let Some(runs) = self
            .keys
            .get(place)
            .and_then(|key| self.runs_by_key.get_mut(key))
        {
            *runs = runs.saturating_sub(1);
        }
    }

    /// A request got its final answer.
    pub(super) fn answered(&mut self, place: &Place, outcome: Outcome) {
        if self.answered.insert(place.clone(), outcome).is_some() {
            self.fault(place, "was answered twice");
        }
        if outcome != Outcome::NotRun {
            return;
        }
        let key = self.keys.get(place).cloned();
        let by_key = key.as_ref().and_then(|key| self.runs_by_key.get(key));
        let runs = by_key
            .or_else(|| self.runs.get(place))
            .copied()
            .unwrap_or(0);
        if runs > 0 {
            self.fault(place, "was answered \"not run\" though it was handed over");
        }
        self.not_run.insert(place.clone());
        self.not_run_keys.extend(key);
    }

    /// The recording says that the hand-over took place.
    pub(super) fn recorded_start(&mut self, place: &Place) {
        if self.arrived.contains(place) && !self.runs.contains_key(place) {
            self.fault(place, "was handed over in the recording only");
        }
    }

    /// The recording says that the request got its final answer.
    pub(super) fn recorded_answer(&mut self, place: &Place, outcome: &str) {
        let replayed = self.answered.get(place).map(|outcome| outcome.as_str());
        if self.arrived.contains(place) && replayed != Some(outcome) {
            let replayed = replayed.unwrap_or("nothing");
            let what = format!("was answered {outcome} in the recording, {replayed} in the replay");
            self.fault(place, &what);
        }
    }

    /// All violations found.
    pub(super) fn finish(self) -> Vec<String> {
        self.violations
    }

    fn fault(&mut self, (process, request): &Place, what: &str) {
        self.violations.push(format!("{process} #{request} {what}"));
    }
}
