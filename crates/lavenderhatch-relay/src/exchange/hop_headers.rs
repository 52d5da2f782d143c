//! Headers that concern one connection only.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};

/// Prefix of the headers that daemons use among themselves.
const OWN_PREFIX: &str = "lavenderhatch-";

/// Removes headers that concern one connection, and those that daemons use among themselves.
pub(super) fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    let fixed = [
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
    for name in fixed {
        headers.remove(name);
    }
    let own: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(OWN_PREFIX))
        .cloned()
        .collect();
    for name in own {
        headers.remove(name);
    }
}
