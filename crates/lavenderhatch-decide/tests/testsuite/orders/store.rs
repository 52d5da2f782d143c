//! A simulated platform that holds the objects of one claim range.

use std::collections::{BTreeSet, HashMap};

use lavenderhatch_decide::orders::{Commit, CommitResult, Head, LogRecord, RangeSnapshot, Segment};

/// Objects with versions and conditional writes.
#[derive(Default)]
pub(super) struct Store {
    head: Option<(u64, Head)>,
    segments: HashMap<String, Segment>,
    last_version: u64,
    /// The claims that took effect, each as number of the node, incarnation and attempt.
    pub(super) claimed: BTreeSet<(usize, u64, u64)>,
}

impl Store {
    pub(super) fn read(&self, held: &[String]) -> RangeSnapshot {
        let Some((version, head)) = &self.head else {
            return RangeSnapshot::default();
        };
        let names = head.segments.iter().map(|segment| &segment.name);
        let new = names.filter(|name| !held.contains(name));
        RangeSnapshot {
            version: Some(*version),
            head: head.clone(),
            segments: new.map(|name| self.segments[name].clone()).collect(),
        }
    }

    /// Writes the head if it has the expected version.
    pub(super) fn write(&mut self, commit: &Commit) -> CommitResult {
        if let Some(sealed) = &commit.sealed {
            let segment = sealed.segment.clone();
            self.segments.insert(sealed.name.clone(), segment);
        }
        if self.head.as_ref().map(|(version, _)| *version) != commit.expected {
            return CommitResult::Conflict;
        }
        self.last_version += 1;
        for record in &commit.head.records {
            if let LogRecord::Claim { by, .. } = record {
                let node = by.node.as_str()[1..].parse().unwrap();
                self.claimed.insert((node, by.incarnation.0, by.number));
            }
        }
        self.head = Some((self.last_version, commit.head.clone()));
        CommitResult::Written(self.last_version)
    }
}
