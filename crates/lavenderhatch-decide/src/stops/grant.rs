//! Which backend servers may leave while their service keeps at least one.

use std::collections::BTreeSet;

use lavenderhatch_core::{MemberRecord, MemberState, NodeId, Timestamp};

use super::view::StopsView;
use super::window::Window;

/// Backend servers that may leave at `now`.
///
/// Stops are granted in the order of the windows, so that daemons with the same view let the same
/// backend servers go when stops of one service meet.
pub(super) fn granted<'a>(
    view: &StopsView<'a>,
    windows: &[Window<'a>],
    now: Timestamp,
) -> BTreeSet<&'a NodeId> {
    let mut granted = BTreeSet::new();
    for window in windows.iter().filter(|window| window.has_started(now)) {
        let Some(record) = view.record(window.node) else {
            continue;
        };
        if window.concerns(record) && may_leave(view, window, record, &granted) {
            granted.insert(window.node);
        }
    }
    granted
}

fn may_leave(
    view: &StopsView<'_>,
    window: &Window<'_>,
    record: &MemberRecord,
    granted: &BTreeSet<&NodeId>,
) -> bool {
    let is_own = record.id == view.own.id;
    let has_drained = is_own && window.names.iter().any(|name| view.has_drained(name));
    let is_running = record.state <= MemberState::Leaving;
    has_drained || !is_running || another_serves(view, record, granted)
}

/// Whether the service keeps a backend server other than `leaver`.
fn another_serves(
    view: &StopsView<'_>,
    leaver: &MemberRecord,
    granted: &BTreeSet<&NodeId>,
) -> bool {
    let others = view.members.by_id.values();
    let mut others = others.filter(|other| other.service == leaver.service);
    others.any(|other| {
        let is_signalled = view.is_signalled && other.id == view.own.id;
        other.state == MemberState::Serving
            && other.id != leaver.id
            && !granted.contains(&other.id)
            && !is_signalled
    })
}
