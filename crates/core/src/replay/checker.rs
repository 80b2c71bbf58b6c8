//! Checks the invariants of every trace and compares the replay with the recording.

use std::collections::{BTreeMap, BTreeSet};

use crate::{agent::Key, error::Outcome, timeline::RequestId};

/// Identifies a request across processes: the process name and the request id.
type RequestRef = (String, RequestId);

/// Tracks the hand-overs and answers of all processes and collects violations.
#[derive(Debug, Default)]
pub(super) struct Checker {
    keys: BTreeMap<RequestRef, Key>,
    hand_overs: BTreeMap<RequestRef, u32>,
    hand_overs_by_key: BTreeMap<Key, u32>,
    arrived: BTreeSet<RequestRef>,
    answered: BTreeMap<RequestRef, Outcome>,
    answered_not_run: BTreeSet<RequestRef>,
    keys_answered_not_run: BTreeSet<Key>,
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
        let hand_overs = self.hand_overs.entry(request.clone()).or_default();
        *hand_overs += 1;
        if self.answered_not_run.contains(request) {
            self.add_violation(request, "was handed over after the answer \"not run\"");
        }
        let Some(key) = self.keys.get(request).cloned() else {
            return;
        };
        let hand_overs = self.hand_overs_by_key.entry(key.clone()).or_default();
        *hand_overs += 1;
        if *hand_overs > 1 {
            self.add_violation(
                request,
                "was handed over though a request with the same key was handed over before",
            );
        }
        if self.keys_answered_not_run.contains(&key) {
            self.add_violation(
                request,
                "was handed over though its key was answered \"not run\"",
            );
        }
    }

    /// Called when a handed-over request turned out not to have run: the upstream refused it or was
    /// unreachable.
    pub(super) fn undo_hand_over(&mut self, request: &RequestRef) {
        if let Some(hand_overs) = self.hand_overs.get_mut(request) {
            *hand_overs = hand_overs.saturating_sub(1);
        }
        if let Some(hand_overs) = self
            .keys
            .get(request)
            .and_then(|key| self.hand_overs_by_key.get_mut(key))
        {
            *hand_overs = hand_overs.saturating_sub(1);
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
        let by_key = key.as_ref().and_then(|key| self.hand_overs_by_key.get(key));
        let hand_overs = by_key
            .or_else(|| self.hand_overs.get(request))
            .copied()
            .unwrap_or(0);
        if hand_overs > 0 {
            self.add_violation(
                request,
                "was answered \"not run\" though it was handed over",
            );
        }
        self.answered_not_run.insert(request.clone());
        self.keys_answered_not_run.extend(key);
    }

    /// Compares a recorded hand-over with the replay.
    pub(super) fn compare_hand_over(&mut self, request: &RequestRef) {
        if self.arrived.contains(request) && !self.hand_overs.contains_key(request) {
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
