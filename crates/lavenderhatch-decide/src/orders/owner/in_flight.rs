//! The platform request that is in flight.

use super::super::range_log::{Head, LogRecord};
use super::waiting::WaitingList;
use crate::message::OutcomeRecord;

/// A commit that is in flight.
#[derive(Debug)]
pub(super) struct Batch<W> {
    pub(super) head: Head,
    pub(super) expected: Option<u64>,
    pub(super) claims: WaitingList<W>,
    pub(super) records: Vec<LogRecord>,
}

#[derive(Debug)]
pub(super) enum InFlight<W> {
    None,
    Loading,
    Committing(Box<Batch<W>>),
}

impl<W> InFlight<W> {
    pub(super) fn is_none(&self) -> bool {
        matches!(self, InFlight::None)
    }

    /// Ends the commit that is in flight and returns its content.
    pub(super) fn take_batch(&mut self) -> Option<Batch<W>> {
        match std::mem::replace(self, InFlight::None) {
            InFlight::Committing(batch) => Some(*batch),
            other => {
                *self = other;
                None
            }
        }
    }

    /// The claims of the commit that is in flight.
    pub(super) fn claims(&self) -> Option<&WaitingList<W>> {
        match self {
            InFlight::Committing(batch) => Some(&batch.claims),
            _ => None,
        }
    }

    /// Whether the commit that is in flight holds the claim that a record ends.
    pub(super) fn holds(&self, record: &OutcomeRecord) -> bool {
        let mut claims = self.claims().into_iter().flat_map(WaitingList::iter);
        claims.any(|wait| wait.is_for(record))
    }
}
