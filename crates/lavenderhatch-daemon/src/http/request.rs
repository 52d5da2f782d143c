//! A request, read whole.

use lavenderhatch_core::call::Header;

use super::body::read_body;
use super::conn::Conn;
use super::fault::ReadFault;
use super::head::read_head;

/// A request, read whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HttpRequest {
    /// Method.
    pub(crate) method: String,
    /// Path with query.
    pub(crate) target: String,
    /// Headers with names in lower case.
    pub(crate) headers: Vec<Header>,
    /// Body, whole.
    pub(crate) body: Vec<u8>,
    /// Whether the caller may send another request on this connection.
    pub(crate) is_persistent: bool,
}

impl HttpRequest {
    /// The value of the first header of this name, which is in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|header| header.name == name);
        header.map(|header| header.value.as_str())
    }
}

/// Reads a request whole.
pub(super) fn read_request(conn: &mut Conn, max_body: u64) -> Result<HttpRequest, ReadFault> {
    let head = read_head(conn)?;
    let framing = head.framing()?;
    framing.check(max_body)?;
    let is_persistent = head.is_persistent();
    if head.expects_continue()? && framing.has_body() && conn.unused().is_empty() {
        let sent = conn.write(b"HTTP/1.1 100 Continue\r\n\r\n");
        sent.map_err(|_| ReadFault::Gone)?;
    }
    let body = read_body(conn, framing, max_body)?;
    Ok(HttpRequest {
        method: head.method,
        target: head.target,
        headers: head.headers,
        body,
        is_persistent,
    })
}
