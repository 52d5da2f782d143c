//! A connection from a caller, read within a deadline.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use super::fault::ReadFault;

/// Bytes that are read at a time.
const READ_BYTES: usize = 16 * 1024;
/// Most bytes that are read and dropped after the last answer.
const LINGER_BYTES: usize = 1024 * 1024;

/// A connection with the bytes that were read and not used yet. They outlive a request, so that
/// pipelined requests are not lost.
pub(super) struct Conn {
    stream: TcpStream,
    buf: Vec<u8>,
    /// Invariant: at most the length of `buf`.
    used: usize,
    /// When the present request must be whole.
    deadline: Instant,
}

impl Conn {
    /// Takes over a stream. A write that makes no progress for `write_timeout` fails.
    pub(super) fn open(stream: TcpStream, write_timeout: Duration) -> std::io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(write_timeout))?;
        Ok(Self {
            stream,
            buf: Vec::new(),
            used: 0,
            deadline: Instant::now(),
        })
    }

    /// Waits for the first byte of a request for at most `time`, which is then also the time for
    /// the whole request. Says whether a byte came.
    pub(super) fn wait_for_request(&mut self, time: Duration) -> bool {
        self.deadline = Instant::now() + time;
        let has_byte = !self.unused().is_empty() || self.fill().is_ok();
        self.deadline = Instant::now() + time;
        has_byte
    }

    /// Bytes that were read and not used yet.
    pub(super) fn unused(&self) -> &[u8] {
        &self.buf[self.used..]
    }

    /// Marks bytes as used.
    pub(super) fn consume(&mut self, count: usize) {
        self.used = (self.used + count).min(self.buf.len());
    }

    /// Reads more bytes, at least one.
    pub(super) fn fill(&mut self) -> Result<(), ReadFault> {
        if self.used > 0 {
            self.buf.drain(..self.used);
            self.used = 0;
        }
        let end = self.buf.len();
        self.buf.resize(end + READ_BYTES, 0);
        let count = read_before(&mut self.stream, &mut self.buf[end..], self.deadline);
        self.buf.truncate(end + count.unwrap_or(0));
        match count {
            Ok(0) => Err(ReadFault::Gone),
            Ok(_) => Ok(()),
            Err(err) => Err(err),
        }
    }

    /// Reads a line that ends with CR LF, and gives it without them.
    pub(super) fn line(&mut self, max_bytes: usize) -> Result<Vec<u8>, ReadFault> {
        loop {
            let line_feed = self.unused().iter().position(|byte| *byte == b'\n');
            if let Some(at) = line_feed {
                let line = self.unused()[..at].strip_suffix(b"\r");
                let line = line.ok_or(ReadFault::bad("a line does not end with CR LF"))?;
                let line = line.to_vec();
                self.consume(at + 1);
                return Ok(line);
            }
            if self.unused().len() > max_bytes {
                return Err(ReadFault::bad("a line of a chunked body is too long"));
            }
            self.fill()?;
        }
    }

    /// Reads exactly `count` bytes to the end of `out`.
    pub(super) fn read_to(&mut self, out: &mut Vec<u8>, count: usize) -> Result<(), ReadFault> {
        let mut left = count;
        while left > 0 {
            if self.unused().is_empty() {
                self.fill()?;
            }
            let part = left.min(self.unused().len());
            out.extend_from_slice(&self.unused()[..part]);
            self.consume(part);
            left -= part;
        }
        Ok(())
    }

    /// Writes bytes.
    pub(super) fn write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Ends the connection after the last answer.
    ///
    /// Closing a socket with unread bytes resets the connection, and the caller may then lose the
    /// answer. So the caller is told first, and what it still sends is read and dropped for the
    /// time `linger`.
    pub(super) fn close(mut self, linger: Duration) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let deadline = Instant::now() + linger;
        let mut dropped = 0;
        self.buf.resize(READ_BYTES, 0);
        while dropped < LINGER_BYTES {
            match read_before(&mut self.stream, &mut self.buf, deadline) {
                Ok(0) | Err(_) => return,
                Ok(count) => dropped += count,
            }
        }
    }
}

/// Reads what there is, and waits until `deadline` if there is nothing.
fn read_before(
    stream: &mut TcpStream,
    buf: &mut [u8],
    deadline: Instant,
) -> Result<usize, ReadFault> {
    let late = ReadFault::bad("the request did not arrive in time");
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(late);
        }
        stream
            .set_read_timeout(Some(left))
            .map_err(|_| ReadFault::Gone)?;
        match stream.read(buf) {
            Ok(count) => return Ok(count),
            Err(err) => match err.kind() {
                ErrorKind::Interrupted => {}
                ErrorKind::WouldBlock | ErrorKind::TimedOut => return Err(late),
                _ => return Err(ReadFault::Gone),
            },
        }
    }
}
