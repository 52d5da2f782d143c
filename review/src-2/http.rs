//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer with its whole body.
#[derive(Debug)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the next message. The daemon sends answers with a length only.
pub fn read(reader: &mut BufReader<TcpStream>) -> io::Result<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    let mut message = Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    };
    let length = message
        .header("content-length")
        .and_then(|length| length.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

pub fn write(stream: &mut impl Write, first: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!("{first}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads its answer.
pub fn call(addr: SocketAddr, first: &str, headers: &str, body: &[u8]) -> io::Result<Message> {
    let limit = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&addr, limit)?;
    stream.set_read_timeout(Some(limit))?;
    write(&mut stream, first, headers, body)?;
    read(&mut BufReader::new(stream))
}
