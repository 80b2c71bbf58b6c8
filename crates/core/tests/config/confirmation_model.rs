//! Model check of concurrent confirms: all interleavings of operators over a store that loses and
//! delays calls. Guards against an outcome that differs from the store: a lost plan reported as
//! confirmed, an applied plan reported as a conflict, or a plan applied twice.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use sassafrasmast_core::config::{
    Change, Confirmation, Document, Outcome, Plan, Reply, Revision, Step,
};
use sassafrasmast_wire::ConfigVersion;

use super::{add_zone, fleet, zone_out};

/// An operator who confirms a plan, and confirms once more if the outcome is unsettled.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Operator {
    plan: Plan,
    operation: &'static str,
    confirmation: Confirmation,
    /// Number of calls of this operator that may still fail.
    faults_left: u8,
    retried: bool,
}

/// A swap on its way to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Swap {
    revision: Revision,
    document: Document,
    operation: &'static str,
    plan_digest: String,
}

/// State of the model: the store and the operators.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Model {
    revision: Revision,
    document: Document,
    /// Version produced by each plan, by operation and plan digest.
    applied: BTreeMap<(&'static str, String), ConfigVersion>,
    delayed_swaps: Vec<Swap>,
    operators: Vec<Operator>,
}

/// How one call to the store ends.
#[derive(Debug, Clone, Copy)]
enum CallResult {
    Answered,
    ReplyLost,
    RequestLost,
    Delayed,
}

impl Operator {
    fn new(operation: &'static str, changes: Vec<Change>, faults_left: u8) -> Self {
        let plan = Plan::new(&fleet(), changes).expect("the changes make sense");
        let confirmation = Confirmation::new(plan.clone(), operation, [9; 32], plan.base);
        Self {
            plan,
            operation,
            confirmation,
            faults_left,
            retried: false,
        }
    }

    fn outcome(&self) -> Option<&Outcome> {
        match self.confirmation.step() {
            Step::Done(outcome) => Some(outcome),
            _ => None,
        }
    }
}

impl Model {
    fn new(operators: Vec<Operator>) -> Self {
        Self {
            revision: 1,
            document: fleet(),
            applied: BTreeMap::new(),
            delayed_swaps: Vec::new(),
            operators,
        }
    }

    /// Applies a swap to the store.
    fn execute(&mut self, swap: Swap) -> Reply {
        if swap.revision != self.revision {
            return Reply::Mismatch;
        }
        assert_eq!(swap.document.version, self.document.version + 1);
        self.revision += 1;
        self.document = swap.document;
        let key = (swap.operation, swap.plan_digest);
        let before = self.applied.insert(key, self.document.version);
        assert_eq!(before, None, "an operation took effect twice");
        Reply::Swapped
    }

    /// Executes the operator's next call, which ends with `result`; `None` if that is not
    /// possible.
    fn call(mut self, index: usize, result: CallResult) -> Option<Self> {
        let operator = &mut self.operators[index];
        if !matches!(result, CallResult::Answered) {
            operator.faults_left = operator.faults_left.checked_sub(1)?;
        }
        let (operation, plan_digest) = (operator.operation, operator.plan.digest.clone());
        let reply = match (operator.confirmation.step().clone(), result) {
            (Step::Read, CallResult::Answered) => {
                Reply::Document(self.revision, Box::new(self.document.clone()))
            }
            (Step::Read, CallResult::RequestLost) => Reply::Lost,
            (
                Step::Swap {
                    revision, document, ..
                },
                result,
            ) => {
                let swap = Swap {
                    revision,
                    document: *document,
                    operation,
                    plan_digest,
                };
                match result {
                    CallResult::Answered => self.execute(swap),
                    CallResult::ReplyLost => {
                        self.execute(swap);
                        Reply::Lost
                    }
                    CallResult::RequestLost => Reply::Lost,
                    CallResult::Delayed => {
                        self.delayed_swaps.push(swap);
                        Reply::Lost
                    }
                }
            }
            _ => return None,
        };
        self.operators[index].confirmation.on_reply(reply);
        Some(self)
    }

