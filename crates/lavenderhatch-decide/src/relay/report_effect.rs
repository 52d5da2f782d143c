//! Effects of the reports of a backend server.

/// Effect of a report on the known state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The state has changed and must be published.
    Changed,
    /// The report confirms the known state.
    Confirmed,
    /// The known state stays unchanged. It is newer, and it agrees with the report on whether
    /// requests may be sent to the incarnation.
    OutOfDate,
    /// The report is not applied, and the known state differs from it.
    Refused,
}
