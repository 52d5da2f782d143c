//! Evaluation of all stops: their phases, and whether this backend server leaves.

use std::collections::{BTreeMap, BTreeSet};

use lavenderhatch_core::drain::{LeaveReason, StopPhase, StopStatus};
use lavenderhatch_core::{MemberRecord, MemberState, NodeId, StopName, Timestamp};

use super::grant::grant_leaves;
use super::view::{StopChange, StopsDecision, StopsView};
use super::window::{Window, stop_windows};

/// Decides the phase of each stop, and whether this backend server leaves.
///
/// docs/stops.md lists the outcomes.
pub fn evaluate_stops(view: &StopsView<'_>, now: Timestamp) -> StopsDecision {
    let windows = stop_windows(view.stops);
    let granted = grant_leaves(view, &windows, now);
    let mut stops = BTreeMap::new();
    let mut leave_reason = None;
    for window in &windows {
        let phase = phase(view, window, &granted, now);
        if causes_leave(view, window, phase) {
            leave_reason =
                leave_reason.or_else(|| Some(LeaveReason::Stop(window.names[0].clone())));
        }
        for name in &window.names {
            stops.insert((*name).clone(), status(view, window, name, phase, now));
        }
    }
    if leave_reason.is_none() {
        leave_reason = keep_withdrawn_after_end(view, &mut stops, now);
    }
    if view.is_signalled {
        leave_reason = Some(LeaveReason::Signal);
    }
    let is_drained = is_drained(view, leave_reason.as_ref(), &stops);
    StopsDecision {
        leave_reason,
        is_drained,
        changes: changes(view, &stops),
        stops,
        wake_at: wake_at(&windows, now),
    }
}

fn phase(
    view: &StopsView<'_>,
    window: &Window<'_>,
    granted: &BTreeSet<&NodeId>,
    now: Timestamp,
) -> StopPhase {
    let Some(record) = view.record(window.node) else {
        return StopPhase::Planned;
    };
    if !window.has_started(now) {
        return StopPhase::Planned;
    }
    if has_ended(view, window, record) {
        return StopPhase::Drained;
    }
    if !granted.contains(window.node) {
        return StopPhase::Held;
    }
    match now >= window.deadline {
        true => StopPhase::Overdue,
        false => StopPhase::Leaving,
    }
}

/// Whether no request is in flight any more on the backend server that was to leave.
fn has_ended(view: &StopsView<'_>, window: &Window<'_>, record: &MemberRecord) -> bool {
    if !window.applies_to(record) {
        return true;
    }
    if record.id != view.own.id {
        return matches!(record.state, MemberState::Left | MemberState::Failed);
    }
    // A count of zero is conclusive only after the leave has been published, see `InFlightCounter`.
    let was_leaving = |name: &&StopName| {
        let status = view.previous.stops.get(*name);
        status.is_some_and(|status| status.phase >= StopPhase::Leaving)
    };
    let is_idle = view.in_flight == 0 && window.names.iter().any(was_leaving);
    is_idle || window.names.iter().any(|name| view.has_drained(name))
}

/// Whether the stop makes this backend server leave.
fn causes_leave(view: &StopsView<'_>, window: &Window<'_>, phase: StopPhase) -> bool {
    let applies_to_own = *window.node == view.own.id && window.applies_to(view.own);
    applies_to_own && phase >= StopPhase::Leaving
}

fn status(
    view: &StopsView<'_>,
    window: &Window<'_>,
    name: &StopName,
    phase: StopPhase,
    now: Timestamp,
) -> StopStatus {
    let previous = view.previous.stops.get(name);
    let unchanged = previous.filter(|status| status.phase == phase);
    let is_own = *window.node == view.own.id;
    StopStatus {
        backend_server: window.node.clone(),
        phase,
        since: unchanged.map_or(now, |status| status.since),
        start: window.start,
        deadline: window.deadline,
        in_flight: is_own.then_some(view.in_flight),
    }
}

/// Keeps a stop that was withdrawn after it had ended, with no request in flight and the deadline
/// passed.
///
/// The backend server may be shut down at any moment, so it accepts no new work until its daemon
/// restarts.
fn keep_withdrawn_after_end(
    view: &StopsView<'_>,
    stops: &mut BTreeMap<StopName, StopStatus>,
    now: Timestamp,
) -> Option<LeaveReason> {
    let Some(LeaveReason::Stop(name)) = &view.previous.leave_reason else {
        return None;
    };
    let status = view.previous.stops.get(name)?;
    let has_ended = status.phase == StopPhase::Drained && status.deadline <= now;
    if !has_ended || stops.contains_key(name) {
        return None;
    }
    stops.insert(name.clone(), status.clone());
    Some(LeaveReason::Stop(name.clone()))
}

fn is_drained(
    view: &StopsView<'_>,
    leave_reason: Option<&LeaveReason>,
    stops: &BTreeMap<StopName, StopStatus>,
) -> bool {
    match leave_reason {
        None => false,
        Some(LeaveReason::Stop(name)) => {
            let status = stops.get(name);
            status.is_some_and(|status| status.phase == StopPhase::Drained)
        }
        Some(LeaveReason::Signal) => {
            view.previous.is_drained || (view.previous.is_leaving() && view.in_flight == 0)
        }
    }
}

fn changes(view: &StopsView<'_>, stops: &BTreeMap<StopName, StopStatus>) -> Vec<StopChange> {
    let previous = &view.previous.stops;
    let change = |name: &StopName, status: &StopStatus| StopChange {
        name: name.clone(),
        backend_server: status.backend_server.clone(),
        from: previous.get(name).map(|status| status.phase),
        to: stops.get(name).map(|status| status.phase),
    };
    let present = stops.iter().map(|(name, status)| change(name, status));
    let withdrawn = previous
        .iter()
        .filter(|(name, _)| !stops.contains_key(*name));
    let withdrawn = withdrawn.map(|(name, status)| change(name, status));
    present
        .chain(withdrawn)
        .filter(|change| change.from != change.to && change.backend_server == view.own.id)
        .collect()
}

fn wake_at(windows: &[Window<'_>], now: Timestamp) -> Option<Timestamp> {
    let times = windows
        .iter()
        .flat_map(|window| [window.start, window.deadline]);
    times.filter(|at| *at > now).min()
}
