//! Which issued keys have been used.

use std::collections::VecDeque;

/// Keys whose use is remembered. Takes 128 KiB.
const WINDOW_KEYS: u64 = 1 << 20;
const WORD_KEYS: u64 = u64::BITS as u64;

/// One bit for each issued key. Keys that are older than the window count as used, so that a key
/// whose record was dropped cannot run again.
#[derive(Clone, Debug, Default)]
pub(super) struct StartedKeys {
    /// Number of the first key in the window. Invariant: a multiple of the word size.
    first: u64,
    words: VecDeque<u64>,
}

impl StartedKeys {
    /// Marks a key as used. Says whether it was unused.
    pub(super) fn start(&mut self, seq: u64) -> bool {
        self.reach(seq);
        let Some((word, bit)) = self.place(seq) else {
            return false;
        };
        let is_unused = self.words[word] & bit == 0;
        self.words[word] |= bit;
        is_unused
    }

    /// Marks a key as unused, after it was refused before it ran.
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
