//! Reads and writes the contacts and the status of the local zone in the platform.
//!
//! The contacts are members through which an isolated daemon, such as a starting one, finds peers.
//! The status says which versions the members of the zone hold.
//!
//! The membership controller decides what is read and written. The calls run on a separate thread,
//! because a slow platform must not delay heartbeats.

use std::collections::BTreeSet;

use crossbeam::channel::{Receiver, Sender, bounded, select};
use eyre::Result;
use lavenderhatch_core::{MemberRecord, NodeId, Zone};
use lavenderhatch_decide::membership::{
    CONTACTS_PREFIX, ZoneStatus, contacts_name, contacts_with, status_name,
};
use lavenderhatch_platform::{Object, Platform, PlatformError, Precondition};
use tracing::{debug, warn};

use super::handle::ControllerHandle;

/// Read or write of a zone object.
#[derive(Clone, Debug)]
pub enum ZoneJob {
    /// Reads the contacts of the zone and adds this daemon to them if needed.
    Contacts {
        /// Member record of this daemon.
        own: MemberRecord,
        /// Members that this daemon considers failed. A write of the contacts removes them.
        failed: BTreeSet<NodeId>,
    },
    /// Writes the status of the zone, unless it equals the last one written.
    Status(ZoneStatus),
}

/// Thread that calls the platform for the membership controller.
#[derive(Debug)]
pub struct ZoneObjects<P> {
    /// Platform that stores the zone objects.
    pub platform: P,
    /// Jobs of the membership controller.
    pub jobs: Receiver<ZoneJob>,
    /// Channel for the contacts that were read.
    pub contacts: Sender<Vec<MemberRecord>>,
}

impl<P: Platform> ZoneObjects<P> {
    /// Creates the job queue. A job that finds it full is dropped; the membership controller sends
    /// it again later.
    pub fn job_channel() -> (Sender<ZoneJob>, Receiver<ZoneJob>) {
        bounded(2)
    }

    /// Creates the queue of contacts that were read.
    pub fn contacts_channel() -> (Sender<Vec<MemberRecord>>, Receiver<Vec<MemberRecord>>) {
        bounded(2)
    }

    /// Starts the thread.
    pub fn spawn(self) -> Result<ControllerHandle> {
        ControllerHandle::spawn("zone-objects", move |stop| self.run(&stop))
            .map(ControllerHandle::detached)
    }

    fn run(self, stop: &Receiver<()>) {
        let mut last_written: Option<ZoneStatus> = None;
        loop {
            let job = select! {
                recv(stop) -> _ => return,
                recv(self.jobs) -> job => job,
            };
            match job {
                Ok(ZoneJob::Contacts { own, failed }) => self.read_and_join_contacts(&own, &failed),
                Ok(ZoneJob::Status(status)) if last_written.as_ref() == Some(&status) => {}
                Ok(ZoneJob::Status(status)) => match self.write_status(&status) {
                    Ok(()) => last_written = Some(status),
                    Err(err) => warn!("member: cannot write the status of the zone: {err}"),
                },
                Err(_) => return,
            }
        }
    }

    fn read_and_join_contacts(&self, own: &MemberRecord, failed: &BTreeSet<NodeId>) {
        match self.try_read_and_join_contacts(own, failed) {
            Ok(contacts) => drop(self.contacts.send(contacts)),
            Err(err) => warn!("member: cannot read the contacts: {err}"),
        }
    }

    /// Returns the contacts of the local zone, or those of the other zones if the local list names
    /// no other daemon.
    fn try_read_and_join_contacts(
        &self,
        own: &MemberRecord,
        failed: &BTreeSet<NodeId>,
    ) -> Result<Vec<MemberRecord>, PlatformError> {
        let name = contacts_name(&own.zone);
        let object = self.platform.get(&name)?;
        let list = object.as_ref().map(read_contacts).unwrap_or_default();
        if let Some(list) = contacts_with(&list, own, |id| failed.contains(id)) {
            self.write_contacts(&name, &list, object.as_ref());
        }
        let is_other = |record: &MemberRecord| record.id != own.id;
        if list.iter().any(is_other) {
            return Ok(list);
        }
        self.read_other_zones(&own.zone)
    }

    fn read_other_zones(&self, own: &Zone) -> Result<Vec<MemberRecord>, PlatformError> {
        let own = contacts_name(own);
        let mut contacts = Vec::new();
        for meta in self.platform.list(CONTACTS_PREFIX)? {
            if meta.name != own {
                let object = self.platform.get(&meta.name)?;
                contacts.extend(object.as_ref().map(read_contacts).unwrap_or_default());
            }
        }
        Ok(contacts)
    }

    fn write_contacts(&self, name: &str, list: &[MemberRecord], object: Option<&Object>) {
        let value = serde_json::to_vec(list).unwrap_or_default();
        let expected = object.map_or(Precondition::Absent, |object| {
            Precondition::Version(object.version)
        });
        if let Err(err) = self.platform.put(name, &value, expected) {
            // After a conflict, another daemon of the zone has written first and is a contact now.
            debug!("member: cannot write the contacts: {err}");
        }
    }

    fn write_status(&self, status: &ZoneStatus) -> Result<(), PlatformError> {
        let name = status_name(&status.zone);
        let object = self.platform.get(&name)?;
        let expected = object.map_or(Precondition::Absent, |object| {
            Precondition::Version(object.version)
        });
        let value = serde_json::to_vec(status).unwrap_or_default();
        self.platform.put(&name, &value, expected).map(drop)
    }
}

fn read_contacts(object: &Object) -> Vec<MemberRecord> {
    serde_json::from_slice(&object.value).unwrap_or_default()
}
