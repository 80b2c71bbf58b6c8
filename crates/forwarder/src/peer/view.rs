//! Intent and members of a process, as sent to peers.

use std::sync::Arc;

use sassafrasmast_core::flow::{Intent, Revision};

use super::{KnownAgent, Request, Snapshot};

/// Intent and members of a process, from which it answers requests of peers.
#[derive(Debug, Default)]
pub struct View {
    intent: Option<Arc<Intent>>,
    /// Digest of the intent, 0 if there is none.
    digest: u64,
    members: Vec<KnownAgent>,
}

impl View {
    /// The view with this intent and these members. The digest is computed only if the intent is
    /// another one than in `before`.
    pub fn new(before: &Self, intent: Option<&Arc<Intent>>, members: Vec<KnownAgent>) -> Self {
        let digest = match (intent, &before.intent) {
            (Some(new), Some(old)) if Arc::ptr_eq(new, old) => before.digest,
            (Some(new), _) => new.digest(),
            (None, _) => 0,
        };
        Self {
            intent: intent.cloned(),
            digest,
            members,
        }
    }

    /// The intent, if there is one.
    pub fn intent(&self) -> Option<&Arc<Intent>> {
        self.intent.as_ref()
    }

    /// Revision of the intent, 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.intent.as_ref().map_or(0, |intent| intent.revision)
    }

    /// Version of the intent's policy, 0 if there is none.
    fn version(&self) -> u64 {
        self.intent
            .as_ref()
            .map_or(0, |intent| intent.policy.version)
    }

    /// The request that this process sends to a peer.
    pub fn request(&self, wants_members: bool) -> Request {
        Request {
            revision: self.revision(),
            version: self.version(),
            digest: self.digest,
            wants_members,
        }
    }

    /// The response to a peer's request. The intent is left out if only its revision differs.
    pub fn snapshot_for(&self, request: &Request) -> Snapshot {
        let is_newer = self.revision() > request.revision || self.version() > request.version;
        let differs = self.digest != request.digest;
        Snapshot {
            revision: self.revision(),
            digest: self.digest,
            intent: self
                .intent
                .as_ref()
                .filter(|_| is_newer && differs)
                .cloned(),
            members: if request.wants_members {
                self.members.clone()
            } else {
                Vec::new()
            },
        }
    }

    /// The intent to merge after a peer's response: the peer's intent, or the intent of this
    /// process with the peer's later revision if the two differ in nothing else.
    pub fn newer_intent(&self, snapshot: &Snapshot) -> Option<Arc<Intent>> {
        if snapshot.intent.is_some() {
            return snapshot.intent.clone();
        }
        let own = self.intent.as_ref()?;
        let differs_only_in_revision =
            snapshot.digest == self.digest && snapshot.revision > own.revision;
        differs_only_in_revision.then(|| {
            Arc::new(Intent {
                revision: snapshot.revision,
                ..(**own).clone()
            })
        })
    }
}
