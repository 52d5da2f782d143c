//! Hop-by-hop headers, which apply to one connection only.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

use super::packed_headers::PACKED_HEADER;

/// Prefix of the headers that daemons use between each other.
const INTERNAL_PREFIX: &str = "lavenderhatch-";

/// Removes hop-by-hop headers and the headers that daemons use between each other.
pub(super) fn remove_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    let hop_by_hop = [
        CONNECTION,
        CONTENT_LENGTH,
        EXPECT,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE,
        HeaderName::from_static("keep-alive"),
        HeaderName::from_static("proxy-connection"),
    ];
    headers.remove(PACKED_HEADER);
    for name in hop_by_hop {
        headers.remove(name);
    }
    let internal: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(INTERNAL_PREFIX))
        .cloned()
        .collect();
    for name in internal {
        headers.remove(name);
    }
}
