//! Positions in the history of a store that may come back from an older copy.

use super::Revision;

/// Number of times that a store has come back from an older copy of itself. 0 for stores that never
/// do so.
pub type Era = u64;

/// Bits of a [`Revision`] that hold the store's own number: enough for ten thousand changes a second
/// in 50 years. The bits above hold the era.
const REVISION_BITS: u32 = 44;

/// Position in the history of a store. Positions of a later era are later, whatever the number of
/// the revision: a store that has come back from a copy gives numbers out again.
///
/// The client of such a store packs positions into [`Revision`]s, which keep their order. Without
/// eras a position equals its number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The era.
    pub era: Era,
    /// The store's own number within the era.
    pub number: Revision,
}

impl Position {
    /// Largest era and number that a [`Revision`] can hold.
    pub const MAX: Self = Self {
        era: (1 << (63 - REVISION_BITS)) - 1,
        number: (1 << REVISION_BITS) - 1,
    };

    /// The position as a revision.
    ///
    /// ```
    /// use sassafrasmast_store::Position;
    /// let before = Position { era: 1, number: 900 };
    /// let after = Position { era: 2, number: 850 };
    /// assert!(after.pack() > before.pack());
    /// assert_eq!(Position::unpack(after.pack()), after);
    /// assert_eq!(Position { era: 0, number: 7 }.pack(), 7);
    /// ```
    pub fn pack(self) -> Revision {
        // The era fits the bits above, so that the sign bit stays clear.
        let era = self.era.min(Self::MAX.era) as Revision;
        (era << REVISION_BITS) | self.number
    }

    /// The position that a revision holds.
    pub fn unpack(revision: Revision) -> Self {
        Self {
            era: (revision.max(0) >> REVISION_BITS) as Era,
            number: revision.max(0) & Self::MAX.number,
        }
    }
}
