//! Headers by which daemons exchange what they know of requests that crash backend servers.
//!
//! A request to another daemon carries the digest of the sender's records. Only if the other daemon
//! has different ones, its answer carries them. News of a crash carries them as well.

use std::collections::BTreeSet;
use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderValue;
use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::crash::{
    CRASH_RETENTION, CrashId, CrashRecord, Fingerprint, MAX_CRASH_RECORDS,
};

use crate::blackboard::Quarantine;

/// Digest of the sender's records, hexadecimal. Absent without records.
pub(super) const CRASH_DIGEST: &str = "lavenderhatch-crash-digest";
/// Records, as [`encode`] writes them, separated by [`RECORD_SEPARATOR`].
pub(super) const CRASHES: &str = "lavenderhatch-crashes";

const RECORD_SEPARATOR: char = ',';
const FIELD_SEPARATOR: char = '.';
/// Marks the record of a request that was answered since its crashes.
const CLEARED: &str = "c";
/// Marks the record of a request that was not.
const SUSPECTED: &str = "s";

/// Adds the digest of the records to a request, if there are any.
pub(super) fn write_crash_digest(headers: &mut HeaderMap, quarantine: &Quarantine) {
    let digest = quarantine.digest();
    if digest != 0
        && let Ok(value) = HeaderValue::from_str(&format!("{digest:x}"))
    {
        headers.insert(CRASH_DIGEST, value);
    }
}

/// Reads the digest of the sender's records; zero if it has none.
pub(super) fn read_crash_digest(headers: &HeaderMap) -> u64 {
    let value = headers.get(CRASH_DIGEST);
    let digest = value.and_then(|value| u64::from_str_radix(value.to_str().ok()?, 16).ok());
    digest.unwrap_or(0)
}

/// Adds the records to the answer for a daemon whose records have the digest `known`, if it lacks
/// some of them.
pub(super) fn write_crashes(
    headers: &mut HeaderMap,
    quarantine: &Quarantine,
    known: u64,
    now: Timestamp,
) {
    let digest = quarantine.digest();
    if digest != 0 && digest != known {
        write_all_crashes(headers, quarantine, now);
    }
}

/// Adds the records.
pub(super) fn write_all_crashes(headers: &mut HeaderMap, quarantine: &Quarantine, now: Timestamp) {
    let records = quarantine.records(MAX_CRASH_RECORDS);
    let records: Vec<String> = records.iter().map(|record| encode(record, now)).collect();
    if let Ok(value) = HeaderValue::from_str(&records.join(&RECORD_SEPARATOR.to_string())) {
        headers.insert(CRASHES, value);
    }
}

/// Whether a message carries records.
pub(super) fn has_crashes(headers: &HeaderMap) -> bool {
    headers.contains_key(CRASHES)
}

/// Takes over the records that a message carries.
pub(super) fn read_crashes(headers: &HeaderMap, quarantine: &Quarantine, now: Timestamp) {
    let value = headers.get(CRASHES).and_then(|value| value.to_str().ok());
    if let Some(value) = value {
        let records = value.split(RECORD_SEPARATOR).take(MAX_CRASH_RECORDS);
        let records = records.filter_map(|text| decode(text, now));
        quarantine.merge(records, now);
    }
}

/// Encodes the fingerprint, the seconds until the record expires, the standing, and the crashes.
fn encode(record: &CrashRecord, now: Timestamp) -> String {
    // Rounded down: a record that gained time with each exchange would never expire.
    let left = record.expires_at.since(now).as_secs();
    let standing = match record.is_cleared {
        true => CLEARED,
        false => SUSPECTED,
    };
    let mut text = format!("{}.{left}.{standing}", record.fingerprint);
    for CrashId(crash) in &record.crashes {
        text.push_str(&format!("{FIELD_SEPARATOR}{crash:x}"));
    }
    text
}

/// Decodes a record; `None` if it is malformed.
fn decode(text: &str, now: Timestamp) -> Option<CrashRecord> {
    let mut fields = text.split(FIELD_SEPARATOR);
    let fingerprint: Fingerprint = fields.next()?.parse().ok()?;
    let left = Duration::from_secs(fields.next()?.parse().ok()?);
    let standing = fields.next()?;
    let crashes = fields.map(|field| u64::from_str_radix(field, 16).map(CrashId));
    let crashes: BTreeSet<CrashId> = crashes.collect::<Result<_, _>>().ok()?;
    let is_valid = !crashes.is_empty() && [CLEARED, SUSPECTED].contains(&standing);
    is_valid.then(|| CrashRecord {
        fingerprint,
        crashes,
        is_cleared: standing == CLEARED,
        expires_at: now + left.min(CRASH_RETENTION),
    })
}
