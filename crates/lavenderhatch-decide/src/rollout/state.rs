//! The stages of a rollout, as its leader goes through them.

use std::net::SocketAddr;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::exposure_ledger::{ExposureBounds, ExposureLedger};
use super::focus::Focus;
use super::leader_state::LeaderState;
use super::rollout_order::RolloutOrder;
use super::route_counts::RouteCounts;
use super::servers::Servers;
use super::stop_reason::StopReason;
use super::version_comparison::{Fault, Verdict, VersionComparison};
use super::version_report::{VersionLease, VersionReport};
use super::version_rule::{RuleId, Stage, VersionRule};

/// Part of the duration after which backend servers of the new version get a full load in turn.
const GROWING_AT: f64 = 0.35;
/// Part of the duration after which all requests move. The rest is for requests that run on the old
/// version and for the writes to the store.
const ALL_AT: f64 = 0.7;
/// Part of the duration for which the new version must have been there before all requests move.
const MIN_TRIAL: f64 = 0.15;
/// Part of the duration for which all requests go to the new version before it is completed. A version
/// that fails only then is noticed within two questions to the daemons.
const ALL_TIME: f64 = 0.085;
/// Part of the duration after which that time is cut short.
const HURRY_AT: f64 = 0.85;
/// Part of the requests that go to the new version at first, while the limits allow it.
const CANARY_SHARE: f64 = 0.03;
/// Largest share before all requests move.
const MAX_SHARE: f64 = 0.75;
/// Load of a backend server of the new version, relative to one of the old version.
const FULL_LOAD: f64 = 1.2;
/// Requests that are granted at least, so that a service with few requests tries the new version.
const MIN_GRANT: u64 = 4;
/// Requests per second up to which the share stays at its largest while a grant lasts, because each
/// request is needed to compare the versions.
const LOW_RATE: f64 = 8.0;
/// Period over which the requests of the service are counted for its rate.
const RATE_PERIOD: Duration = Duration::from_secs(1);
/// Time ahead for which requests are reserved in the store, so that a rollout goes on while the
/// store is away.
const RESERVATION_TIME: f64 = 3.0;
/// Interval between two questions before all requests have moved.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two questions while the new version gets all requests, when a bad version costs
/// most.
const FAST_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Relative change of the share that makes a new rule.
const SHARE_STEP: f64 = 0.2;

/// A rollout as its leader sees it.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: RolloutOrder,
    id: RuleId,
    stage: Stage,
    started_at: Timestamp,
    stage_since: Timestamp,
    stop_reason: Option<StopReason>,
    is_deposed: bool,
    /// Whether the store may hold that the rollout is completed, so that it cannot be given up.
    is_sealed: bool,
    servers: Servers,
    ledger: ExposureLedger,
    comparison: VersionComparison,
    /// Requests that have reached the service, as far as its daemons have counted them.
    reached: u64,
    /// Requests per second once they are known, and the start of the period in which they are counted.
    rate: Option<f64>,
    rate_from: (Timestamp, u64),
    target_since: Option<Timestamp>,
    share: f64,
    focus: Focus,
}

impl Rollout {
    /// Starts or continues a rollout as the leader of `term`.
    ///
    /// `started_at` is when the order was first seen. `stored` is what the predecessor has stored
    /// for this order.
    pub fn new(
        order: RolloutOrder,
        bounds: ExposureBounds,
        term: u64,
        started_at: Timestamp,
        stored: Option<&LeaderState>,
        now: Timestamp,
    ) -> Self {
        let stored = stored.filter(|stored| stored.order == order.number);
        let elapsed_ms = stored.map_or(0, |stored| stored.elapsed_ms);
        let stored_start = now - Duration::from_millis(elapsed_ms);
        let stage = match stored.map(|stored| stored.stage) {
            // Checks once more that the old version is idle.
            Some(Stage::Drained) => Stage::All,
            stage => stage.unwrap_or(Stage::Canary),
        };
        Self {
            id: RuleId {
                order: order.number,
                term,
                step: 0,
            },
            stage,
            started_at: started_at.min(stored_start),
            stage_since: now,
            stop_reason: (stage == Stage::RolledBack).then_some(StopReason::EarlierLeader),
            is_deposed: false,
            is_sealed: false,
            servers: Servers::default(),
            ledger: ExposureLedger::new(bounds, stored.map_or(0, |stored| stored.reserved)),
            comparison: VersionComparison::default(),
            reached: 0,
            rate: None,
            rate_from: (now, 0),
            // A successor that has to move all requests late has no time for another trial.
            target_since: matches!(stage, Stage::Growing | Stage::All).then_some(started_at),
            share: 0.0,
            focus: Focus::new(now),
            order,
        }
    }

