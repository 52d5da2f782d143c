//! Puts accepted versions in force and serves them to peers. Writes the `config` section.

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
use super::steady_clock::SteadyClock;
use crate::peer::{DistributionRequest, PeerCommand, PeerLinks, PeerReply};

/// Time between two looks for a member that is ahead.
const TICK: Duration = Duration::from_millis(100);
/// Longest wait for a peer to note a version that was read from the platform.
const NOTE_TIME: Duration = Duration::from_millis(300);

/// What the controller is connected to.
#[derive(Debug)]
pub struct DistributionController {
    /// This daemon.
    pub own: NodeId,
    /// Known members.
    pub members: SectionReader<Members>,
    /// The section that this controller owns.
    pub config: SectionWriter<Option<ConfigSnapshot>>,
    /// Requests of peers.
    pub requests: Receiver<DistributionRequest>,
    /// What the platform reader reports.
    pub news: Receiver<Whole>,
    /// Links to peers.
    pub links: PeerLinks,
    /// Audit trail.
    pub audit: AuditSender,
}

impl DistributionController {
    /// Starts the controller.
    pub fn spawn(self) -> Result<ControllerHandle> {
        ControllerHandle::spawn("distribution", move |stop| Running::new(self).run(&stop))
    }
}

/// Where an update comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// A peer, which keeps the version.
    Peer,
    /// The platform. It may be that no other daemon knows of the version.
    Platform,
}

/// The controller's own state.
struct Running {
    cx: DistributionController,
    clock: SteadyClock,
    log: DeltaLog,
    puller: Puller,
    transfers: TransferLimiter,
    updates_tx: Sender<PeerReply<Update>>,
    updates: Receiver<PeerReply<Update>>,
    /// The member that was asked last.
    asked: Option<(SocketAddr, NodeId)>,
    /// A version that waits for a peer to note it, and until when.
    ///
    /// A daemon that puts a version in force before anyone else knows of it, and is then restarted
    /// while the platform is down, would start with an older one.
    pending: Option<(ConfigSnapshot, Timestamp)>,
    noted_tx: Sender<PeerReply<Version>>,
    noted: Receiver<PeerReply<Version>>,
}

impl Running {
    fn new(cx: DistributionController) -> Self {
        let (updates_tx, updates) = bounded(16);
        let (noted_tx, noted) = bounded(256);
        Self {
            cx,
            clock: SteadyClock::start(),
            log: DeltaLog::default(),
            puller: Puller::default(),
            transfers: TransferLimiter::default(),
            updates_tx,
            updates,
            asked: None,
            pending: None,
            noted_tx,
            noted,
        }
    }

    fn run(mut self, stop: &Receiver<()>) {
        let woken = self.cx.members.subscribe();
        let ticks = tick(TICK);
        loop {
            select! {
                recv(stop) -> _ => return,
                recv(self.cx.requests) -> req => match req {
                    Ok(req) => self.serve(req),
                    Err(_) => return,
                },
                recv(self.cx.news) -> news => match news {
                    Ok(whole) => {
                        drop(self.evaluate(&Update::Whole(whole), Source::Platform));
                    }
                    Err(_) => return,
                },
                recv(self.updates) -> reply => match reply {
                    Ok(reply) => self.receive(reply),
                    Err(_) => return,
                },
                recv(self.noted) -> reply => match reply {
                    Ok(reply) => self.take_note(reply),
                    Err(_) => return,
                },
                recv(woken) -> _ => {}
                recv(ticks) -> _ => {}
            }
            self.put_overdue();
            self.pull();
        }
    }

    fn held(&self) -> Version {
        self.log
            .newest()
            .map_or(Version::NONE, |(version, _)| version)
    }

    fn serve(&mut self, req: DistributionRequest) {
        match req {
            DistributionRequest::Update { req, reply } => reply.send(self.answer(&req)),
            DistributionRequest::Announce { from, version, .. } => {
                let now = self.clock.now();
                self.puller.record_announcement(&from, version, now);
            }
        }
    }

