//! Keeps this daemon a member and learns of the others. Writes the `members` section.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded, select, tick};
use eyre::Result;
use lavenderhatch_core::audit::{AuditAction, AuditEvent};
use lavenderhatch_core::blackboard::{SectionReader, SectionWriter};
use lavenderhatch_core::drain::Drains;
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{ConfigSnapshot, MemberRecord, NodeId, Timestamp, Version};
use lavenderhatch_decide::membership::{HeldVersion, MemberEvent, Membership};
use lavenderhatch_decide::message::Hello;
use tracing::{debug, info};

use super::audit::AuditSender;
use super::handle::ControllerHandle;
use super::steady_clock::SteadyClock;
use super::zone_objects::ZoneJob;
use crate::peer::{HeartbeatRequest, MemberRequest, PeerCommand, PeerLinks, PeerReply};

/// Time between two ticks of the deciding functions.
const TICK: Duration = Duration::from_millis(250);

/// What the controller is connected to.
#[derive(Debug)]
pub struct MembershipController {
    /// Record of this daemon.
    pub own: MemberRecord,
    /// Daemons that are asked first, besides the contacts in the platform.
    pub first_peers: Vec<SocketAddr>,
    /// The configuration in force.
    pub config: SectionReader<Option<ConfigSnapshot>>,
    /// Planned stops, for this daemon's own state.
    pub drains: SectionReader<Drains>,
    /// The section that this controller owns.
    pub members: SectionWriter<Members>,
    /// Heartbeats and held versions of peers.
    pub requests: Receiver<MemberRequest>,
    /// What is to be read from and written to the platform.
    pub jobs: Sender<ZoneJob>,
    /// Contacts that the platform names.
    pub contacts: Receiver<Vec<MemberRecord>>,
    /// Links to peers.
    pub links: PeerLinks,
    /// Audit trail.
    pub audit: AuditSender,
}

impl MembershipController {
    /// Starts the controller.
    pub fn spawn(self) -> Result<ControllerHandle> {
        ControllerHandle::spawn("membership", move |stop| Running::new(self).run(&stop))
    }
}

/// What other controllers have to see at once rather than at the next tick.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Urgent {
    floor: Version,
    newest: Version,
    is_joined: bool,
}

/// The controller's own state.
struct Running {
    cx: MembershipController,
    clock: SteadyClock,
    state: Membership,
    /// Names of the members to whom heartbeats were sent.
    targets: HashMap<SocketAddr, NodeId>,
    newest: Version,
    published: Urgent,
    published_heard: Vec<(NodeId, Version)>,
    is_changed: bool,
    answers_tx: Sender<PeerReply<Hello>>,
    answers: Receiver<PeerReply<Hello>>,
    reported_tx: Sender<PeerReply<Version>>,
    reported: Receiver<PeerReply<Version>>,
}

impl Running {
    fn new(cx: MembershipController) -> Self {
        // Bounded, so that answers that this thread cannot take in time hold back their links.
        let (answers_tx, answers) = bounded(1024);
        let (reported_tx, reported) = bounded(16);
        let clock = SteadyClock::start();
        let now = clock.now();
        let state = Membership::new(cx.own.clone(), now, rand::random());
        Self {
            cx,
            clock,
            state,
            targets: HashMap::new(),
            newest: Version::NONE,
            published: Urgent::default(),
            published_heard: Vec::new(),
            is_changed: true,
            answers_tx,
            answers,
            reported_tx,
            reported,
        }
    }

    fn run(mut self, stop: &Receiver<()>) {
        let ticks = tick(TICK);
        let drains_woken = self.cx.drains.subscribe();
        self.publish();
        loop {
            select! {
                recv(stop) -> _ => return,
                recv(self.cx.requests) -> req => match req {
                    Ok(MemberRequest::Heartbeat(req)) => self.answer(req),
                    Ok(MemberRequest::Held { node, version }) => {
                        let now = self.clock.now();
                        self.state.record_held_version(&node, version, now);
                    }
                    Err(_) => return,
                },
                recv(self.answers) -> reply => match reply {
                    Ok(reply) => self.take_answer(reply),
                    Err(_) => return,
                },
                recv(self.reported) -> reply => match reply {
                    Ok(reply) if reply.result.is_err() => self.state.record_report_failure(),
                    Ok(_) => {}
                    Err(_) => return,
                },
                recv(self.cx.contacts) -> contacts => match contacts {
                    Ok(contacts) => self.learn(&contacts),
                    Err(_) => return,
                },
                recv(drains_woken) -> _ => self.tick(),
                recv(ticks) -> _ => self.tick(),
            }
            if self.urgent() != self.published {
                self.publish();
            }
        }
    }

    fn held(&self) -> HeldVersion {
        let config = self.cx.config.load();
        let held = config.as_ref().as_ref().map(|config| HeldVersion {
            version: config.version,
            digest: config.digest(),
        });
        held.unwrap_or_default()
    }

