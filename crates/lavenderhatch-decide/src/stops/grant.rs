//! Decision on which backend servers may leave, so that each service keeps at least one.

use std::collections::{BTreeSet, HashMap};

use lavenderhatch_core::{MemberRecord, MemberState, NodeId, ServiceName, Timestamp};

use super::view::StopsView;
use super::window::Window;

/// Returns the backend servers that may leave at `now`.
///
/// Leaves are granted in the order of the windows, so that daemons with the same view grant the
/// same leaves when several stops of one service overlap. Takes one pass over the members.
pub(super) fn grant_leaves<'a>(
    view: &StopsView<'a>,
    windows: &[Window<'a>],
    now: Timestamp,
) -> BTreeSet<&'a NodeId> {
    let mut granted = BTreeSet::new();
    let started = windows.iter().filter(|window| window.has_started(now));
    let mut started = started.peekable();
    if started.peek().is_none() {
        return granted;
    }
    let mut serving = count_serving(view);
    for window in started {
        let Some(record) = view.record(window.node) else {
            continue;
        };
        let is_ungranted = !granted.contains(window.node);
        if is_ungranted && window.applies_to(record) && may_leave(view, window, record, &serving) {
            granted.insert(window.node);
            if let Some(count) = serving.get_mut(&record.service) {
                *count -= usize::from(serves(view, window.node));
            }
        }
    }
    granted
}

/// Counts the serving backend servers by service.
fn count_serving<'a>(view: &StopsView<'a>) -> HashMap<&'a ServiceName, usize> {
    let mut serving = HashMap::new();
    for record in view.members.by_id.values() {
        if serves(view, &record.id) {
            *serving.entry(&record.service).or_insert(0) += 1;
        }
    }
    serving
}

/// Whether a backend server announces that it serves, and is not about to leave because of a
/// signal.
fn serves(view: &StopsView<'_>, node: &NodeId) -> bool {
    let record = view.members.get(node.as_str());
    let is_serving = record.is_some_and(|record| record.state == MemberState::Serving);
    is_serving && !(view.is_signalled && *node == view.own.id)
}

fn may_leave(
    view: &StopsView<'_>,
    window: &Window<'_>,
    record: &MemberRecord,
    serving: &HashMap<&ServiceName, usize>,
) -> bool {
    let is_own = record.id == view.own.id;
    let has_drained = is_own && window.names.iter().any(|name| view.has_drained(name));
    // A daemon that was restarted during its stop must not serve before it knows other members.
    let knows_no_peers = is_own && !view.members.is_joined && view.members.by_id.len() <= 1;
    // A leave cannot be held back if a signal caused it or if the daemon is no longer running.
    let is_signalled = is_own && view.is_signalled;
    let is_gone = is_signalled || record.state > MemberState::Leaving;
    let count = serving.get(&record.service).copied().unwrap_or(0);
    let another_serves = count > usize::from(serves(view, window.node));
    has_drained || knows_no_peers || is_gone || another_serves
}
