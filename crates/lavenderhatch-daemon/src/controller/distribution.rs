//! Puts accepted versions in force and serves them to peers. Writes the `config` section.

use std::net::SocketAddr;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded, select, tick};
use eyre::Result;
use lavenderhatch_core::audit::{AuditAction, AuditEvent};
use lavenderhatch_core::blackboard::{SectionReader, SectionWriter};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{ConfigSnapshot, NodeId, Timestamp, Version};
use lavenderhatch_decide::distribution::{DeltaLog, Step, evaluate_update};
use lavenderhatch_decide::message::{Update, UpdateRequest};
use tracing::{info, warn};

use super::audit::AuditSender;
use super::handle::ControllerHandle;
use super::platform_reader::RootNews;
use crate::peer::{DistributionRequest, PeerCommand, PeerLinks, PeerReply};

/// Time between two looks for a member that is ahead.
const TICK: Duration = Duration::from_millis(250);

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
    pub news: Receiver<RootNews>,
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

/// The controller's own state.
struct Running {
    cx: DistributionController,
    log: DeltaLog,
    updates_tx: Sender<PeerReply<Update>>,
    updates: Receiver<PeerReply<Update>>,
    /// The member that was asked last and has not answered.
    asked: Option<SocketAddr>,
}

impl Running {
    fn new(cx: DistributionController) -> Self {
        let (updates_tx, updates) = bounded(16);
        Self {
            cx,
            log: DeltaLog::default(),
            updates_tx,
            updates,
            asked: None,
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
                    Ok(RootNews::Whole(whole)) => self.evaluate(&Update::Whole(whole), None),
                    Ok(RootNews::Empty) => {}
                    Err(_) => return,
                },
                recv(self.updates) -> reply => match reply {
                    Ok(reply) => self.receive(reply),
                    Err(_) => return,
                },
                recv(woken) -> _ => self.ask_if_behind(),
                recv(ticks) -> _ => self.ask_if_behind(),
            }
        }
    }

    fn held(&self) -> Version {
        self.log
            .newest()
            .map_or(Version::NONE, |(version, _)| version)
    }

    fn serve(&mut self, req: DistributionRequest) {
        match req {
            DistributionRequest::Update { req, reply } => reply.send(self.log.answer(&req)),
            DistributionRequest::Announce { version, .. } => {
                if version > self.held() {
                    self.ask_if_behind();
                }
            }
        }
    }

    fn receive(&mut self, reply: PeerReply<Update>) {
        if self.asked == Some(reply.addr) {
            self.asked = None;
        }
        match reply.result {
            Ok(update) => self.evaluate(&update, Some(reply.addr)),
            Err(err) => warn!("config: no update from {}: {err}", reply.addr),
        }
    }

    fn evaluate(&mut self, update: &Update, from: Option<SocketAddr>) {
        let now = Timestamp::from_system_clock();
        let held = self.cx.config.load();
        let floor = self.cx.members.load().floor;
        let decision = evaluate_update(held.as_ref().as_ref(), floor, update, now);
        drop(held);
        match decision {
            Ok(Step::Apply(snapshot)) => self.apply(snapshot),
            Ok(Step::AskWhole) => {
                if let Some(addr) = from {
                    self.ask(addr, Version::NONE);
                }
            }
            Ok(Step::Keep | Step::AskLater(_)) => {}
            Err(refusal) => {
                warn!("config: update refused: {refusal}");
                self.report(AuditAction::UpdateRefused, None, refusal.to_string(), now);
            }
        }
    }

    fn apply(&mut self, snapshot: ConfigSnapshot) {
        let from = self.held();
        let (version, digest) = (snapshot.version, snapshot.digest());
        info!("config: version {version} is in force, after {from}");
        let now = snapshot.applied_at;
        self.log.push(&snapshot);
        self.cx.config.publish(Some(snapshot));
        let reason = format!("after version {from}");
        self.report(
            AuditAction::VersionSwitched,
            Some((from, version)),
            reason,
            now,
        );
        for addr in self.link_addrs() {
            self.cx
                .links
                .send(addr, PeerCommand::Announce { version, digest });
        }
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

    fn link_addrs(&self) -> Vec<SocketAddr> {
        let members = self.cx.members.load();
        let records = members
            .links
            .iter()
            .filter_map(|id| members.get(id.as_str()));
        records.map(|record| record.peer_addr).collect()
    }

    /// Asks the linked member that holds the highest version, if it is ahead of this daemon.
    fn ask_if_behind(&mut self) {
        let members = self.cx.members.load_full();
        let best = members.heard.iter().max_by_key(|(_, heard)| heard.version);
        let Some((id, heard)) = best else { return };
        if heard.version <= self.held() || self.asked.is_some() {
            return;
        }
        if let Some(record) = members.get(id.as_str()) {
            self.ask(record.peer_addr, self.held());
        }
    }

    fn ask(&mut self, addr: SocketAddr, held: Version) {
        let req = UpdateRequest {
            held,
            want: self.held().next(),
        };
        self.asked = Some(addr);
        self.cx.links.send(
            addr,
            PeerCommand::Update {
                req,
                done: self.updates_tx.clone(),
            },
        );
    }
}
