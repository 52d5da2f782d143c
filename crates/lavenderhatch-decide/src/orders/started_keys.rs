//! A bitmap of the issued keys that have been used.

use std::collections::VecDeque;

/// Number of keys in the window. The bitmap takes 128 KiB.
const WINDOW_KEYS: u64 = 1 << 20;
const WORD_KEYS: u64 = u64::BITS as u64;

/// A sliding window with one bit for each issued key.
///
/// Keys older than the window count as used, so that an order whose record was dropped cannot run
/// again.
#[derive(Clone, Debug, Default)]
pub(super) struct StartedKeys {
    /// Number of the first key in the window. Invariant: a multiple of [`WORD_KEYS`].
    first: u64,
    words: VecDeque<u64>,
}

impl StartedKeys {
    /// Marks a key as used. Returns whether it was unused before.
    pub(super) fn start(&mut self, seq: u64) -> bool {
        self.reach(seq);
        let Some((word, bit)) = self.place(seq) else {
            return false;
        };
        let is_unused = self.words[word] & bit == 0;
        self.words[word] |= bit;
        is_unused
    }

    /// Marks a key as unused again, because its order was refused before it ran.
    pub(super) fn release(&mut self, seq: u64) {
        if let Some((word, bit)) = self.place(seq) {
            self.words[word] &= !bit;
        }
    }

    fn place(&self, seq: u64) -> Option<(usize, u64)> {
        let offset = seq.checked_sub(self.first)?;
        let word = (offset / WORD_KEYS) as usize;
        (word < self.words.len()).then_some((word, 1 << (offset % WORD_KEYS)))
    }

    fn reach(&mut self, seq: u64) {
        if seq.saturating_sub(self.first) >= 2 * WINDOW_KEYS {
            self.first = (seq - WINDOW_KEYS) / WORD_KEYS * WORD_KEYS;
            self.words.clear();
        }
        while seq >= self.first + self.words.len() as u64 * WORD_KEYS {
            self.words.push_back(0);
        }
        while self.words.len() as u64 * WORD_KEYS > WINDOW_KEYS {
            self.words.pop_front();
            self.first += WORD_KEYS;
        }
    }
}
