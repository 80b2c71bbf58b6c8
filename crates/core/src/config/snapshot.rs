//! A document with what is derived from it.

use std::{collections::BTreeMap, time::Instant};

use sassafrasmast_wire::Keys;

use super::{Document, ZoneName};

/// An immutable configuration, in force in one process.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The document.
    pub document: Document,
    /// Keys derived from the document's secrets.
    pub keys: Keys,
    /// The zones that are out of service, and since when they have been for this process.
    pub zones_out: BTreeMap<ZoneName, Instant>,
}

impl Snapshot {
    /// Derives the keys; `None` if the sealing phase has no secret. No zone counts as out until
    /// [`Self::date_zones_out`].
    pub fn new(document: Document) -> Option<Self> {
        let keys = document.secrets.keys()?;
        Some(Self {
            document,
            keys,
            zones_out: BTreeMap::new(),
        })
    }

    /// Records that the configuration replaces `previous` now: zones that are out in both keep the
    /// time since which they have been.
    pub fn date_zones_out(&mut self, now: Instant, previous: Option<&Self>) {
        let out_since = |zone| previous.and_then(|previous| previous.zones_out.get(zone).copied());
        let zones = self.document.zones.iter();
        self.zones_out = zones
            .filter(|(_, zone)| zone.out)
            .map(|(name, _)| (name.clone(), out_since(name).unwrap_or(now)))
            .collect();
    }
}
