//! Periodic work of the membership protocol.

use std::net::SocketAddr;
use std::time::Duration;

use lavenderhatch_core::{Incarnation, MemberState, NodeId, Timestamp};

use super::detector::SUSPECT_AFTER;
use super::state::{HeldVersion, Membership};
use super::table::MemberEvent;
use super::version_reports::{ZoneStatus, aggregator_of, group_count};
use crate::message::{HeldReport, Suspicion};

/// Interval between two heartbeats on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Silence after which the passive side of a link sends a heartbeat itself.
const OVERDUE_AFTER: Duration = Duration::from_millis(1500);
/// If more time than this passes between two ticks, this daemon was paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(1500);
/// Interval at which a suspicion is repeated.
const SUSPICION_REPEAT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two heartbeats to failed members, which detect those that are back.
const PROBE_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between two reports of the version in force.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between two writes of the zone's status.
const STATUS_INTERVAL: Duration = Duration::from_secs(5);
/// How long the set of links must be unchanged before the first peers count as known.
const LINKS_STABLE_TIME: Duration = Duration::from_secs(1);

/// A member to which a heartbeat is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatTarget {
    /// The member.
    pub id: NodeId,
    /// Address of the member.
    pub addr: SocketAddr,
    /// Report of this daemon's group, if the member is the first reader of the zone.
    pub report: Option<HeldReport>,
}

/// Actions to take after a tick.
#[derive(Clone, Debug, Default)]
pub struct TickActions {
    /// Heartbeats to send.
    pub heartbeats: Vec<HeartbeatTarget>,
    /// Address to which the version in force is to be announced, as a report.
    pub report_to: Option<SocketAddr>,
    /// Whether to read the contacts from the platform.
    pub reads_contacts: bool,
    /// Zone status to write, if this daemon is the first reader of its zone and the write is due.
    pub status: Option<ZoneStatus>,
    /// Changes of member records.
    pub events: Vec<MemberEvent>,
}

impl Membership {
    /// Does the periodic work. To be called about four times a second.
    ///
    /// `random` is uniform over all `u64` values.
    pub fn tick(&mut self, held: HeldVersion, now: Timestamp, random: u64) -> TickActions {
        self.restart_timers_after_pause(now);
        let mut actions = TickActions {
            events: self.detect_failures(now),
            ..TickActions::default()
        };
        self.update_is_joined(held, now);
        self.schedule_heartbeats(&mut actions, now);
        self.schedule_suspicions(&mut actions);
        self.probe_failed_member(&mut actions, now, random);
        self.schedule_report(&mut actions, held, now);
        let members = self.table.by_id.len();
        match self.is_isolated(now) {
            true => actions.reads_contacts = self.join.start_if_due(now, members, random),
            false => self.join.reset(now, members, random),
        }
        self.evict_departed(now);
        actions
    }

    /// Whether no message has arrived on any link within the last [`SUSPECT_AFTER`].
    pub fn is_isolated(&self, now: Timestamp) -> bool {
        let is_recent = |at: Timestamp| now.since(at) <= SUSPECT_AFTER;
        !self
            .links
            .values()
            .filter_map(|link| link.last_message_at)
            .any(is_recent)
    }

    /// Restarts the silence timers of all links after a pause of this daemon, in which it could not
    /// process any message.
    fn restart_timers_after_pause(&mut self, now: Timestamp) {
        if now.since(self.last_tick) > PAUSE_THRESHOLD {
            self.links
                .values_mut()
                .for_each(|link| link.watched_since = now);
        }
        self.last_tick = now;
    }

