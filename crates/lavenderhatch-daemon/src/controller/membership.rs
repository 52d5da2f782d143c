//! Announces this backend server and learns of the others. Writes the `members` section.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded, select, tick};
use eyre::Result;
use lavenderhatch_core::blackboard::{SectionReader, SectionWriter};
use lavenderhatch_core::drain::Drains;
use lavenderhatch_core::member::{HeardVersion, Members};
use lavenderhatch_core::{ConfigSnapshot, Digest, MemberRecord, NodeId, Timestamp, Version};
use lavenderhatch_decide::message::Hello;
use lavenderhatch_platform::{Expected, Platform};
use tracing::{debug, warn};

use super::handle::ControllerHandle;
use crate::peer::{HeartbeatRequest, PeerCommand, PeerLinks, PeerReply};

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Prefix of the objects that list members of a zone.
const CONTACTS_PREFIX: &str = "contacts/";
/// Most members that one contact object lists.
const MAX_CONTACTS: usize = 16;

/// What the controller is connected to.
#[derive(Debug)]
pub struct MembershipController<P> {
    /// Record of this daemon.
    pub own: MemberRecord,
    /// The platform, for the first contacts.
    pub platform: P,
    /// The configuration in force.
    pub config: SectionReader<Option<ConfigSnapshot>>,
    /// This server's own drain.
    pub drains: SectionReader<Drains>,
    /// The section that this controller owns.
    pub members: SectionWriter<Members>,
    /// Heartbeats of peers.
    pub heartbeats: Receiver<HeartbeatRequest>,
    /// Links to peers.
    pub links: PeerLinks,
}

impl<P: Platform> MembershipController<P> {
    /// Starts the controller.
    pub fn spawn(self) -> Result<ControllerHandle> {
        ControllerHandle::spawn("membership", move |stop| Running::new(self).run(&stop))
    }
}

/// The controller's own state.
struct Running<P> {
    cx: MembershipController<P>,
    by_id: BTreeMap<NodeId, Arc<MemberRecord>>,
    heard: BTreeMap<NodeId, HeardVersion>,
    floor: Version,
    is_registered: bool,
    answers_tx: Sender<PeerReply<Hello>>,
    answers: Receiver<PeerReply<Hello>>,
}

impl<P: Platform> Running<P> {
    fn new(cx: MembershipController<P>) -> Self {
        let (answers_tx, answers) = bounded(256);
        let own = Arc::new(cx.own.clone());
        let by_id = BTreeMap::from([(own.id.clone(), own)]);
        Self {
            cx,
            by_id,
            heard: BTreeMap::new(),
            floor: Version::NONE,
            is_registered: false,
            answers_tx,
            answers,
        }
    }

    fn run(mut self, stop: &Receiver<()>) {
        let ticks = tick(HEARTBEAT_INTERVAL);
        let drains_woken = self.cx.drains.subscribe();
        self.beat();
        self.publish();
        loop {
            select! {
                recv(stop) -> _ => return,
                recv(self.cx.heartbeats) -> req => match req {
                    Ok(req) => {
                        self.merge(&req.hello);
                        req.reply.send(self.hello());
                    }
                    Err(_) => return,
                },
                recv(self.answers) -> reply => match reply {
                    Ok(PeerReply { result: Ok(hello), .. }) => self.merge(&hello),
                    Ok(PeerReply { addr, result: Err(err) }) => {
                        debug!("member: no heartbeat from {addr}: {err}");
                    }
                    Err(_) => return,
                },
                recv(drains_woken) -> _ => self.announce_own_state(),
                recv(ticks) -> _ => self.beat(),
            }
            self.publish();
        }
    }

    fn hello(&self) -> Hello {
        let config = self.cx.config.load();
        let held = config.as_ref().as_ref();
        Hello {
            node: self.cx.own.id.clone(),
            incarnation: self.cx.own.incarnation,
            version: held.map_or(Version::NONE, |config| config.version),
            digest: held.map_or(Digest::default(), |config| config.digest()),
            records: self
                .by_id
                .values()
                .map(|record| MemberRecord::clone(record))
                .collect(),
            suspects: Vec::new(),
            held_by_receiver: Version::NONE,
            in_flight: 0,
            limit: 0,
            reports: Vec::new(),
        }
    }

