//! What a process has ready for others that ask.

use std::sync::Arc;

use sassafrasmast_core::flow::{Intent, Revision};

use super::{Listing, Request, Snapshot};

/// What a process has ready for others that ask.
#[derive(Debug, Default)]
pub struct View {
    intent: Option<Arc<Intent>>,
    /// Digest of the intent, 0 without one.
    digest: u64,
    members: Vec<Listing>,
}

impl View {
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
    pub fn request(&self, wants_members: bool) -> Request {
        Request {
            revision: self.revision(),
            digest: self.digest,
            wants_members,
        }
    }

    /// What another process is told. An intent that differs in its revision only stays here.
    pub fn snapshot_for(&self, request: &Request) -> Snapshot {
        let is_news = self.revision() > request.revision && self.digest != request.digest;
        Snapshot {
            revision: self.revision(),
            digest: self.digest,
            intent: self.intent.as_ref().filter(|_| is_news).cloned(),
            members: if request.wants_members {
                self.members.clone()
            } else {
                Vec::new()
            },
        }
    }

    /// The intent that follows from what another process told: its own, or the one in force here
    /// as of a later revision.
    pub fn newer_intent(&self, snapshot: &Snapshot) -> Option<Arc<Intent>> {
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
