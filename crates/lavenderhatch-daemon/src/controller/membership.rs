//! Membership: exchanges heartbeats with peers, detects failures and publishes the members.
//!
//! Writes the `members` section of the blackboard.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded, select, tick};
use eyre::Result;
use lavenderhatch_core::audit::{AuditAction, AuditEvent};
use lavenderhatch_core::blackboard::{SectionReader, SectionWriter};
use lavenderhatch_core::drain::Drains;
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{ConfigSnapshot, MemberRecord, MemberState, NodeId, Timestamp, Version};
use lavenderhatch_decide::membership::{HeldVersion, MemberEvent, Membership};
use lavenderhatch_decide::message::Hello;
use tracing::{debug, info};

use super::audit::AuditSender;
use super::handle::ControllerHandle;
use super::monotonic_clock::MonotonicClock;
use super::zone_objects::ZoneJob;
use crate::peer::{HeartbeatRequest, MemberRequest, PeerCommand, PeerLinks, PeerReply};

/// Interval at which due heartbeats are sent, failed members detected and changes published.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Controller of the membership.
#[derive(Debug)]
pub struct MembershipController {
    /// Member record with which this daemon starts.
    pub own: MemberRecord,
    /// Configured addresses that this daemon contacts when it looks for peers, besides the contacts
    /// in the platform.
    pub first_peers: Vec<SocketAddr>,
    /// The configuration in force.
    pub config: SectionReader<Option<ConfigSnapshot>>,
    /// Planned stops, from which the state of this daemon follows.
    pub drains: SectionReader<Drains>,
    /// Writer of the `members` section, which this controller owns.
    pub members: SectionWriter<Members>,
    /// Heartbeats and announced versions of peers.
    pub requests: Receiver<MemberRequest>,
    /// Reads and writes of zone objects in the platform.
    pub jobs: Sender<ZoneJob>,
    /// Contacts that were read from the platform: members through which an isolated daemon, such
    /// as a starting one, finds peers.
    pub contacts: Receiver<Vec<MemberRecord>>,
    /// Links to peers.
    pub links: PeerLinks,
    /// Audit trail, for members that fail or return.
    pub audit: AuditSender,
}

impl MembershipController {
    /// Starts the controller thread.
    pub fn spawn(self) -> Result<ControllerHandle> {
        ControllerHandle::spawn("membership", move |stop| EventLoop::new(self).run(&stop))
    }
}

/// Values that are published as soon as they change, rather than at the next tick, because other
/// controllers depend on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PublishTrigger {
    version_floor: Version,
    /// Highest version that a peer has reported in a heartbeat or in the answer to one.
    newest_version: Version,
    is_joined: bool,
}

/// State of the controller thread.
struct EventLoop {
    cx: MembershipController,
    clock: MonotonicClock,
    state: Membership,
    /// Ids of the members to which heartbeats were sent, by address.
    heartbeat_targets: HashMap<SocketAddr, NodeId>,
    newest_version: Version,
    published_trigger: PublishTrigger,
    published_versions: Vec<(NodeId, Version)>,
    is_changed: bool,
    heartbeat_replies_tx: Sender<PeerReply<Hello>>,
    heartbeat_replies: Receiver<PeerReply<Hello>>,
    report_replies_tx: Sender<PeerReply<Version>>,
    report_replies: Receiver<PeerReply<Version>>,
}

impl EventLoop {
    fn new(cx: MembershipController) -> Self {
        // Bounded, so that a backlog of answers blocks the link threads instead of growing.
        let (heartbeat_replies_tx, heartbeat_replies) = bounded(1024);
        let (report_replies_tx, report_replies) = bounded(16);
        let clock = MonotonicClock::start();
        let now = clock.now();
        let state = Membership::new(cx.own.clone(), now, rand::random());
        Self {
            cx,
            clock,
            state,
            heartbeat_targets: HashMap::new(),
            newest_version: Version::NONE,
            published_trigger: PublishTrigger::default(),
            published_versions: Vec::new(),
            is_changed: true,
            heartbeat_replies_tx,
            heartbeat_replies,
            report_replies_tx,
            report_replies,
        }
    }

    fn run(mut self, stop: &Receiver<()>) {
        let ticks = tick(TICK_INTERVAL);
        let drains_changed = self.cx.drains.subscribe();
        let config_changed = self.cx.config.subscribe();
        self.publish();
        loop {
            select! {
                recv(stop) -> _ => return,
                recv(self.cx.requests) -> req => match req {
                    Ok(MemberRequest::Heartbeat(req)) => self.answer_heartbeat(req),
                    Ok(MemberRequest::Announce { node, version }) => {
                        let now = self.clock.now();
                        self.state.record_held_version(&node, version, now);
                    }
                    Err(_) => return,
                },
                recv(self.heartbeat_replies) -> reply => match reply {
                    Ok(reply) => self.handle_heartbeat_reply(reply),
                    Err(_) => return,
                },
                recv(self.report_replies) -> reply => match reply {
                    Ok(reply) if reply.result.is_err() => self.state.record_report_failure(),
                    Ok(_) => {}
                    Err(_) => return,
                },
                recv(self.cx.contacts) -> contacts => match contacts {
                    Ok(contacts) => self.merge_contacts(&contacts),
                    Err(_) => return,
                },
                recv(drains_changed) -> _ => self.tick(),
                recv(config_changed) -> _ => self.tick(),
                recv(ticks) -> _ => self.tick(),
            }
            if self.publish_trigger() != self.published_trigger {
                self.publish();
            }
        }
    }