    /// An operator whose outcome is unsettled confirms again with the same operation id.
    fn retry(mut self, index: usize) -> Option<Self> {
        let operator = &mut self.operators[index];
        if operator.retried || operator.outcome() != Some(&Outcome::Unsettled) {
            return None;
        }
        let known = operator.plan.base;
        operator.retried = true;
        operator.faults_left = 1;
        operator.confirmation =
            Confirmation::new(operator.plan.clone(), operator.operation, [8; 32], known);
        Some(self)
    }

    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.operators.len() {
            for result in [
                CallResult::Answered,
                CallResult::ReplyLost,
                CallResult::RequestLost,
                CallResult::Delayed,
            ] {
                next.extend(self.clone().call(index, result));
            }
            next.extend(self.clone().retry(index));
        }
        for index in 0..self.delayed_swaps.len() {
            let mut model = self.clone();
            let swap = model.delayed_swaps.remove(index);
            model.execute(swap);
            next.push(model);
        }
        next
    }

    /// Checks that the outcome each operator got is true in this state.
    fn check(&self) {
        let first = fleet().version;
        assert!(
            self.document.version <= first + 1,
            "two plans were confirmed on one base"
        );
        assert_eq!(self.document.version - first, self.applied.len() as u64);
        for operator in &self.operators {
            let key = (operator.operation, operator.plan.digest.clone());
            let applied = self.applied.get(&key).copied();
            match operator.outcome() {
                Some(Outcome::Confirmed { version, .. }) => assert_eq!(applied, Some(*version)),
                Some(Outcome::Conflict { .. } | Outcome::NotConfirmed) => {
                    // A retry that never reached the store tells nothing about the first attempt.
                    assert!(applied.is_none() || operator.retried, "{operator:?}");
                }
                Some(Outcome::Unsettled) | None => {}
                Some(other) => panic!("unexpected {other:?}"),
            }
            let conflict = matches!(operator.outcome(), Some(Outcome::Conflict { .. }));
            assert!(!conflict || applied.is_none(), "{operator:?}");
        }
    }
}

/// Visits every reachable state and returns the names of the outcomes that operators got.
fn explore(operators: Vec<Operator>) -> BTreeSet<&'static str> {
    let start = Model::new(operators);
    let mut seen = HashSet::from([start.clone()]);
    let mut pending = vec![start];
    let mut outcomes = BTreeSet::new();
    while let Some(model) = pending.pop() {
        model.check();
        outcomes.extend(
            model
                .operators
                .iter()
                .filter_map(Operator::outcome)
                .map(outcome_name),
        );
        for next in model.successors() {
            if seen.insert(next.clone()) {
                pending.push(next);
            }
        }
    }
    outcomes
}

fn outcome_name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Confirmed { .. } => "confirmed",
        Outcome::Conflict { .. } => "conflict",
        Outcome::NotConfirmed => "not confirmed",
        Outcome::Unsettled => "unsettled",
        _ => "other",
    }
}

fn pocitos_out(faults_left: u8) -> Operator {
    Operator::new("out", vec![zone_out("pocitos")], faults_left)
}

fn centro_out(faults_left: u8) -> Operator {
    Operator::new("other", vec![zone_out("centro")], faults_left)
}

#[test]
fn an_operator_gets_the_true_outcome_when_the_store_fails() {
    let outcomes = explore(vec![pocitos_out(4)]);
    assert_eq!(
        outcomes,
        BTreeSet::from(["confirmed", "not confirmed", "unsettled"])
    );
}

#[test]
fn two_conflicting_operators_get_the_true_outcomes() {
    let outcomes = explore(vec![pocitos_out(2), centro_out(2)]);
    assert_eq!(outcomes, BTreeSet::from(["confirmed", "conflict"]));
}

#[test]
fn an_unsettled_and_a_conflicting_operator_get_the_true_outcomes() {
    let outcomes = explore(vec![pocitos_out(4), centro_out(0)]);
    assert_eq!(
        outcomes,
        BTreeSet::from(["confirmed", "conflict", "not confirmed", "unsettled"])
    );
}

#[test]
fn three_conflicting_operators_get_the_true_outcomes() {
    let third = Operator::new("third", vec![add_zone("third")], 1);
    let outcomes = explore(vec![pocitos_out(1), centro_out(1), third]);
    assert_eq!(outcomes, BTreeSet::from(["confirmed", "conflict"]));
}

#[test]
fn the_same_operation_confirmed_twice_takes_effect_once() {
    let outcomes = explore(vec![pocitos_out(2), pocitos_out(2)]);
    assert_eq!(outcomes, BTreeSet::from(["confirmed"]));
}

#[test]
fn a_reused_operation_id_does_not_report_the_outcome_of_another_plan() {
    let second = Operator::new("out", vec![zone_out("centro")], 2);
    let outcomes = explore(vec![pocitos_out(2), second]);
    assert_eq!(outcomes, BTreeSet::from(["confirmed", "conflict"]));
}

#[test]
fn a_store_that_is_behind_confirms_nothing() {
    let plan = Plan::new(&fleet(), vec![zone_out("centro")]).unwrap();
    let mut confirmation = Confirmation::new(plan.clone(), "op", [9; 32], plan.base + 3);
    confirmation.on_reply(Reply::Document(1, Box::new(fleet())));
    let behind = Outcome::StoreBehind {
        stored: plan.base,
        known: plan.base + 3,
    };
    assert_eq!(confirmation.step(), &Step::Done(behind));
}

#[test]
fn an_altered_plan_is_not_confirmed() {
    let mut plan = Plan::new(&fleet(), vec![zone_out("centro")]).unwrap();
    plan.changes = vec![zone_out("pocitos")];
    let mut confirmation = Confirmation::new(plan, "op", [9; 32], 1);
    confirmation.on_reply(Reply::Document(1, Box::new(fleet())));
    assert_eq!(confirmation.step(), &Step::Done(Outcome::Altered));
}
