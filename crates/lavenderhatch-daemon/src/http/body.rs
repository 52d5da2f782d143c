//! The body of a request.

use super::conn::Conn;
use super::fault::ReadFault;

/// Longest line with the size of a chunk, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Most trailers.
const MAX_TRAILERS: usize = 16;
/// Most hexadecimal digits of the size of a chunk.
const MAX_CHUNK_DIGITS: usize = 15;

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// Length in bytes.
    Length(u64),
    /// In chunks.
    Chunked,
}

impl Framing {
    pub(super) fn has_body(self) -> bool {
        self != Framing::Length(0)
    }

    /// Refuses a body that is known to be too large.
    pub(super) fn check(self, max_body: u64) -> Result<(), ReadFault> {
        match self {
            Framing::Length(length) if length > max_body => Err(too_large()),
            _ => Ok(()),
        }
    }
}

/// Reads a body whole.
pub(super) fn read_body(
    conn: &mut Conn,
    framing: Framing,
    max_body: u64,
) -> Result<Vec<u8>, ReadFault> {
    let mut body = Vec::new();
    match framing {
        Framing::Length(length) => conn.read_to(&mut body, length as usize)?,
        Framing::Chunked => read_chunks(conn, &mut body, max_body)?,
    }
    Ok(body)
}

fn read_chunks(conn: &mut Conn, body: &mut Vec<u8>, max_body: u64) -> Result<(), ReadFault> {
    loop {
        let line = conn.line(MAX_CHUNK_LINE_BYTES)?;
        let size = parse_size(&line)?;
        if size == 0 {
            return read_trailers(conn);
        }
        if size.saturating_add(body.len() as u64) > max_body {
            return Err(too_large());
        }
        conn.read_to(body, size as usize)?;
        let mut end = Vec::new();
        conn.read_to(&mut end, 2)?;
        if end != b"\r\n" {
            return Err(ReadFault::bad("a chunk does not end with CR LF"));
        }
    }
}

/// The size in a chunk's first line. Extensions are ignored.
fn parse_size(line: &[u8]) -> Result<u64, ReadFault> {
    let fault = ReadFault::bad("the size of a chunk is not a number");
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    if !is_number || digits.len() > MAX_CHUNK_DIGITS {
        return Err(fault);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| fault)?;
    u64::from_str_radix(digits, 16).map_err(|_| fault)
}

/// Reads and drops the trailers.
fn read_trailers(conn: &mut Conn) -> Result<(), ReadFault> {
    for _ in 0..=MAX_TRAILERS {
        if conn.line(MAX_CHUNK_LINE_BYTES)?.is_empty() {
            return Ok(());
        }
    }
    Err(ReadFault::too_large("there are more than 16 trailers"))
}

fn too_large() -> ReadFault {
    ReadFault::too_large("the body is larger than the mesh allows")
}
