//! Nonces of the tickets that requests have used.

use std::collections::BTreeMap;

/// 64-bit words in one block.
const BLOCK_WORDS: usize = 64;

/// Nonces covered by one block.
const BLOCK_NONCES: u64 = BLOCK_WORDS as u64 * u64::BITS as u64;

/// Most blocks kept: 2 MiB, for 16.8 million tickets.
const MAX_BLOCKS: usize = 4_096;

/// A bounded bitmap of ticket nonces that outlives the tickets' entries in the registry. It
/// distinguishes an expired ticket that was never used from one whose entry has been removed.
#[derive(Debug, Clone, Default)]
pub struct UsedTicketNonces {
    blocks: BTreeMap<u64, [u64; BLOCK_WORDS]>,
    /// Nonces below are no longer known.
    forgotten_below: u64,
}

impl UsedTicketNonces {
    /// Adds a nonce. If there are too many blocks, the one with the lowest nonces is dropped.
    pub fn insert(&mut self, nonce: u64) {
        let (block, word, bit) = locate(nonce);
        self.blocks.entry(block).or_insert([0; BLOCK_WORDS])[word] |= bit;
        while self.blocks.len() > MAX_BLOCKS {
            if let Some((oldest, _)) = self.blocks.pop_first() {
                self.forgotten_below = (oldest + 1) * BLOCK_NONCES;
            }
        }
    }

    /// Whether a nonce was added; `None` if that is no longer known.
    ///
    /// ```
    /// use sassafrasmast_core::agent::UsedTicketNonces;
    /// let mut used = UsedTicketNonces::default();
    /// used.insert(7);
    /// assert_eq!((used.get(7), used.get(8)), (Some(true), Some(false)));
    /// used.insert(10_000);
    /// assert_eq!(used.get(7), Some(true));
    /// ```
    pub fn get(&self, nonce: u64) -> Option<bool> {
        if nonce < self.forgotten_below {
            return None;
        }
        let (block, word, bit) = locate(nonce);
        let is_set = |words: &[u64; BLOCK_WORDS]| words[word] & bit != 0;
        Some(self.blocks.get(&block).is_some_and(is_set))
    }
}

/// Block, word in the block and bit mask of a nonce.
fn locate(nonce: u64) -> (u64, usize, u64) {
    let within = nonce % BLOCK_NONCES;
    let word = (within / u64::from(u64::BITS)) as usize;
    (
        nonce / BLOCK_NONCES,
        word,
        1 << (within % u64::from(u64::BITS)),
    )
}
