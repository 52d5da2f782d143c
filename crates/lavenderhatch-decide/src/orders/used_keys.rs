//! A bitmap of the issued keys that have been used.

use std::collections::VecDeque;

/// Number of keys in the window. The bitmap takes 128 KiB.
const WINDOW_KEYS: u64 = 1 << 20;
const KEYS_PER_WORD: u64 = u64::BITS as u64;

/// A sliding window with one bit for each issued key.
///
/// Keys older than the window count as used, so that an order whose record was dropped cannot run
/// again.
#[derive(Clone, Debug, Default)]
pub(super) struct UsedKeys {
    /// Number of the first key in the window. Invariant: a multiple of [`KEYS_PER_WORD`].
    window_start: u64,
    words: VecDeque<u64>,
}

impl UsedKeys {
    /// Marks a key as used. Returns whether it was unused before.
    pub(super) fn mark_used(&mut self, seq: u64) -> bool {
        self.advance_to(seq);
        let Some((word, bit)) = self.position(seq) else {
            return false;
        };
        let is_unused = self.words[word] & bit == 0;
        self.words[word] |= bit;
        is_unused
    }

    /// Marks a key as unused again, because its order was refused before it ran.
    pub(super) fn mark_unused(&mut self, seq: u64) {
        if let Some((word, bit)) = self.position(seq) {
            self.words[word] &= !bit;
        }
    }

    fn position(&self, seq: u64) -> Option<(usize, u64)> {
        let offset = seq.checked_sub(self.window_start)?;
        let word = (offset / KEYS_PER_WORD) as usize;
        (word < self.words.len()).then_some((word, 1 << (offset % KEYS_PER_WORD)))
    }

    fn advance_to(&mut self, seq: u64) {
        if seq.saturating_sub(self.window_start) >= 2 * WINDOW_KEYS {
            self.window_start = (seq - WINDOW_KEYS) / KEYS_PER_WORD * KEYS_PER_WORD;
            self.words.clear();
        }
        while seq >= self.window_start + self.words.len() as u64 * KEYS_PER_WORD {
            self.words.push_back(0);
        }
        while self.words.len() as u64 * KEYS_PER_WORD > WINDOW_KEYS {
            self.words.pop_front();
            self.window_start += KEYS_PER_WORD;
        }
    }
}
