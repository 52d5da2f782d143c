//! Runs planned stops and the shutdown after a signal.
//!
//! Writes the `drains` section of the blackboard.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, after, bounded, never, select};
use eyre::Result;
use lavenderhatch_core::audit::{AuditAction, AuditEvent};
use lavenderhatch_core::blackboard::{SectionReader, SectionWriter};
use lavenderhatch_core::drain::{Drains, LeaveReason, StopPhase};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{ConfigSnapshot, MemberRecord, Timestamp};
use lavenderhatch_decide::stops::{
    Departure, StopChange, StopsDecision, StopsView, evaluate_departure, evaluate_stops,
};
use tracing::info;

use super::audit::AuditSender;
use super::handle::ControllerHandle;

/// Longest interval between two evaluations.
///
/// It bounds the effect of a step of the system clock, and the time until a stop on hold continues.
/// Changes of members trigger no evaluation, because members are published with each heartbeat.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between two evaluations while this backend server leaves and requests may be in flight.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);

/// Asks the stop controller to leave permanently.
#[derive(Clone, Debug)]
pub struct LeaveSender(Sender<Sender<()>>);

impl LeaveSender {
    /// Starts to leave. The returned channel receives a message once nothing is in flight and no
    /// new request can start.
    pub fn leave(&self) -> Receiver<()> {
        let (done, rx) = bounded(1);
        // A full queue means that an earlier call has asked for it already.
        let _ = self.0.try_send(done);
        rx
    }
}

/// Controller of planned stops and of the permanent leave.
#[derive(Debug)]
pub struct StopController {
    /// Member record with which this daemon started.
    pub own: MemberRecord,
    /// The configuration in force.
    pub config: SectionReader<Option<ConfigSnapshot>>,
    /// Known members and their states.
    pub members: SectionReader<Members>,
    /// Writer of the `drains` section, which this controller owns.
    pub drains: SectionWriter<Drains>,
    /// Audit trail, for changed stops.
    pub audit: AuditSender,
    /// Requests to leave permanently, each with the channel to notify.
    pub leave_requests: Receiver<Sender<()>>,
}

/// Permanent leave that is under way.
struct PendingLeave {
    since: Instant,
    done: Sender<()>,
}

impl PendingLeave {
    fn new(done: Sender<()>) -> Self {
        let since = Instant::now();
        Self { since, done }
    }
}

impl StopController {
    /// Creates the queue of requests to leave permanently.
    pub fn channel() -> (LeaveSender, Receiver<Sender<()>>) {
        let (tx, rx) = bounded(1);
        (LeaveSender(tx), rx)
    }

    /// Starts the controller thread.
    pub fn spawn(self) -> Result<ControllerHandle> {
        ControllerHandle::spawn("stop", move |stop| self.run(&stop))
    }

    fn run(self, stop: &Receiver<()>) {
        let config_changed = self.config.subscribe();
        let mut pending_leave: Option<PendingLeave> = None;
        loop {
            let now = Timestamp::from_system_clock();
            let wait = self.evaluate(pending_leave.is_some(), now);
            if pending_leave
                .as_ref()
                .is_some_and(|leave| self.advance_leave(leave))
            {
                return;
            }
            let leave_requests = match pending_leave {
                None => self.leave_requests.clone(),
                Some(_) => never(),
            };
            select! {
                recv(stop) -> _ => return,
                recv(leave_requests) -> done => match done {
                    Ok(done) => pending_leave = Some(PendingLeave::new(done)),
                    Err(_) => return,
                },
                recv(config_changed) -> _ => {}
                recv(after(wait)) -> _ => {}
            }
        }
    }

    /// Evaluates all stops and publishes the result. Returns the time until the next evaluation.
    fn evaluate(&self, is_signalled: bool, now: Timestamp) -> Duration {
        let config = self.config.load();
        let no_stops = BTreeMap::new();
        let config = config.as_ref().as_ref();
        let previous = self.drains.load();
        let members = self.members.load();
        let view = StopsView {
            own: &self.own,
            stops: config.map_or(&no_stops, |config| config.mesh.stops()),
            members: &members,
            previous: &previous,
            is_signalled,
            in_flight: previous.in_flight.count(),
        };
        let decision = evaluate_stops(&view, now);
        for change in &decision.changes {
            self.report(change, now);
        }
        let wait = next_wait(&decision, now);
        self.publish(&previous, decision);
        wait
    }

    fn publish(&self, previous: &Drains, decision: StopsDecision) {
        let is_same = decision.leave_reason == previous.leave_reason
            && decision.is_drained == previous.is_drained
            && decision.stops == previous.stops;
        if is_same {
            return;
        }
        if decision.leave_reason != previous.leave_reason {
            log_leave_reason(decision.leave_reason.as_ref());
        }
        self.drains.publish(Drains {
            leave_reason: decision.leave_reason,
            is_drained: decision.is_drained,
            in_flight: Arc::clone(&previous.in_flight),
            stops: decision.stops,
        });
    }

    /// Takes the next step of the leave, and notifies the sender of the request when it is done.
    ///
    /// Returns whether the leave is complete: no request is in flight and none can start.
    fn advance_leave(&self, leave: &PendingLeave) -> bool {
        let in_flight = &self.drains.load().in_flight;
        let has_peers = !self.members.load().linked_peers.is_empty();
        let is_complete = match evaluate_departure(leave.since.elapsed(), has_peers) {
            Departure::Wait => false,
            Departure::ExitIfIdle => in_flight.try_close(),
            Departure::RefuseThenExit => {
                in_flight.close();
                in_flight.count() == 0
            }
        };
        if is_complete {
            info!("stop: nothing is in flight");
            let _ = leave.done.try_send(());
        }
        is_complete
    }

    fn report(&self, change: &StopChange, now: Timestamp) {
        let phase = |phase: Option<StopPhase>| phase.map_or("none", StopPhase::as_str);
        let reason = match change.to {
            Some(to) => format!("{} after {}", to.as_str(), phase(change.from)),
            None => format!("withdrawn after {}", phase(change.from)),
        };
        info!("stop: {} of {}: {reason}", change.name, self.own.id);
        self.audit.send(AuditEvent {
            at: now,
            actor: self.own.id.to_string(),
            action: AuditAction::StopChanged,
            object: change.name.to_string(),
            from: None,
            to: None,
            reason,
        });
    }
}

/// Returns the time until the next evaluation is due.
fn next_wait(decision: &StopsDecision, now: Timestamp) -> Duration {
    if decision.leave_reason.is_some() {
        return DRAIN_INTERVAL;
    }
    let next = decision.wake_at.map_or(IDLE_INTERVAL, |at| at.since(now));
    next.min(IDLE_INTERVAL)
}

fn log_leave_reason(reason: Option<&LeaveReason>) {
    match reason {
        None => info!("stop: serving again"),
        Some(LeaveReason::Signal) => info!("stop: leaving for a signal"),
        Some(LeaveReason::Stop(name)) => info!("stop: leaving for {name}"),
    }
}
