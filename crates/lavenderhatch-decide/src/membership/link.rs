//! Links to ring neighbours.

use std::net::SocketAddr;

use lavenderhatch_core::{Incarnation, MemberRecord, Timestamp};

use super::detector::SUSPECT_AFTER;
use super::gossip::Outbox;

/// State of the link to a ring neighbour, with which heartbeats are exchanged.
#[derive(Clone, Debug)]
pub(super) struct Link {
    addr: SocketAddr,
    /// Incarnation of the member. A restarted member gets a new link.
    incarnation: Incarnation,
    /// When the link was created, or when a pause of this daemon ended.
    pub(super) watched_since: Timestamp,
    /// When the last message of the member arrived.
    pub(super) last_message_at: Option<Timestamp>,
    /// When the last heartbeat was sent to the member.
    pub(super) sent_at: Option<Timestamp>,
    pub(super) outbox: Outbox,
}

impl Link {
    pub(super) fn new(record: &MemberRecord, outbox: Outbox, now: Timestamp) -> Self {
        Self {
            addr: record.peer_addr,
            incarnation: record.incarnation,
            watched_since: now,
            last_message_at: None,
            sent_at: None,
            outbox,
        }
    }

    /// Whether the link leads to the address and incarnation in a member record.
    pub(super) fn matches(&self, record: &MemberRecord) -> bool {
        self.addr == record.peer_addr && self.incarnation == record.incarnation
    }

    /// Whether a message of the member arrived within the last [`SUSPECT_AFTER`].
    pub(super) fn has_recent_message(&self, now: Timestamp) -> bool {
        self.last_message_at
            .is_some_and(|at| now.since(at) < SUSPECT_AFTER)
    }

    /// When the silence of the member began. Silence before the link was created does not count.
    pub(super) fn silent_since(&self) -> Timestamp {
        self.last_message_at
            .unwrap_or_default()
            .max(self.watched_since)
    }
}
