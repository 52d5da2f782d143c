//! Position in the history of a store that may be restored from an earlier copy.

/// Position in the history of a store that may be restored from an earlier copy.
///
/// A restored store goes back to an earlier revision and gives the following ones out again. So
/// revisions order changes only within an era, and any position of a later era is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct HistoryPosition {
    /// Rises with each restoration.
    pub era: u64,
    /// Revision of the store within the era.
    pub revision: u64,
}

impl HistoryPosition {
    /// Returns the revision if it says something about the history of `era`, as the precondition of a
    /// write.
    pub fn revision_in(self, era: u64) -> Option<u64> {
        (self.era == era).then_some(self.revision)
    }
}