    /// Suspects silent links, and declares members failed that enough observers suspect.
    fn detect_failures(&mut self, now: Timestamp) -> Vec<MemberEvent> {
        self.detector.expire(now);
        self.suspect_silent_links(now);
        let is_isolated = self.is_isolated(now);
        let mut events = Vec::new();
        for id in self.detector.suspected_members() {
            let Some(record) = self.table.by_id.get(&id) else {
                continue;
            };
            let observers = self.table.rings.neighbours(&id, &record.zone);
            if !self.detector.is_failure_confirmed(record, &observers, now) {
                continue;
            }
            // A daemon that receives no messages cannot distinguish a failure of all others from
            // being cut off itself.
            let state = match is_isolated {
                true => MemberState::Unreachable,
                false => MemberState::Failed,
            };
            events.extend(self.raise_state(&id, state, now));
        }
        events.extend(self.mark_cut_off_zones(&events.clone(), now));
        for id in self.table.unreachable_in_live_zone(now) {
            events.extend(self.fail_unreachable(&id, now));
        }
        if !events.is_empty() {
            self.refresh_links(now);
        }
        events
    }

    fn suspect_silent_links(&mut self, now: Timestamp) {
        let is_silent = |at: Timestamp| now.since(at) >= SUSPECT_AFTER;
        let silent = self
            .links
            .iter()
            .filter(|(_, link)| is_silent(link.silent_since()));
        let silent: Vec<NodeId> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            let Some(record) = self.table.by_id.get(&id) else {
                continue;
            };
            let is_known = self.detector.has_recent_suspicion(
                &id,
                &self.own.id,
                SUSPICION_REPEAT_INTERVAL,
                now,
            );
            if record.state > MemberState::Leaving || is_known {
                continue;
            }
            let suspicion = self.own_suspicion(&id, record.incarnation, false);
            self.detector.record_suspicion(&suspicion, now);
            self.queue_for_observers(&suspicion);
        }
    }

    fn own_suspicion(
        &self,
        id: &NodeId,
        incarnation: Incarnation,
        is_withdrawn: bool,
    ) -> Suspicion {
        Suspicion {
            node: id.clone(),
            incarnation,
            observer: self.own.id.clone(),
            is_withdrawn,
        }
    }

    /// Withdraws this daemon's suspicion of a member after a message of it has arrived.
    pub(super) fn withdraw_suspicion(
        &mut self,
        id: &NodeId,
        incarnation: Incarnation,
        now: Timestamp,
    ) {
        if !self.detector.has_suspicion(id, &self.own.id) {
            return;
        }
        let suspicion = self.own_suspicion(id, incarnation, true);
        self.detector.record_suspicion(&suspicion, now);
        self.queue_for_observers(&suspicion);
    }

    /// Queues a suspicion for the other observers of the member.
    ///
    /// Suspicions are not gossiped. All other members only get the record of a declared failure.
    fn queue_for_observers(&mut self, suspicion: &Suspicion) {
        let Some(record) = self.table.by_id.get(&suspicion.node) else {
            return;
        };
        let observers = self.table.rings.neighbours(&suspicion.node, &record.zone);
        for observer in observers.into_iter().filter(|id| *id != self.own.id) {
            let queued = self.pending_suspicions.entry(observer).or_default();
            queued.retain(|other| other.node != suspicion.node);
            queued.push(suspicion.clone());
        }
    }

    fn schedule_suspicions(&mut self, actions: &mut TickActions) {
        let ids: Vec<NodeId> = self.pending_suspicions.keys().cloned().collect();
        for id in ids {
            match self.table.by_id.contains_key(&id) {
                true => self.schedule_heartbeat(actions, &id, None),
                false => drop(self.pending_suspicions.remove(&id)),
            }
        }
    }

    fn schedule_heartbeat(
        &self,
        actions: &mut TickActions,
        id: &NodeId,
        report: Option<HeldReport>,
    ) {
        let present = actions
            .heartbeats
            .iter_mut()
            .find(|target| target.id == *id);
        if let Some(target) = present {
            target.report = report.or(target.report.take());
            return;
        }
        let Some(record) = self.table.by_id.get(id) else {
            return;
        };
        actions.heartbeats.push(HeartbeatTarget {
            id: id.clone(),
            addr: record.peer_addr,
            report,
        });
    }

    /// Schedules the heartbeats that are due. Only one side of each link sends heartbeats and the
    /// other answers, which halves the number of messages.
    fn schedule_heartbeats(&mut self, actions: &mut TickActions, now: Timestamp) {
        let own = self.own.id.clone();
        let is_due = |id: &NodeId, link: &super::link::Link| {
            let Some(at) = link.sent_at else { return true };
            let is_overdue = now.since(link.silent_since()) >= OVERDUE_AFTER;
            (own < *id || is_overdue) && now.since(at) >= HEARTBEAT_INTERVAL
        };
        let due = self.links.iter().filter(|(id, link)| is_due(id, link));
        let due: Vec<NodeId> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.schedule_heartbeat(actions, &id, None);
            if let Some(link) = self.links.get_mut(&id) {
                link.sent_at = Some(now);
            }
        }
    }

    fn probe_failed_member(&mut self, actions: &mut TickActions, now: Timestamp, random: u64) {
        if now.since(self.last_probe) < PROBE_INTERVAL {
            return;
        }
        self.last_probe = now;
        let failed = self
            .table
            .random_failed(random)
            .map(|record| record.id.clone());
        if let Some(id) = failed {
            self.schedule_heartbeat(actions, &id, None);
        }
    }

    fn schedule_report(&mut self, actions: &mut TickActions, held: HeldVersion, now: Timestamp) {
        if now.since(self.last_report) < REPORT_INTERVAL {
            return;
        }
        self.last_report = now;
        self.reports.expire(now);
        let live = self.table.live_in_zone_of(&self.own).count();
        let leaders: Vec<NodeId> = self
            .table
            .live_in_zone_of(&self.own)
            .take(group_count(live))
            .cloned()
            .collect();
        let leaders: Vec<&NodeId> = leaders.iter().collect();
        let is_leader = leaders.contains(&&self.own.id);
        if let Some(to) = aggregator_of(&leaders, &self.own.id) {
            let report = is_leader.then(|| self.group_report(held, &leaders));
            return self.send_report(actions, to, report, now);
        }
        if now.since(self.last_status) >= STATUS_INTERVAL {
            self.last_status = now;
            let report = self.group_report(held, &leaders);
            actions.status = Some(self.status(self.reports.with_groups(report), live));
        }
    }

    /// Reports the version in force with the shortest sufficient message.
    ///
    /// A link needs none, because heartbeats hold the version already. An aggregator that knows
    /// this daemon gets an announcement, and any other one a heartbeat.
    fn send_report(
        &mut self,
        actions: &mut TickActions,
        to: &NodeId,
        report: Option<HeldReport>,
        now: Timestamp,
    ) {
        let is_link = self
            .links
            .get(to)
            .is_some_and(|link| link.has_recent_message(now));
        if report.is_none() && is_link {
            return;
        }
        if report.is_some() || self.reported_to.as_ref() != Some(to) {
            self.reported_to = Some(to.clone());
            return self.schedule_heartbeat(actions, to, report);
        }
        actions.report_to = self.record(to).map(|record| record.peer_addr);
    }

    fn status(&self, report: HeldReport, live: usize) -> ZoneStatus {
        ZoneStatus {
            zone: self.own.zone.clone(),
            author: self.own.id.clone(),
            lowest: report.lowest,
            members: live as u32,
            reported: report.members,
            lagging: report.lagging,
        }
    }

    /// Determines whether the first peers have answered.
    ///
    /// This is so once each link has answered or has had the time to, and the set of links is
    /// stable. Only then is the floor of a restarted daemon complete. A daemon that has a version
    /// in force does not wait.
    fn update_is_joined(&mut self, held: HeldVersion, now: Timestamp) {
        if self.is_joined || held.version.0 > 0 {
            self.is_joined = true;
            return;
        }
        let has_had_time = |at: Timestamp| now.since(at) >= SUSPECT_AFTER;
        let mut links = self.links.values();
        let is_answered = self
            .links
            .values()
            .any(|link| link.last_message_at.is_some());
        let is_complete =
            links.all(|link| link.last_message_at.is_some() || has_had_time(link.watched_since));
        let is_steady = now.since(self.links_changed_at) >= LINKS_STABLE_TIME;
        self.is_joined = is_answered && is_complete && is_steady;
    }
}
