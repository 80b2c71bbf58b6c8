//! Which tickets were ever held by a request.

use std::collections::BTreeMap;

/// Words in one block.
const BLOCK_WORDS: usize = 64;

/// Nonces covered by one block.
const BLOCK_NONCES: u64 = BLOCK_WORDS as u64 * u64::BITS as u64;

/// Blocks kept at most, 2 MiB in all: 16.8 million tickets.
const MAX_BLOCKS: usize = 4_096;

/// One bit for each ticket nonce, kept long after the records of the tickets. It tells an old
/// ticket that was never used from one whose record has expired.
#[derive(Debug, Clone, Default)]
pub struct NonceSet {
    blocks: BTreeMap<u64, [u64; BLOCK_WORDS]>,
    /// Nonces below are forgotten.
    forgotten_below: u64,
}

impl NonceSet {
    /// Marks a nonce; the oldest block goes when there are too many.
    pub fn insert(&mut self, nonce: u64) {
        let (block, word, bit) = locate(nonce);
        self.blocks.entry(block).or_insert([0; BLOCK_WORDS])[word] |= bit;
        while self.blocks.len() > MAX_BLOCKS {
            if let Some((oldest, _)) = self.blocks.pop_first() {
                self.forgotten_below = (oldest + 1) * BLOCK_NONCES;
            }
        }
    }

    /// Whether a nonce was marked; `None` if that is no longer known.
    ///
    /// ```
    /// use sassafrasmast_core::agent::NonceSet;
    /// let mut used = NonceSet::default();
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
        let marked = |words: &[u64; BLOCK_WORDS]| words[word] & bit != 0;
        Some(self.blocks.get(&block).is_some_and(marked))
    }
}

/// Block, word and bit of a nonce.
fn locate(nonce: u64) -> (u64, usize, u64) {
    let within = nonce % BLOCK_NONCES;
    let word = (within / u64::from(u64::BITS)) as usize;
    (
        nonce / BLOCK_NONCES,
        word,
        1 << (within % u64::from(u64::BITS)),
    )
}
