//! The head of a request.

use lavenderhatch_core::call::Header;
use oxhttp::model::Uri;

use super::body::Framing;
use super::conn::Conn;
use super::fault::ReadFault;

/// Largest head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most headers.
const MAX_HEADERS: usize = 128;

/// The head of a request.
#[derive(Debug)]
pub(super) struct Head {
    pub(super) method: String,
    /// Path with query.
    pub(super) target: String,
    /// Headers with names in lower case.
    pub(super) headers: Vec<Header>,
    /// Minor version of HTTP/1.
    minor: u8,
}

/// Reads the head of a request.
pub(super) fn read_head(conn: &mut Conn) -> Result<Head, ReadFault> {
    loop {
        if let Some(end) = head_end(conn.unused()) {
            let head = parse(&conn.unused()[..end])?;
            conn.consume(end);
            return Ok(head);
        }
        check_line_ends(conn.unused())?;
        if conn.unused().len() > MAX_HEAD_BYTES {
            return Err(ReadFault::too_large("the head is larger than 16 KiB"));
        }
        conn.fill()?;
    }
}

/// Length of the head at the start of `bytes`, if it is there whole.
fn head_end(bytes: &[u8]) -> Option<usize> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    end.map(|at| at + 4).filter(|end| *end <= MAX_HEAD_BYTES)
}

/// Refuses bare line feeds, which some readers take for line ends and others do not.
fn check_line_ends(bytes: &[u8]) -> Result<(), ReadFault> {
    let mut before = 0;
    for byte in bytes {
        if *byte == b'\n' && before != b'\r' {
            return Err(ReadFault::bad("a line of the head does not end with CR LF"));
        }
        before = *byte;
    }
    Ok(())
}

fn parse(bytes: &[u8]) -> Result<Head, ReadFault> {
    check_line_ends(bytes)?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return Err(ReadFault::bad("the head is not whole")),
        Err(httparse::Error::TooManyHeaders) => {
            return Err(ReadFault::too_large("there are more than 128 headers"));
        }
        Err(_) => return Err(ReadFault::bad("the head is not one of HTTP/1.1")),
    }
    let headers = parsed.headers.iter().map(read_header);
    let head = Head {
        method: parsed.method.unwrap_or_default().to_owned(),
        target: read_target(parsed.path.unwrap_or_default())?,
        headers: headers.collect::<Result<_, _>>()?,
        minor: parsed.version.unwrap_or_default(),
    };
    if head.minor > 0 && head.values("host").count() != 1 {
        return Err(ReadFault::bad("a request has one Host header"));
    }
    Ok(head)
}

fn read_target(text: &str) -> Result<String, ReadFault> {
    let fault = ReadFault::bad("the target is not a path");
    let uri = Uri::try_from(text).map_err(|_| fault)?;
    let target = uri.path_and_query().ok_or(fault)?.as_str();
    match target.starts_with('/') {
        true => Ok(target.to_owned()),
        false => Err(fault),
    }
}

fn read_header(header: &httparse::Header<'_>) -> Result<Header, ReadFault> {
    let is_text = |byte: &u8| *byte == b'\t' || (b' '..=b'~').contains(byte);
    if !header.value.iter().all(is_text) {
        return Err(ReadFault::bad("a header is not text"));
    }
    Ok(Header {
        name: header.name.to_ascii_lowercase(),
        value: String::from_utf8_lossy(header.value).into_owned(),
    })
}

impl Head {
    fn values<'a>(&'a self, name: &'static str) -> impl Iterator<Item = &'a str> {
        let named = self
            .headers
            .iter()
            .filter(move |header| header.name == name);
        named.map(|header| header.value.as_str())
    }

    /// How the body is framed.
    pub(super) fn framing(&self) -> Result<Framing, ReadFault> {
        let mut lengths = self.values("content-length");
        let mut codings = self.values("transfer-encoding");
        let framing = match (lengths.next(), codings.next()) {
            (None, None) => Framing::Length(0),
            (Some(text), None) => Framing::Length(parse_length(text)?),
            (None, Some(text)) if self.minor > 0 && text.eq_ignore_ascii_case("chunked") => {
                Framing::Chunked
            }
            (None, Some(_)) => return Err(ReadFault::bad("only the coding chunked is known")),
            (Some(_), Some(_)) => return Err(ReadFault::bad("the body has a length and a coding")),
        };
        if lengths.next().is_some() || codings.next().is_some() {
            return Err(ReadFault::bad("the body is framed twice"));
        }
        Ok(framing)
    }

    /// Whether the caller may send another request on the connection.
    pub(super) fn is_persistent(&self) -> bool {
        let mut options = self.values("connection").flat_map(|value| value.split(','));
        self.minor > 0 && !options.any(|option| option.trim().eq_ignore_ascii_case("close"))
    }

    /// Whether the caller waits for leave to send the body.
    pub(super) fn expects_continue(&self) -> Result<bool, ReadFault> {
        match self.values("expect").next() {
            None => Ok(false),
            Some(text) if text.eq_ignore_ascii_case("100-continue") => Ok(self.minor > 0),
            Some(_) => Err(ReadFault::bad("the expectation is not known")),
        }
    }
}

/// Parses digits alone; the standard parser also takes a sign.
fn parse_length(text: &str) -> Result<u64, ReadFault> {
    let fault = ReadFault::bad("the length of the body is not a number");
    match text.bytes().all(|byte| byte.is_ascii_digit()) {
        true => text.parse().map_err(|_| fault),
        false => Err(fault),
    }
}