    fn answer(&mut self, req: &UpdateRequest) -> Update {
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

    /// Asks a member that is ahead. A daemon that starts asks nobody before its floor is known.
    fn pull(&mut self) {
        let members = self.cx.members.load_full();
        if !members.is_joined {
            return;
        }
        let now = self.clock.now();
        let pull = self
            .puller
            .next_pull(self.held(), &members, now, rand::random());
        let Some(pull) = pull else { return };
        let Some(record) = members.get(pull.from.as_str()) else {
            return;
        };
        debug!("config: asks {} for version {}", pull.from, pull.req.want);
        self.asked = Some((record.peer_addr, pull.from));
        let command = PeerCommand::Update {
            req: pull.req,
            done: self.updates_tx.clone(),
        };
        self.cx.links.send(record.peer_addr, command);
    }

    fn receive(&mut self, reply: PeerReply<Update>) {
        let is_asked = |asked: &mut (SocketAddr, NodeId)| asked.0 == reply.addr;
        let Some((addr, from)) = self.asked.take_if(is_asked) else {
            // Another member was asked in the meantime. The update is sound or refused all the same.
            if let Ok(update) = reply.result {
                drop(self.evaluate(&update, Source::Peer));
            }
            return;
        };
        let result = match reply.result {
            Ok(update) => self.evaluate(&update, Source::Peer).unwrap_or_else(|_| {
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

    /// Decides on an update and puts it in force if it is sound and new.
    fn evaluate(&mut self, update: &Update, source: Source) -> Result<PullResult, UpdateRefusal> {
        let now = self.clock.now();
        let floor = self.cx.members.load().version_floor;
        match evaluate_update(self.log.snapshot(), floor, update, now) {
            Ok(UpdateAction::Apply(snapshot)) => {
                self.take(snapshot, source, now);
                Ok(PullResult::Done)
            }
            Ok(UpdateAction::Keep) => Ok(PullResult::NotNewer),
            Ok(UpdateAction::RequestWhole) => Ok(PullResult::NeedsWhole),
            Ok(UpdateAction::RetryLater(wait)) => Ok(PullResult::Busy(wait)),
            Err(refusal) => {
                warn!("config: update refused: {refusal}");
                let now = Timestamp::from_system_clock();
                self.report(AuditAction::UpdateRefused, None, refusal.to_string(), now);
                Err(refusal)
            }
        }
    }

    /// Serves and announces a version, and puts it in force.
    fn take(&mut self, snapshot: ConfigSnapshot, source: Source, now: Timestamp) {
        self.log.push(&snapshot);
        let addrs = self.addrs_behind(snapshot.version);
        let waits = source == Source::Platform && !addrs.is_empty();
        for addr in addrs {
            let command = PeerCommand::Announce {
                version: snapshot.version,
                digest: snapshot.digest(),
                done: self.noted_tx.clone(),
            };
            self.cx.links.send(addr, command);
        }
        self.pending = Some((snapshot, now + NOTE_TIME));
        if !waits {
            self.put_pending();
        }
    }

    fn take_note(&mut self, reply: PeerReply<Version>) {
        let pending = self.pending.as_ref().map(|(snapshot, _)| snapshot.version);
        if pending.is_some() && pending == reply.result.ok() {
            self.put_pending();
        }
    }

    /// Puts the version in force that waits to be noted, also if nobody has answered in time.
    fn put_overdue(&mut self) {
        let now = self.clock.now();
        if self
            .pending
            .as_ref()
            .is_some_and(|(_, until)| now >= *until)
        {
            self.put_pending();
        }
    }

    fn put_pending(&mut self) {
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
        info!("config: version {to} is in force, after {from}");
        self.cx.config.publish(Some(snapshot));
        let reason = format!("after version {from}");
        self.report(AuditAction::VersionSwitched, Some((from, to)), reason, now);
    }

    fn report(
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

    /// Addresses of the linked members that are not known to hold the version.
    fn addrs_behind(&self, version: Version) -> Vec<SocketAddr> {
        let members = self.cx.members.load();
        let is_behind = |id: &&NodeId| {
            let heard = members.reported_versions.get(*id);
            let is_heard = heard.is_some_and(|heard| heard.version >= version);
            !is_heard && !self.puller.has_announced(id, version)
        };
        let links = members.linked_peers.iter().filter(is_behind);
        let records = links.filter_map(|id| members.get(id.as_str()));
        records.map(|record| record.peer_addr).collect()
    }
}
