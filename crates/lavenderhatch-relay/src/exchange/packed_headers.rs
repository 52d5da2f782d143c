//! Packs the headers that daemons add to the messages between them into one.
//!
//! Their names alone have some 300 bytes a request and 150 bytes an answer, as many as a short
//! request has otherwise, and bytes between availability zones are paid for.

use hyper::HeaderMap;
use hyper::header::HeaderValue;

use super::peer_headers::PEER_HEADERS;

/// Header with the values of [`PEER_HEADERS`], in their order, each followed by [`SEPARATOR`].
pub(super) const PACKED_HEADER: &str = "lh";
const SEPARATOR: char = ';';

/// Replaces the headers between daemons by one. Leaves them as they are if a value cannot be packed.
pub(super) fn pack(headers: &mut HeaderMap) {
    let Some(packed) = join(headers) else { return };
    for name in PEER_HEADERS {
        headers.remove(*name);
    }
    headers.insert(PACKED_HEADER, packed);
}

/// Restores the headers between daemons. Returns whether they were packed.
pub(super) fn unpack(headers: &mut HeaderMap) -> bool {
    let Some(packed) = headers.remove(PACKED_HEADER) else {
        return false;
    };
    let values = packed.to_str().unwrap_or("").split(SEPARATOR);
    for (name, value) in PEER_HEADERS.iter().zip(values) {
        if let Ok(value) = HeaderValue::from_str(value)
            && !value.is_empty()
        {
            headers.insert(*name, value);
        }
    }
    true
}

fn join(headers: &HeaderMap) -> Option<HeaderValue> {
    let mut packed = String::with_capacity(128);
    for name in PEER_HEADERS {
        if let Some(value) = headers.get(*name) {
            let value = value.to_str().ok()?;
            if value.contains(SEPARATOR) {
                return None;
            }
            packed.push_str(value);
        }
        packed.push(SEPARATOR);
    }
    let end = packed.trim_end_matches(SEPARATOR).len();
    packed.truncate(end);
    HeaderValue::from_str(&packed).ok()
}
