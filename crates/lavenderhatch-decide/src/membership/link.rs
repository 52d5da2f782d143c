//! A link to a ring neighbour.

use std::net::SocketAddr;

use lavenderhatch_core::{Incarnation, MemberRecord, Timestamp};

use super::detector::SUSPECT_AFTER;
use super::gossip::Outbox;

/// State of a link.
#[derive(Clone, Debug)]
pub(super) struct Link {
    addr: SocketAddr,
    /// Start of the member. A member that has started again is a new link.
    incarnation: Incarnation,
    /// When the link was made, or when a pause of this daemon ended.
    pub(super) since: Timestamp,
    /// When the member was heard last.
    pub(super) heard: Option<Timestamp>,
    /// When a heartbeat was sent last.
    pub(super) sent: Option<Timestamp>,
    pub(super) outbox: Outbox,
}

impl Link {
    pub(super) fn new(record: &MemberRecord, outbox: Outbox, now: Timestamp) -> Self {
        Self {
            addr: record.peer_addr,
            incarnation: record.incarnation,
            since: now,
            heard: None,
            sent: None,
            outbox,
        }
    }

    /// Whether the link is to the member that the record describes.
    pub(super) fn is_to(&self, record: &MemberRecord) -> bool {
        self.addr == record.peer_addr && self.incarnation == record.incarnation
    }

    /// Whether the member was heard not long ago.
    pub(super) fn is_heard(&self, now: Timestamp) -> bool {
        self.heard.is_some_and(|at| now.since(at) < SUSPECT_AFTER)
    }

    /// Since when the member has been silent.
    pub(super) fn silent_since(&self) -> Timestamp {
        self.heard.unwrap_or_default().max(self.since)
    }
}