    fn answer(&mut self, req: HeartbeatRequest) {
        let now = self.clock.now();
        self.receive(&req.hello, now);
        let (peer, held) = (&req.hello.node, self.held());
        let has_introduced = req.hello.records.iter().any(|record| record.id == *peer);
        let hello = match has_introduced && !self.state.is_linked(peer) {
            true => self.state.introduction_for(peer, held, now),
            false => self.state.hello_for(Some(peer), held, now),
        };
        req.reply.send(hello);
    }

    fn take_answer(&mut self, reply: PeerReply<Hello>) {
        let now = self.clock.now();
        match reply.result {
            Ok(hello) => self.receive(&hello, now),
            Err(err) => {
                debug!("member: no heartbeat from {}: {err}", reply.addr);
                if let Some(id) = self.targets.get(&reply.addr) {
                    self.state.record_no_answer(id, now);
                }
            }
        }
    }

    fn receive(&mut self, hello: &Hello, now: Timestamp) {
        self.newest = self.newest.max(hello.version);
        let events = self.state.receive(hello, now);
        self.is_changed |= !events.is_empty();
        self.report(&events);
    }

    fn learn(&mut self, contacts: &[MemberRecord]) {
        let now = self.clock.now();
        let events = self.state.merge_contacts(contacts, now);
        self.is_changed |= !events.is_empty();
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.update_own(now);
        let held = self.held();
        let actions = self.state.tick(held, now, rand::random());
        self.is_changed |= !actions.events.is_empty();
        self.report(&actions.events);
        for target in actions.heartbeats {
            let mut hello = self.state.hello_for(Some(&target.id), held, now);
            hello.reports.extend(target.report);
            self.targets.insert(target.addr, target.id);
            self.send(target.addr, hello);
        }
        if let Some(addr) = actions.report_to {
            let command = PeerCommand::Announce {
                version: held.version,
                digest: held.digest,
                done: self.reported_tx.clone(),
            };
            self.cx.links.send(addr, command);
        }
        if actions.reads_contacts {
            self.find_peers(held, now);
        }
        if let Some(status) = actions.status {
            let _ = self.cx.jobs.try_send(ZoneJob::Status(status));
        }
        self.targets.retain(|_, id| self.state.record(id).is_some());
        if self.is_changed || self.heard(now) != self.published_heard {
            self.publish();
        }
    }

    /// Versions of the members that were heard lately. A snapshot that would say the same is not
    /// published, because each one makes all readers of the section look at all members.
    fn heard(&self, now: Timestamp) -> Vec<(NodeId, Version)> {
        let heard = self.state.recent_versions(now);
        heard
            .map(|(id, heard)| (id.clone(), heard.version))
            .collect()
    }

    /// Says what this daemon's own state is. It serves from its start, because calls that peers hand
    /// over need no configuration here.
    fn update_own(&mut self, now: Timestamp) {
        let config = self.cx.config.load();
        let state = self.cx.drains.load().local_state();
        let service = self.state.own_record().service.as_str();
        let services = config
            .as_ref()
            .as_ref()
            .map(|config| config.mesh.services());
        let slots = services.and_then(|services| services.get(service));
        let slots = slots.map_or(self.state.own_record().slots, |service| service.slots);
        self.is_changed |= self.state.update_own_record(state, slots, now);
    }

    fn find_peers(&mut self, held: HeldVersion, now: Timestamp) {
        let failed = self.state.failed_members();
        let own = self.state.own_record().clone();
        let _ = self.cx.jobs.try_send(ZoneJob::Contacts { own, failed });
        for addr in self.cx.first_peers.clone() {
            let hello = self.state.hello_for(None, held, now);
            self.send(addr, hello);
        }
    }

    fn send(&self, addr: SocketAddr, hello: Hello) {
        let command = PeerCommand::Heartbeat {
            hello: Box::new(hello),
            done: self.answers_tx.clone(),
        };
        self.cx.links.send(addr, command);
    }

    fn report(&self, events: &[MemberEvent]) {
        for event in events {
            let reason = match (event.is_failure(), event.is_return()) {
                (true, _) => format!("is {:?}", event.record.state).to_lowercase(),
                (_, true) => "is back".to_owned(),
                _ => continue,
            };
            info!("member: {} {reason}", event.record.id);
            self.cx.audit.send(AuditEvent {
                at: Timestamp::from_system_clock(),
                actor: self.cx.own.id.to_string(),
                action: AuditAction::MemberChanged,
                object: event.record.id.to_string(),
                from: None,
                to: None,
                reason,
            });
        }
    }

    fn urgent(&self) -> Urgent {
        Urgent {
            floor: self.state.floor(),
            newest: self.newest,
            is_joined: self.state.is_joined(),
        }
    }

    fn publish(&mut self) {
        self.published = self.urgent();
        self.is_changed = false;
        let now = self.clock.now();
        self.published_heard = self.heard(now);
        self.cx.members.publish(self.state.view(now));
    }
}