    fn merge(&mut self, hello: &Hello) {
        let at = Timestamp::from_system_clock();
        let heard = HeardVersion {
            version: hello.version,
            digest: hello.digest,
            at,
        };
        self.heard.insert(hello.node.clone(), heard);
        self.floor = self.floor.max(hello.held_by_receiver);
        for record in &hello.records {
            let is_news = self
                .by_id
                .get(&record.id)
                .is_none_or(|present| record.supersedes(present));
            if is_news && record.id != self.cx.own.id {
                self.by_id
                    .insert(record.id.clone(), Arc::new(record.clone()));
            }
        }
    }

    fn beat(&mut self) {
        if !self.is_registered {
            self.register();
        }
        let addrs: Vec<SocketAddr> = self.others().map(|record| record.peer_addr).collect();
        for addr in addrs {
            let hello = Box::new(self.hello());
            let done = self.answers_tx.clone();
            self.cx
                .links
                .send(addr, PeerCommand::Heartbeat { hello, done });
        }
    }

    /// Announces a change of this server's own state at once.
    fn announce_own_state(&mut self) {
        let state = self.cx.drains.load().own_state();
        let present = self.by_id.get(&self.cx.own.id);
        let Some(present) = present.filter(|record| record.state != state) else {
            return;
        };
        let mut own = MemberRecord::clone(present);
        own.state = state;
        own.seq += 1;
        self.by_id.insert(own.id.clone(), Arc::new(own));
        self.beat();
    }

    fn others(&self) -> impl Iterator<Item = &Arc<MemberRecord>> {
        self.by_id
            .values()
            .filter(|record| record.id != self.cx.own.id)
    }

    /// Adds this daemon to its zone's contacts and learns those of all zones.
    fn register(&mut self) {
        match self.try_register() {
            Ok(()) => self.is_registered = true,
            Err(err) => warn!("member: cannot register: {err}"),
        }
    }

    fn try_register(&mut self) -> Result<(), lavenderhatch_platform::PlatformError> {
        let own_name = format!("{CONTACTS_PREFIX}{}", self.cx.own.zone);
        for meta in self.cx.platform.list(CONTACTS_PREFIX)? {
            if let Some(object) = self.cx.platform.get(&meta.name)? {
                self.learn_contacts(&object.value);
            }
        }
        let object = self.cx.platform.get(&own_name)?;
        if let Some(object) = &object {
            self.learn_contacts(&object.value);
        }
        let mut contacts: Vec<MemberRecord> = object
            .as_ref()
            .and_then(|object| serde_json::from_slice(&object.value).ok())
            .unwrap_or_default();
        contacts.retain(|record| record.id != self.cx.own.id);
        contacts.insert(0, self.cx.own.clone());
        contacts.truncate(MAX_CONTACTS);
        let value = serde_json::to_vec(&contacts).unwrap_or_default();
        let expected = object.map_or(Expected::Absent, |object| Expected::Version(object.version));
        self.cx
            .platform
            .put(&own_name, &value, expected)
            .map(|_| ())
    }

    fn learn_contacts(&mut self, value: &[u8]) {
        let contacts: Vec<MemberRecord> = serde_json::from_slice(value).unwrap_or_default();
        for record in contacts
            .into_iter()
            .filter(|record| record.id != self.cx.own.id)
        {
            let present = self.by_id.get(&record.id);
            if present.is_none_or(|present| record.supersedes(present)) {
                self.by_id.insert(record.id.clone(), Arc::new(record));
            }
        }
    }

    fn publish(&self) {
        let links = self.others().map(|record| record.id.clone()).collect();
        self.cx.members.publish(Members {
            by_id: self.by_id.clone(),
            links,
            heard: self.heard.clone(),
            floor: self.floor,
            is_joined: self.is_registered,
        });
    }
}
