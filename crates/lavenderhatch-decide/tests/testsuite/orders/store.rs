//! The platform's objects of one claim range.

use std::collections::HashMap;

use lavenderhatch_decide::orders::{Commit, Head, LogRecord, RangeImage, Segment};

/// Objects with versions and conditional writes.
#[derive(Default)]
pub(super) struct Store {
    head: Option<(u64, Head)>,
    segments: HashMap<String, Segment>,
    last_version: u64,
    /// Each claim that took effect, as (node, incarnation, attempt).
    pub(super) claimed: Vec<(String, u64, u64)>,
}

impl Store {
    pub(super) fn read(&self, held: &[String]) -> RangeImage {
        let Some((version, head)) = &self.head else {
            return RangeImage::default();
        };
        let is_new = |name: &&String| !held.contains(name);
        let names = head.segments.iter().map(|segment| &segment.name);
        RangeImage {
            version: Some(*version),
            head: head.clone(),
            segments: names
                .filter(is_new)
                .map(|name| self.segments[name].clone())
                .collect(),
        }
    }

    /// Writes the head if it has the expected version; `None` is a conflict.
    pub(super) fn write(&mut self, commit: &Commit) -> Option<u64> {
        if let Some(archive) = &commit.archive {
            self.segments
                .insert(archive.name.clone(), archive.segment.clone());
        }
        if self.head.as_ref().map(|(version, _)| *version) != commit.expected {
            return None;
        }
        self.last_version += 1;
        for record in &commit.head.records {
            if let LogRecord::Claim { by, .. } = record {
                let attempt = (by.node.to_string(), by.incarnation.0, by.number);
                self.claimed.push(attempt);
            }
        }
        self.head = Some((self.last_version, commit.head.clone()));
        Some(self.last_version)
    }
}
