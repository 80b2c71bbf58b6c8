//! All interleavings of racing confirms over a store that loses and delays calls.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use sassafrasmast_core::config::{
    Change, Confirmation, Document, Outcome, Plan, Reply, Revision, Step,
};
use sassafrasmast_wire::ConfigVersion;

use super::{add_zone, fleet, zone_out};

/// One operator who confirms a plan, and asks once more if the outcome is not settled.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Operator {
    plan: Plan,
    name: &'static str,
    confirmation: Confirmation,
    /// Calls of this operator that may still go wrong.
    losses: u8,
    retried: bool,
}

/// A swap as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Swap {
    revision: Revision,
    document: Document,
    operator: &'static str,
    plan: String,
}

/// The whole state of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    revision: Revision,
    document: Document,
    /// Version that each plan of each operation produced.
    applied: BTreeMap<(&'static str, String), ConfigVersion>,
    delayed: Vec<Swap>,
    operators: Vec<Operator>,
}

/// What becomes of one call.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Answered,
    ReplyLost,
    Lost,
    Delayed,
}

impl Operator {
    fn new(name: &'static str, changes: Vec<Change>, losses: u8) -> Self {
        let plan = Plan::new(&fleet(), changes).expect("the changes make sense");
        let confirmation = Confirmation::new(plan.clone(), name, [9; 32], plan.base);
        Self {
            plan,
            name,
            confirmation,
            losses,
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

impl World {
    fn new(operators: Vec<Operator>) -> Self {
        Self {
            revision: 1,
            document: fleet(),
            applied: BTreeMap::new(),
            delayed: Vec::new(),
            operators,
        }
    }

    /// Executes a swap at the store.
    fn execute(&mut self, swap: Swap) -> Reply {
        if swap.revision != self.revision {
            return Reply::Mismatch;
        }
        assert_eq!(swap.document.version, self.document.version + 1);
        self.revision += 1;
        self.document = swap.document;
        let key = (swap.operator, swap.plan);
        let before = self.applied.insert(key, self.document.version);
        assert_eq!(before, None, "an operation took effect twice");
        Reply::Swapped
    }

    /// The operator's next call meets `fate`; `None` if that is not possible.
    fn call(mut self, index: usize, fate: Fate) -> Option<Self> {
        let operator = &mut self.operators[index];
        if !matches!(fate, Fate::Answered) {
            operator.losses = operator.losses.checked_sub(1)?;
        }
        let (name, plan) = (operator.name, operator.plan.digest.clone());
        let reply = match (operator.confirmation.step().clone(), fate) {
            (Step::Read, Fate::Answered) => {
                Reply::Document(self.revision, Box::new(self.document.clone()))
            }
            (Step::Read, Fate::Lost) => Reply::Lost,
            (
                Step::Swap {
                    revision, document, ..
                },
                fate,
            ) => {
                let swap = Swap {
                    revision,
                    document: *document,
                    operator: name,
                    plan,
                };
                match fate {
                    Fate::Answered => self.execute(swap),
                    Fate::ReplyLost => {
                        self.execute(swap);
                        Reply::Lost
                    }
                    Fate::Lost => Reply::Lost,
                    Fate::Delayed => {
                        self.delayed.push(swap);
                        Reply::Lost
                    }
                }
            }
            _ => return None,
        };
        self.operators[index].confirmation.on_reply(reply);
        Some(self)
    }

    /// An operator whose outcome is not settled asks again as the same operation.
    fn retry(mut self, index: usize) -> Option<Self> {
        let operator = &mut self.operators[index];
        if operator.retried || operator.outcome() != Some(&Outcome::Unsettled) {
            return None;
        }
        let known = operator.plan.base;
        operator.retried = true;
        operator.losses = 1;
        operator.confirmation =
            Confirmation::new(operator.plan.clone(), operator.name, [8; 32], known);
        Some(self)
    }

    fn successors(&self) -> Vec<Self> {
        let mut next = Vec::new();
        for index in 0..self.operators.len() {
            for fate in [Fate::Answered, Fate::ReplyLost, Fate::Lost, Fate::Delayed] {
                next.extend(self.clone().call(index, fate));
            }
            next.extend(self.clone().retry(index));
        }
        for index in 0..self.delayed.len() {
            let mut world = self.clone();
            let swap = world.delayed.remove(index);
            world.execute(swap);
            next.push(world);
        }
        next
    }

    /// What each operator was told is true, now and after every later step.
    fn check(&self) {
        let first = fleet().version;
        assert!(self.document.version <= first + 1, "two plans won one base");
        assert_eq!(self.document.version - first, self.applied.len() as u64);
        for operator in &self.operators {
            let key = (operator.name, operator.plan.digest.clone());
            let applied = self.applied.get(&key).copied();
            match operator.outcome() {
                Some(Outcome::Confirmed { version, .. }) => assert_eq!(applied, Some(*version)),
                Some(Outcome::Conflict { .. } | Outcome::NotConfirmed) => {
                    // A retry that never reached the store says nothing about the first try.
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

/// Visits every reachable state and returns the names of the outcomes that were given.
fn explore(operators: Vec<Operator>) -> BTreeSet<&'static str> {
    let start = World::new(operators);
    let mut seen = HashSet::from([start.clone()]);
    let mut open = vec![start];
    let mut outcomes = BTreeSet::new();
    while let Some(world) = open.pop() {
        world.check();
        outcomes.extend(
            world
                .operators
                .iter()
                .filter_map(Operator::outcome)
                .map(name),
        );
        for next in world.successors() {
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    outcomes
}

fn name(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Confirmed { .. } => "confirmed",
        Outcome::Conflict { .. } => "conflict",
        Outcome::NotConfirmed => "not confirmed",
        Outcome::Unsettled => "unsettled",
        _ => "other",
    }
}

fn out(losses: u8) -> Operator {
    Operator::new("out", vec![zone_out("pocitos")], losses)
}

fn other(losses: u8) -> Operator {
    Operator::new("other", vec![zone_out("centro")], losses)
}

#[test]
fn an_operator_whose_store_goes_away_is_told_the_truth() {
    let outcomes = explore(vec![out(4)]);
    assert_eq!(
        outcomes,
        BTreeSet::from(["confirmed", "not confirmed", "unsettled"])
    );
}

#[test]
fn two_conflicting_operators_are_told_the_truth() {
    let outcomes = explore(vec![out(2), other(2)]);
    assert_eq!(outcomes, BTreeSet::from(["confirmed", "conflict"]));
}

#[test]
fn an_unsettled_operator_and_a_conflicting_one_are_told_the_truth() {
    let outcomes = explore(vec![out(4), other(0)]);
    assert_eq!(
        outcomes,
        BTreeSet::from(["confirmed", "conflict", "not confirmed", "unsettled"])
    );
}

#[test]
fn three_conflicting_operators_are_told_the_truth() {
    let third = Operator::new("third", vec![add_zone("third")], 1);
    let outcomes = explore(vec![out(1), other(1), third]);
    assert_eq!(outcomes, BTreeSet::from(["confirmed", "conflict"]));
}

#[test]
fn the_same_operation_confirmed_twice_takes_effect_once() {
    let outcomes = explore(vec![out(2), out(2)]);
    assert_eq!(outcomes, BTreeSet::from(["confirmed"]));
}

#[test]
fn one_operation_id_never_answers_for_another_plan() {
    let second = Operator::new("out", vec![zone_out("centro")], 2);
    let outcomes = explore(vec![out(2), second]);
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
