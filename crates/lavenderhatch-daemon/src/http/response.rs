//! An answer to a caller, and its encoding.

use lavenderhatch_core::call::Header;
use oxhttp::model::StatusCode;

/// Headers that only the server sets.
const OWN_HEADERS: &[&str] = &["connection", "content-length", "transfer-encoding"];

/// An answer to a caller, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct HttpResponse {
    /// Status code.
    pub(crate) status: u16,
    /// Headers.
    pub(crate) headers: Vec<Header>,
    /// Body, whole.
    pub(crate) body: Vec<u8>,
    /// Whether the connection ends after this answer.
    pub(crate) is_last: bool,
}

impl HttpResponse {
    /// Adds a header.
    pub(crate) fn add(&mut self, name: &str, value: &str) {
        self.headers.push(Header {
            name: name.to_owned(),
            value: value.to_owned(),
        });
    }

    /// The bytes of the answer. An answer to HEAD has no body.
    pub(super) fn encode(&self, is_head: bool) -> Vec<u8> {
        let reason = StatusCode::from_u16(self.status).ok();
        let reason = reason
            .and_then(|code| code.canonical_reason())
            .unwrap_or("");
        let mut out = format!("HTTP/1.1 {} {reason}\r\n", self.status).into_bytes();
        for header in self.headers.iter().filter(|header| is_sent(header)) {
            push_header(&mut out, &header.name, &header.value);
        }
        if self.is_last {
            push_header(&mut out, "connection", "close");
        }
        let has_no_body = matches!(self.status, 100..=199 | 204 | 304);
        if !has_no_body {
            push_header(&mut out, "content-length", &self.body.len().to_string());
        }
        out.extend_from_slice(b"\r\n");
        if !has_no_body && !is_head {
            out.extend_from_slice(&self.body);
        }
        out
    }
}

fn push_header(out: &mut Vec<u8>, name: &str, value: &str) {
    for part in [name, ": ", value, "\r\n"] {
        out.extend_from_slice(part.as_bytes());
    }
}

/// Whether a header can be sent without changing the framing of the answer.
fn is_sent(header: &Header) -> bool {
    let is_token = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
    let is_text = |byte: u8| byte == b'\t' || (byte >= b' ' && byte != 0x7f);
    !header.name.is_empty()
        && header.name.bytes().all(is_token)
        && header.value.bytes().all(is_text)
        && !OWN_HEADERS.contains(&header.name.as_str())
}
