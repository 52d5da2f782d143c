//! A caller that sends raw bytes.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// A TCP connection to a daemon's port for callers.
pub(crate) struct RawCaller(TcpStream);

impl RawCaller {
    pub(crate) fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .unwrap();
        Self(stream)
    }

    /// Writes bytes and returns whether the connection still accepted them.
    pub(crate) fn send(&mut self, bytes: &[u8]) -> bool {
        self.0.write_all(bytes).is_ok()
    }

    /// Closes the sending direction and keeps the receiving direction open.
    pub(crate) fn half_close(&self) {
        self.0.shutdown(Shutdown::Write).unwrap();
    }

    /// Reads one response with a `Content-Length`. Returns `None` if the connection ended before it
    /// was complete.
    pub(crate) fn read_response(&mut self) -> Option<String> {
        let mut text = self.read_until("\r\n\r\n");
        let length = text.to_lowercase();
        let length = length.split_once("content-length: ")?.1;
        let length = length.split_once("\r\n")?.0.parse().unwrap();
        for _ in 0..length {
            text.push(self.read_byte()?);
        }
        Some(text)
    }

    /// Reads up to and including `end`, or until the end of the connection.
    pub(crate) fn read_until(&mut self, end: &str) -> String {
        let mut text = String::new();
        while !text.ends_with(end) {
            let Some(byte) = self.read_byte() else { break };
            text.push(byte);
        }
        text
    }

    /// Returns whether the daemon closed the connection without sending more.
    pub(crate) fn is_closed(&mut self) -> bool {
        self.read_byte().is_none()
    }

    fn read_byte(&mut self) -> Option<char> {
        let mut byte = [0];
        match self.0.read(&mut byte) {
            Ok(0) => None,
            Ok(_) => Some(char::from(byte[0])),
            Err(err) if err.kind() == std::io::ErrorKind::ConnectionReset => None,
            Err(err) => panic!("cannot read from the daemon: {err}"),
        }
    }
}
