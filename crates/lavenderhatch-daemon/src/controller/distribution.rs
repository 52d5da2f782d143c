//! Distribution of the configuration: pulls newer versions, puts them in force and serves them.
//!
//! Writes the `config` section of the blackboard.

use std::net::SocketAddr;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded, select, tick};
use eyre::Result;
use lavenderhatch_core::audit::{AuditAction, AuditEvent};
use lavenderhatch_core::blackboard::{SectionReader, SectionWriter};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{ConfigSnapshot, NodeId, Timestamp, Version};
use lavenderhatch_decide::distribution::{
    DeltaLog, PullResult, Puller, TransferLimiter, UpdateAction, UpdateRefusal, evaluate_update,
};
use lavenderhatch_decide::message::{Update, UpdateRequest, Whole};
use tracing::{debug, info, warn};

use super::audit::AuditSender;
use super::handle::ControllerHandle;
use super::monotonic_clock::MonotonicClock;
use crate::peer::{DistributionRequest, PeerCommand, PeerLinks, PeerReply};

/// Interval between two checks for a member that holds a newer version.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a peer to acknowledge a version that was read from the platform.
const ACK_TIMEOUT: Duration = Duration::from_millis(300);

/// Controller that distributes the configuration.
#[derive(Debug)]
pub struct DistributionController {
    /// Id of this daemon.
    pub own: NodeId,
    /// Known members and the versions that they report.
    pub members: SectionReader<Members>,
    /// Writer of the `config` section, which this controller owns.
    pub config: SectionWriter<Option<ConfigSnapshot>>,
    /// Announcements and update requests of peers.
    pub requests: Receiver<DistributionRequest>,
    /// Versions that the platform reader has read.
    pub platform_updates: Receiver<Whole>,
    /// Links to peers.
    pub links: PeerLinks,
    /// Audit trail, for applied versions and refused updates.
    pub audit: AuditSender,
}

impl DistributionController {
    /// Starts the controller thread.
    pub fn spawn(self) -> Result<ControllerHandle> {
        ControllerHandle::spawn("distribution", move |stop| EventLoop::new(self).run(&stop))
    }
}

/// Origin of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UpdateSource {
    /// A peer. It holds the version too, so a restart of this daemon does not lose it.
    Peer,
    /// The platform. Possibly no other daemon holds the version yet.
    Platform,
}

/// State of the controller thread.
struct EventLoop {
    cx: DistributionController,
    clock: MonotonicClock,
    log: DeltaLog,
    puller: Puller,
    transfers: TransferLimiter,
    updates_tx: Sender<PeerReply<Update>>,
    updates: Receiver<PeerReply<Update>>,
    /// Member to which the last update request was sent, until it answers.
    last_request: Option<(SocketAddr, NodeId)>,
    /// Version that waits for the acknowledgement of a peer, and the end of that wait.
    ///
    /// If a daemon put a version in force that no peer knows and was then restarted while the
    /// platform is down, it would start with an older version.
    pending: Option<(ConfigSnapshot, Timestamp)>,
    acks_tx: Sender<PeerReply<Version>>,
    acks: Receiver<PeerReply<Version>>,
}

impl EventLoop {
    fn new(cx: DistributionController) -> Self {
        let (updates_tx, updates) = bounded(16);
        let (acks_tx, acks) = bounded(256);
        Self {
            cx,
            clock: MonotonicClock::start(),
            log: DeltaLog::default(),
            puller: Puller::default(),
            transfers: TransferLimiter::default(),
            updates_tx,
            updates,
            last_request: None,
            pending: None,
            acks_tx,
            acks,
        }
    }

    fn run(mut self, stop: &Receiver<()>) {
        let members_changed = self.cx.members.subscribe();
        let ticks = tick(TICK_INTERVAL);
        loop {
            select! {
                recv(stop) -> _ => return,
                recv(self.cx.requests) -> req => match req {
                    Ok(req) => self.handle_request(req),
                    Err(_) => return,
                },
                recv(self.cx.platform_updates) -> whole => match whole {
                    Ok(whole) => {
                        drop(self.evaluate(&Update::Whole(whole), UpdateSource::Platform));
                    }
                    Err(_) => return,
                },
                recv(self.updates) -> reply => match reply {
                    Ok(reply) => self.handle_update_reply(reply),
                    Err(_) => return,
                },
                recv(self.acks) -> reply => match reply {
                    Ok(reply) => self.handle_ack(reply),
                    Err(_) => return,
                },
                recv(members_changed) -> _ => {}
                recv(ticks) -> _ => {}
            }
            self.apply_if_overdue();
            self.request_update();
        }
    }

    fn held_version(&self) -> Version {
        self.log
            .newest()
            .map_or(Version::NONE, |(version, _)| version)
    }

    fn handle_request(&mut self, req: DistributionRequest) {
        match req {
            DistributionRequest::Update { req, reply } => reply.send(self.answer_pull(&req)),
            DistributionRequest::Announce { from, version, .. } => {
                let now = self.clock.now();
                self.puller.record_announcement(&from, version, now);
            }
        }
    }

    fn answer_pull(&mut self, req: &UpdateRequest) -> Update {
        let update = self.log.answer(req);
        let Update::Whole(whole) = &update else {
            return update;
        };
        let now = self.clock.now();
        let started = self.transfers.start(whole.mesh.len(), now, rand::random());
        match started {
            Ok(()) => update,
            Err(wait) => Update::Busy(wait),
        }
    }