    /// Sets the daemons of the service: name, address and recorded version of each.
    pub fn set_servers<'a>(
        &mut self,
        servers: impl Iterator<Item = (&'a str, SocketAddr, &'a str)>,
        now: Timestamp,
    ) {
        self.servers.set(servers, now);
    }

    /// Returns the daemons to ask, with their addresses.
    pub fn servers(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.servers.addrs()
    }

    /// Applies the answer of a daemon.
    pub fn record_report(&mut self, name: &str, report: VersionReport, now: Timestamp) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let is_target = report.version == self.order.target;
        let earlier = server.last.as_ref();
        let earlier = earlier.filter(|last| last.epoch == report.epoch);
        for (class, counts) in &report.routes {
            let before = earlier.and_then(|last| last.routes.iter().find(|(of, _)| of == class));
            let counts = *counts - before.map_or(RouteCounts::default(), |(_, counts)| *counts);
            self.reached += counts.requests;
            let server = is_target.then_some(name);
            self.comparison.record(*class, server, counts, now);
        }
        let follows_all = report.rule.as_ref().is_some_and(|rule| {
            rule.id.order == self.id.order && rule.id.term == self.id.term && rule.stage.is_all()
        });
        server.idle_answers = match follows_all && report.in_flight == 0 {
            true => server.idle_answers + 1,
            false => 0,
        };
        if let Some(rule) = report.rule.as_ref().filter(|rule| rule.id > self.id) {
            self.is_deposed |= rule.id.term > self.id.term || rule.id.order > self.id.order;
        }
        if is_target {
            self.ledger.record(name, &report);
            if report.is_serving {
                self.target_since.get_or_insert(now);
            }
        }
        let rule = report.rule.as_ref();
        let ended = rule.filter(|rule| rule.id.order == self.id.order && rule.stage.is_final());
        let end = ended.map(|rule| rule.stage);
        server.version.clone_from(&report.version);
        server.heard_at = now;
        server.last = Some(report);
        self.adopt(end, now);
    }

    /// Continues the end of the rollout that an earlier leader has begun.
    fn adopt(&mut self, end: Option<Stage>, now: Timestamp) {
        match end {
            _ if self.stage.is_final() || self.is_sealed => {}
            Some(Stage::RolledBack) => self.roll_back(StopReason::EarlierLeader, now),
            Some(Stage::Completed) => {
                self.seal();
                self.enter(Stage::Drained, now);
            }
            _ => {}
        }
    }

    /// Decides on the stage, the share and the grants. Call after each round of answers.
    pub fn step(&mut self, now: Timestamp) {
        self.update_rate(now);
        if self.stage.is_final() || self.is_sealed {
            return;
        }
        let of_target = self.servers.usable(&self.order.target, now).len();
        let verdict = self.comparison.verdict(of_target);
        if let Verdict::Worse(worse) = verdict {
            return self.roll_back(StopReason::Worse(worse), now);
        }
        // Another backend server shows whether it is the version or the machine. One that is slow
        // under load needs its time.
        let is_suspect = verdict != Verdict::NotWorse;
        self.ledger.set_confirming(is_suspect);
        let is_urgent = verdict == Verdict::Suspect(Fault::Failures);
        self.focus.set_urgent(is_urgent);
        let elapsed = now.since(self.started_at);
        let has_passed = |part: f64| elapsed >= self.order.duration.mul_f64(part);
        let trial = self.order.duration.mul_f64(MIN_TRIAL);
        let is_tried = self.target_since.is_some_and(|at| now.since(at) >= trial);
        let all_time = self.order.duration.mul_f64(ALL_TIME);
        let has_been_all = now.since(self.stage_since) >= all_time && !is_suspect;
        let is_proven = has_been_all || has_passed(HURRY_AT);
        let (servers, target) = (&self.servers, &self.order.target);
        let has_capacity = |is_late| servers.has_capacity(target, is_late, now);
        match self.stage {
            Stage::Canary | Stage::Growing if has_passed(1.0) => {
                return self.roll_back(StopReason::DeadlinePassed, now);
            }
            Stage::Canary if has_passed(GROWING_AT) => self.enter(Stage::Growing, now),
            Stage::Growing
                if has_passed(ALL_AT) && is_tried && has_capacity(has_passed(HURRY_AT)) =>
            {
                self.enter(Stage::All, now);
            }
            Stage::All if is_proven && servers.is_drained(target, self.stage_since, now) => {
                self.enter(Stage::Drained, now)
            }
            _ => {}
        }
        self.grant(now);
    }

    /// Keeps the rollout from being given up. Call before the store is told that it is completed,
    /// because the daemons that read so use the new version from then on.
    pub fn seal(&mut self) {
        self.is_sealed = true;
    }

    /// Ends the rollout after the store holds that the new version has replaced the old one.
    pub fn complete(&mut self, now: Timestamp) {
        self.enter(Stage::Completed, now);
    }

    /// Gives the rollout up because another order has replaced this one.
    pub fn cancel(&mut self, now: Timestamp) {
        if !self.stage.is_final() && !self.is_sealed {
            self.roll_back(StopReason::Superseded, now);
        }
    }

    /// Returns the version that the order names.
    pub fn target(&self) -> &str {
        &self.order.target
    }

    /// Returns the rule that the daemons follow.
    pub fn rule(&self) -> VersionRule {
        VersionRule {
            id: self.id,
            stage: self.stage,
            base: self.order.base.clone(),
            target: self.order.target.clone(),
            share: match self.stage {
                Stage::All | Stage::Drained | Stage::Completed => 1.0,
                Stage::RolledBack => 0.0,
                Stage::Canary | Stage::Growing => self.share,
            },
            focus: self.focus_addr().filter(|_| !self.stage.is_all()),
        }
    }

    /// Returns the lease for the next question to a daemon.
    pub fn lease(&mut self, name: &str) -> Option<VersionLease> {
        if !self.stage.is_trial() || self.focus.name() != Some(name) {
            return None;
        }
        let last = self.servers.get(name)?.last.as_ref()?;
        self.ledger.lease(name, last)
    }

    /// Returns what to store for a successor.
    pub fn leader_state(&self, leader: &str, lease: Duration, now: Timestamp) -> LeaderState {
        let ahead = self.reached + (self.rate.unwrap_or(0.0) * RESERVATION_TIME) as u64;
        LeaderState {
            leader: leader.to_owned(),
            term: self.id.term,
            lease_ms: lease.as_millis() as u64,
            order: self.order.number,
            base: self.order.base.clone(),
            target: self.order.target.clone(),
            stage: self.stage,
            elapsed_ms: now.since(self.started_at).as_millis() as u64,
            reserved: self.ledger.to_reserve(self.stage, ahead),
        }
    }

    /// Records that the store holds a state.
    pub fn record_stored(&mut self, state: &LeaderState) {
        self.ledger.set_reserved(state.reserved);
    }

    /// Returns the stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns why the rollout was given up, if it was.
    pub fn stop_reason(&self) -> Option<StopReason> {
        self.stop_reason
    }

    /// Whether another daemon has become the leader.
    pub fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Returns the requests granted to the new version so far.
    pub fn granted(&self) -> u64 {
        self.ledger.granted()
    }

    /// Returns the time until the next question to the daemons.
    pub fn poll_interval(&self) -> Duration {
        match self.stage.is_all() {
            true => FAST_POLL_INTERVAL,
            false => POLL_INTERVAL,
        }
    }

    fn update_rate(&mut self, now: Timestamp) {
        let (from, reached) = self.rate_from;
        let period = now.since(from);
        if period >= RATE_PERIOD {
            self.rate = Some((self.reached - reached) as f64 / period.as_secs_f64());
            self.rate_from = (now, self.reached);
        }
    }

    fn grant(&mut self, now: Timestamp) {
        if self.stage.is_all() {
            return;
        }
        let usable = self.servers.usable(&self.order.target, now);
        self.id.step += u64::from(self.focus.choose(&usable, now));
        let Some(focus) = self.focus.name().map(str::to_owned) else {
            return self.set_share(0.0);
        };
        let rate = self.rate.unwrap_or(0.0);
        let old = self.servers.count_other(&self.order.target);
        let full_load = rate / old.max(1) as f64 * FULL_LOAD;
        let load = match self.stage {
            Stage::Canary => rate * CANARY_SHARE,
            _ => full_load,
        };
        // Covers the time until the next grant has arrived.
        let wanted = load * 2.0 * POLL_INTERVAL.as_secs_f64();
        let wanted = (wanted.ceil() as u64).max(MIN_GRANT);
        self.ledger.grant(&focus, wanted, self.stage, self.reached);
        let left = self.ledger.outstanding();
        let share = match self.rate {
            None => CANARY_SHARE,
            Some(rate) if rate <= LOW_RATE && left > 0 => MAX_SHARE,
            Some(rate) => left as f64 / rate.max(1.0),
        };
        self.set_share(share.min(MAX_SHARE));
    }

    fn focus_addr(&self) -> Option<SocketAddr> {
        let focus = self.focus.name()?;
        self.servers.get(focus).map(|server| server.addr)
    }

    fn set_share(&mut self, share: f64) {
        if (share - self.share).abs() > SHARE_STEP * self.share {
            self.share = share;
            self.id.step += 1;
        }
    }

    fn enter(&mut self, stage: Stage, now: Timestamp) {
        self.stage = stage;
        self.stage_since = now;
        // A backend server that gets a full load gets it for the whole time.
        self.focus.restart(now);
        self.id.step += 1;
    }

    fn roll_back(&mut self, reason: StopReason, now: Timestamp) {
        self.stop_reason = Some(reason);
        self.enter(Stage::RolledBack, now);
    }
}
