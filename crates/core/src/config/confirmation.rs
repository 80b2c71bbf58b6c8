//! State machine that confirms a plan; it does no I/O itself.

use sassafrasmast_wire::{ConfigVersion, keys::Secret};

use super::{Document, OperationId, Outcome, Plan, Record, document::MAX_REMEMBERED_OPERATIONS};

/// Store calls without a reply after which a confirm stops.
const MAX_LOST_CALLS: u8 = 4;

/// Modification revision of the document's key in the store.
pub type Revision = i64;

/// What the caller of a [`Confirmation`] has to execute next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the document from the store.
    Read,
    /// Replace the document by a compare-and-swap on the revision of its key, and write the record
    /// in the same transaction.
    Swap {
        /// Revision that the key must still have.
        revision: Revision,
        /// The new document.
        document: Box<Document>,
        /// Record of the confirmed plan.
        record: Box<Record>,
    },
    /// Nothing more: the confirm has ended with this outcome.
    Done(Outcome),
}

/// The store's reply to a step.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The document and the revision of its key.
    Document(Revision, Box<Document>),
    /// There is no document.
    Absent,
    /// The swap took effect.
    Swapped,
    /// The swap did not take effect: the key had another revision.
    Mismatch,
    /// No reply came: the step may or may not have taken effect.
    Lost,
}

/// A confirm of one plan. The caller executes the step that [`Confirmation::step`] returns and
/// passes the reply to [`Confirmation::on_reply`], until the step is [`Step::Done`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Confirmation {
    plan: Plan,
    stored_operation: OperationId,
    new_key: Secret,
    known: ConfigVersion,
    step: Step,
    lost_calls: u8,
    swap_sent: bool,
}

impl Confirmation {
    /// Starts to confirm `plan` as `operation`. `new_key` is random and is added if the plan adds a
    /// key; `known` is the version in force in this process. The operation is stored together with
    /// the plan's digest, so a reused operation id never reports the outcome of another plan.
    pub fn new(plan: Plan, operation: &str, new_key: Secret, known: ConfigVersion) -> Self {
        let stored_operation = format!("{operation}:{}", plan.digest);
        Self {
            plan,
            stored_operation,
            new_key,
            known,
            step: Step::Read,
            lost_calls: 0,
            swap_sent: false,
        }
    }

    /// The next step to execute.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Processes the reply to the current step.
    pub fn on_reply(&mut self, reply: Reply) {
        let step = std::mem::replace(&mut self.step, Step::Read);
        self.step = match (step, reply) {
            (Step::Done(outcome), _) => Step::Done(outcome),
            (Step::Swap { document, .. }, Reply::Swapped) => {
                let version = document.version;
                Step::Done(Outcome::Confirmed { version, document })
            }
            (Step::Swap { .. }, Reply::Mismatch) => Step::Read,
            (Step::Read, Reply::Document(revision, document)) => self.on_read(revision, document),
            (Step::Read, Reply::Absent) => Step::Done(Outcome::StoreBehind {
                stored: 0,
                known: self.known.max(self.plan.base),
            }),
            (Step::Swap { .. }, _) => {
                self.swap_sent = true;
                self.on_lost_call()
            }
            (Step::Read, _) => self.on_lost_call(),
        };
    }

    /// Counts a store call without a reply. The document is read next, to learn whether a swap took
    /// effect, unless [`MAX_LOST_CALLS`] is reached.
    fn on_lost_call(&mut self) -> Step {
        self.lost_calls += 1;
        if self.lost_calls < MAX_LOST_CALLS {
            return Step::Read;
        }
        Step::Done(if self.swap_sent {
            Outcome::Unsettled
        } else {
            Outcome::NotConfirmed
        })
    }

    /// Decides the next step from the document read.
    fn on_read(&self, revision: Revision, document: Box<Document>) -> Step {
        let (base, current) = (self.plan.base, document.version);
        if let Some(version) = document.version_of_operation(&self.stored_operation) {
            return Step::Done(Outcome::Confirmed { version, document });
        }
        let known = self.known.max(base);
        if current < known {
            let stored = current;
            return Step::Done(Outcome::StoreBehind { stored, known });
        }
        if current - base > MAX_REMEMBERED_OPERATIONS as u64 {
            return Step::Done(Outcome::Forgotten { base, current });
        }
        if current > base {
            return Step::Done(Outcome::Conflict { base, current });
        }
        self.prepare_swap(revision, &document)
            .unwrap_or_else(Step::Done)
    }

    /// Applies the plan to the base document and prepares the swap.
    fn prepare_swap(&self, revision: Revision, base: &Document) -> Result<Step, Outcome> {
        let plan = Plan::new(base, self.plan.changes.clone()).map_err(Outcome::Refused)?;
        if plan.digest != self.plan.digest {
            return Err(Outcome::Altered);
        }
        let mut document = base
            .apply(&plan.changes, &self.new_key)
            .map_err(Outcome::Refused)?;
        document.record_operation(self.stored_operation.clone());
        document.validate().map_err(Outcome::Refused)?;
        let record = Record {
            version: document.version,
            operation: self.stored_operation.clone(),
            changes: plan.changes,
            fresh: self.new_key,
            digest: document.digest(),
        };
        Ok(Step::Swap {
            revision,
            document: Box::new(document),
            record: Box::new(record),
        })
    }
}
