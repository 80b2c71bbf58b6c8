//! What a process has ready for others that ask.

use std::sync::Arc;

use sassafrasmast_core::flow::{Intent, Revision};

use super::{Listing, Question, Snapshot};

/// What a process has ready for others that ask.
#[derive(Debug, Default)]
pub struct Known {
    intent: Option<Arc<Intent>>,
    /// Digest of the intent, 0 without one.
    digest: u64,
    members: Vec<Listing>,
}

impl Known {
    /// What a process knows now, given what it knew before.
    pub fn new(before: &Self, intent: Option<&Arc<Intent>>, members: Vec<Listing>) -> Self {
        let digest = match (intent, &before.intent) {
            (Some(now), Some(then)) if Arc::ptr_eq(now, then) => before.digest,
            (Some(now), _) => now.digest(),
            (None, _) => 0,
        };
        Self {
            intent: intent.cloned(),
            digest,
            members,
        }
    }

    /// Revision of the intent, 0 without one.
    pub fn revision(&self) -> Revision {
        self.intent.as_ref().map_or(0, |intent| intent.revision)
    }

    /// What another process is asked.
    pub fn question(&self, wants_members: bool) -> Question {
        Question {
            revision: self.revision(),
            digest: self.digest,
            wants_members,
        }
    }

    /// What another process is told. An intent that differs in its revision only stays here.
    pub fn answer(&self, question: &Question) -> Snapshot {
        let is_news = self.revision() > question.revision && self.digest != question.digest;
        Snapshot {
            revision: self.revision(),
            digest: self.digest,
            intent: self.intent.as_ref().filter(|_| is_news).cloned(),
            members: if question.wants_members {
                self.members.clone()
            } else {
                Vec::new()
            },
        }
    }

    /// The intent that follows from what another process told: its own, or the one in force here
    /// as of a later revision.
    pub fn learn(&self, snapshot: &Snapshot) -> Option<Arc<Intent>> {
        if snapshot.intent.is_some() {
            return snapshot.intent.clone();
        }
        let own = self.intent.as_ref()?;
        let is_same = snapshot.digest == self.digest && snapshot.revision > own.revision;
        is_same.then(|| {
            Arc::new(Intent {
                revision: snapshot.revision,
                ..(**own).clone()
            })
        })
    }
}