    fn held_version(&self) -> HeldVersion {
        let config = self.cx.config.load();
        let held = config.as_ref().as_ref().map(|config| HeldVersion {
            version: config.version,
            digest: config.digest(),
        });
        held.unwrap_or_default()
    }

    fn answer_heartbeat(&mut self, req: HeartbeatRequest) {
        let now = self.clock.now();
        self.merge_hello(&req.hello, now);
        let (peer, held) = (&req.hello.node, self.held_version());
        let has_introduced_itself = req.hello.records.iter().any(|record| record.id == *peer);
        let hello = match has_introduced_itself && !self.state.is_linked(peer) {
            true => self.state.introduction_for(peer, held, now),
            false => self.state.hello_for(Some(peer), held, now),
        };
        req.reply.send(hello);
    }

    fn handle_heartbeat_reply(&mut self, reply: PeerReply<Hello>) {
        let now = self.clock.now();
        match reply.result {
            Ok(hello) => self.merge_hello(&hello, now),
            Err(err) => {
                debug!("member: heartbeat to {} failed: {err}", reply.addr);
                if let Some(id) = self.heartbeat_targets.get(&reply.addr) {
                    self.state.record_no_answer(id, now);
                }
            }
        }
    }

    fn merge_hello(&mut self, hello: &Hello, now: Timestamp) {
        self.newest_version = self.newest_version.max(hello.version);
        let events = self.state.receive(hello, now);
        self.is_changed |= !events.is_empty();
        self.report_events(&events);
    }

    fn merge_contacts(&mut self, contacts: &[MemberRecord]) {
        let now = self.clock.now();
        let events = self.state.merge_contacts(contacts, now);
        self.is_changed |= !events.is_empty();
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        self.update_own(now);
        let held = self.held_version();
        let actions = self.state.tick(held, now, rand::random());
        self.is_changed |= !actions.events.is_empty();
        self.report_events(&actions.events);
        for target in actions.heartbeats {
            let mut hello = self.state.hello_for(Some(&target.id), held, now);
            hello.reports.extend(target.report);
            self.heartbeat_targets.insert(target.addr, target.id);
            self.send_heartbeat(target.addr, hello);
        }
        if let Some(addr) = actions.report_to {
            let command = PeerCommand::Announce {
                version: held.version,
                digest: held.digest,
                done: self.report_replies_tx.clone(),
            };
            self.cx.links.send(addr, command);
        }
        if actions.reads_contacts {
            self.find_peers(held, now);
        }
        if let Some(status) = actions.status {
            let _ = self.cx.jobs.try_send(ZoneJob::Status(status));
        }
        self.heartbeat_targets
            .retain(|_, id| self.state.record(id).is_some());
        if self.is_changed || self.recent_versions(now) != self.published_versions {
            self.publish();
        }
    }

    /// Returns the versions that linked members have reported recently.
    ///
    /// While neither these versions nor anything else changes, no snapshot is published, because
    /// each publication makes all readers of the section scan all members.
    fn recent_versions(&self, now: Timestamp) -> Vec<(NodeId, Version)> {
        let recent = self.state.recent_versions(now);
        recent
            .map(|(id, reported)| (id.clone(), reported.version))
            .collect()
    }

    /// Updates the state and the slots in the member record of this daemon.
    ///
    /// A daemon announces that it serves only once a configuration is in force. Until then it does
    /// not know its own planned stops, and refuses calls that peers forward.
    fn update_own(&mut self, now: Timestamp) {
        let config = self.cx.config.load();
        let state = match (self.cx.drains.load().local_state(), config.is_some()) {
            (MemberState::Serving, false) => MemberState::Starting,
            (state, _) => state,
        };
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
            self.send_heartbeat(addr, hello);
        }
    }

    fn send_heartbeat(&self, addr: SocketAddr, hello: Hello) {
        let command = PeerCommand::Heartbeat {
            hello: Box::new(hello),
            done: self.heartbeat_replies_tx.clone(),
        };
        self.cx.links.send(addr, command);
    }

    fn report_events(&self, events: &[MemberEvent]) {
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

    fn publish_trigger(&self) -> PublishTrigger {
        PublishTrigger {
            version_floor: self.state.floor(),
            newest_version: self.newest_version,
            is_joined: self.state.is_joined(),
        }
    }

    fn publish(&mut self) {
        self.published_trigger = self.publish_trigger();
        self.is_changed = false;
        let now = self.clock.now();
        self.published_versions = self.recent_versions(now);
        self.cx.members.publish(self.state.view(now));
    }
}
