//! Confirming a plan, step by step, free of I/O.

use sassafrasmast_wire::{ConfigVersion, keys::Secret};

use super::{Document, OperationId, Plan, Record, Verdict, document::REMEMBERED_OPERATIONS};

/// Failed calls to the store after which a confirm gives up.
const MAX_FAILURES: u8 = 4;

/// Modification revision of the document's key in the store.
pub type Revision = i64;

/// What the executor has to do next.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Read the document.
    Read,
    /// Replace the document by a compare-and-swap on the revision of its key, and write the
    /// record in the same transaction.
    Swap {
        /// Revision that the key must still have.
        revision: Revision,
        /// The new document.
        document: Box<Document>,
        /// Record of the change.
        record: Box<Record>,
    },
    /// Nothing: this is the result.
    Done(Verdict),
}

/// What the store said to a step.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reply {
    /// The document and the revision of its key.
    Document(Revision, Box<Document>),
    /// There is no document.
    Absent,
    /// The swap took effect.
    Swapped,
    /// The swap did not take effect: the revision was another one.
    Mismatch,
    /// No reply came: the step may or may not have taken effect.
    Lost,
}

/// One confirm of one plan. Ask for [`Confirmation::step`], execute it, feed the reply to
/// [`Confirmation::on`], until the step is [`Step::Done`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Confirmation {
    plan: Plan,
    operation: OperationId,
    fresh: Secret,
    known: ConfigVersion,
    step: Step,
    failures: u8,
    swap_sent: bool,
}

impl Confirmation {
    /// Starts to confirm `plan` as `operation`. `fresh` is random and becomes the new key if the
    /// plan adds one; `known` is the version in force in this process. The operation is
    /// remembered together with the plan's digest, so one id never answers for another plan.
    pub fn new(plan: Plan, operation: &str, fresh: Secret, known: ConfigVersion) -> Self {
        let operation = format!("{operation}:{}", plan.digest);
        Self {
            plan,
            operation,
            fresh,
            known,
            step: Step::Read,
            failures: 0,
            swap_sent: false,
        }
    }

    /// What has to be done next.
    pub fn step(&self) -> &Step {
        &self.step
    }

    /// Takes the reply to the present step.
    pub fn on(&mut self, reply: Reply) {
        let step = std::mem::replace(&mut self.step, Step::Read);
        self.step = match (step, reply) {
            (Step::Done(verdict), _) => Step::Done(verdict),
            (Step::Swap { document, .. }, Reply::Swapped) => {
                let version = document.version;
                Step::Done(Verdict::Confirmed { version, document })
            }
            (Step::Swap { .. }, Reply::Mismatch) => Step::Read,
            (Step::Read, Reply::Document(revision, document)) => self.judge(revision, document),
            (Step::Read, Reply::Absent) => Step::Done(Verdict::StoreBehind {
                stored: 0,
                known: self.known.max(self.plan.base),
            }),
            (Step::Swap { .. }, _) => {
                self.swap_sent = true;
                self.failed()
            }
            (Step::Read, _) => self.failed(),
        };
    }

    /// Counts a call without a reply. Reading back comes next, unless the store stays away.
    fn failed(&mut self) -> Step {
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            return Step::Read;
        }
        Step::Done(if self.swap_sent {
            Verdict::Unsettled
        } else {
            Verdict::NotConfirmed
        })
    }

    /// Decides on a document that was read.
    fn judge(&self, revision: Revision, document: Box<Document>) -> Step {
        let (base, current) = (self.plan.base, document.version);
        if let Some(version) = document.version_of(&self.operation) {
            return Step::Done(Verdict::Confirmed { version, document });
        }
        let known = self.known.max(base);
        if current < known {
            let stored = current;
            return Step::Done(Verdict::StoreBehind { stored, known });
        }
        if current - base > REMEMBERED_OPERATIONS as u64 {
            return Step::Done(Verdict::Forgotten { base, current });
        }
        if current > base {
            return Step::Done(Verdict::Conflict { base, current });
        }
        self.swap(revision, &document).unwrap_or_else(Step::Done)
    }

    /// Prepares the swap of the base document.
    fn swap(&self, revision: Revision, base: &Document) -> Result<Step, Verdict> {
        let plan = Plan::new(base, self.plan.changes.clone()).map_err(Verdict::Refused)?;
        if plan.digest != self.plan.digest {
            return Err(Verdict::Altered);
        }
        let mut document = base
            .apply(&plan.changes, &self.fresh)
            .map_err(Verdict::Refused)?;
        document.remember(self.operation.clone());
        document.validate().map_err(Verdict::Refused)?;
        let record = Record {
            version: document.version,
            operation: self.operation.clone(),
            changes: plan.changes,
            fresh: self.fresh,
            digest: document.digest(),
        };
        Ok(Step::Swap {
            revision,
            document: Box::new(document),
            record: Box::new(record),
        })
    }
}