    /// Requests an update from a member that holds a newer version.
    ///
    /// A daemon that has not joined yet requests none, because its version floor is not known.
    fn request_update(&mut self) {
        let members = self.cx.members.load_full();
        if !members.is_joined {
            return;
        }
        let now = self.clock.now();
        let pull = self
            .puller
            .next_pull(self.held_version(), &members, now, rand::random());
        let Some(pull) = pull else { return };
        let Some(record) = members.get(pull.from.as_str()) else {
            return;
        };
        debug!("config: asking {} for version {}", pull.from, pull.req.want);
        self.last_request = Some((record.peer_addr, pull.from));
        let command = PeerCommand::Update {
            req: pull.req,
            done: self.updates_tx.clone(),
        };
        self.cx.links.send(record.peer_addr, command);
    }

    fn handle_update_reply(&mut self, reply: PeerReply<Update>) {
        let is_from = |request: &mut (SocketAddr, NodeId)| request.0 == reply.addr;
        let Some((addr, from)) = self.last_request.take_if(is_from) else {
            // Another member has been asked in the meantime. The late update is validated like any
            // other, but does not count as a result of the current request.
            if let Ok(update) = reply.result {
                drop(self.evaluate(&update, UpdateSource::Peer));
            }
            return;
        };
        let result = match reply.result {
            Ok(update) => self
                .evaluate(&update, UpdateSource::Peer)
                .unwrap_or_else(|_| {
                    self.cx.links.send(addr, PeerCommand::Close);
                    PullResult::Refused
                }),
            Err(err) => {
                warn!("config: no update from {from}: {err}");
                PullResult::NoAnswer
            }
        };
        let now = self.clock.now();
        self.puller.record_result(&from, result, now);
    }

    /// Validates an update and accepts it if it is valid and newer than the held version.
    fn evaluate(
        &mut self,
        update: &Update,
        source: UpdateSource,
    ) -> Result<PullResult, UpdateRefusal> {
        let now = self.clock.now();
        let floor = self.cx.members.load().version_floor;
        match evaluate_update(self.log.snapshot(), floor, update, now) {
            Ok(UpdateAction::Apply(snapshot)) => {
                self.accept(snapshot, source, now);
                Ok(PullResult::Done)
            }
            Ok(UpdateAction::Keep) => Ok(PullResult::NotNewer),
            Ok(UpdateAction::RequestWhole) => Ok(PullResult::NeedsWhole),
            Ok(UpdateAction::RetryLater(wait)) => Ok(PullResult::Busy(wait)),
            Err(refusal) => {
                warn!("config: update refused: {refusal}");
                let now = Timestamp::from_system_clock();
                self.audit_event(AuditAction::UpdateRefused, None, refusal.to_string(), now);
                Err(refusal)
            }
        }
    }

    /// Makes a version available to peers, announces it, and puts it in force.
    ///
    /// If some linked peers lack a version that comes from the platform, it is put in force only
    /// after a peer has acknowledged it or [`ACK_TIMEOUT`] has passed.
    fn accept(&mut self, snapshot: ConfigSnapshot, source: UpdateSource, now: Timestamp) {
        self.log.push(&snapshot);
        let addrs = self.lagging_peer_addrs(snapshot.version);
        let awaits_ack = source == UpdateSource::Platform && !addrs.is_empty();
        for addr in addrs {
            let command = PeerCommand::Announce {
                version: snapshot.version,
                digest: snapshot.digest(),
                done: self.acks_tx.clone(),
            };
            self.cx.links.send(addr, command);
        }
        self.pending = Some((snapshot, now + ACK_TIMEOUT));
        if !awaits_ack {
            self.apply_pending();
        }
    }

    fn handle_ack(&mut self, reply: PeerReply<Version>) {
        let pending = self.pending.as_ref().map(|(snapshot, _)| snapshot.version);
        if pending.is_some() && pending == reply.result.ok() {
            self.apply_pending();
        }
    }

    /// Puts the pending version in force if no peer has acknowledged it in time.
    fn apply_if_overdue(&mut self) {
        let now = self.clock.now();
        if self
            .pending
            .as_ref()
            .is_some_and(|(_, deadline)| now >= *deadline)
        {
            self.apply_pending();
        }
    }

    fn apply_pending(&mut self) {
        let Some((mut snapshot, _)) = self.pending.take() else {
            return;
        };
        let now = Timestamp::from_system_clock();
        snapshot.applied_at = now;
        let to = snapshot.version;
        let before = self.cx.config.load();
        let from = before
            .as_ref()
            .as_ref()
            .map_or(Version::NONE, |c| c.version);
        drop(before);
        info!("config: version {to} is in force, after version {from}");
        self.cx.config.publish(Some(snapshot));
        let reason = format!("after version {from}");
        self.audit_event(AuditAction::VersionSwitched, Some((from, to)), reason, now);
    }

    fn audit_event(
        &self,
        action: AuditAction,
        switch: Option<(Version, Version)>,
        reason: String,
        now: Timestamp,
    ) {
        self.cx.audit.send(AuditEvent {
            at: now,
            actor: self.cx.own.to_string(),
            action,
            object: "mesh".to_owned(),
            from: switch.map(|(from, _)| from),
            to: switch.map(|(_, to)| to),
            reason,
        });
    }

    /// Returns the addresses of the linked peers that are not known to hold the version.
    fn lagging_peer_addrs(&self, version: Version) -> Vec<SocketAddr> {
        let members = self.cx.members.load();
        let is_lagging = |id: &&NodeId| {
            let reported = members.reported_versions.get(*id);
            let is_reported = reported.is_some_and(|reported| reported.version >= version);
            !is_reported && !self.puller.has_announced(id, version)
        };
        let linked = members.linked_peers.iter().filter(is_lagging);
        let records = linked.filter_map(|id| members.get(id.as_str()));
        records.map(|record| record.peer_addr).collect()
    }
}
