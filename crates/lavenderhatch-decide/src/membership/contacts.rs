//! Objects of the platform that list members of a zone for those who start.

use lavenderhatch_core::{MemberRecord, NodeId, Zone};

/// Prefix of the names of contact objects.
pub const CONTACTS_PREFIX: &str = "contacts/";
/// Most members that one contact object lists.
pub const MAX_CONTACTS: usize = 16;

/// Name of the contact object of a zone.
pub fn contacts_name(zone: &Zone) -> String {
    format!("{CONTACTS_PREFIX}{zone}")
}

/// The list that a daemon writes, or `None` if it leaves the list as it is.
///
/// It adds itself if the list is short, names an earlier start of itself, or holds members for which
/// `has_failed` says so. Members that have failed are taken out.
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
