//! Platform objects that list members of a zone, so that a starting daemon finds its first peers.

use lavenderhatch_core::{MemberRecord, NodeId, Zone};

/// Prefix of the object names of contact lists.
pub const CONTACTS_PREFIX: &str = "contacts/";
/// Maximum number of members in a contact list.
pub const MAX_CONTACTS: usize = 16;

/// Object name of the contact list of a zone.
pub fn contacts_name(zone: &Zone) -> String {
    format!("{CONTACTS_PREFIX}{zone}")
}

/// The new contact list that a daemon writes, or `None` if the list stays as it is.
///
/// The daemon adds itself if the list has room, holds a record of an earlier incarnation of this
/// daemon, or holds members for which `has_failed` is true. Failed members are removed.
pub fn contacts_with(
    list: &[MemberRecord],
    own: &MemberRecord,
    has_failed: impl Fn(&NodeId) -> bool,
) -> Option<Vec<MemberRecord>> {
    if list.contains(own) {
        return None;
    }
    let is_kept = |record: &&MemberRecord| record.id != own.id && !has_failed(&record.id);
    let mut kept: Vec<MemberRecord> = list.iter().filter(is_kept).cloned().collect();
    if kept.len() >= MAX_CONTACTS {
        return None;
    }
    kept.insert(0, own.clone());
    Some(kept)
}
