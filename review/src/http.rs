//! Just enough HTTP/1.1 for the stand-ins.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body is as long as its headers say.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn word(&self, at: usize) -> &str {
        self.first.split(' ').nth(at).unwrap_or("")
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a message with a body of known length or in chunks. `None` if the connection ends before
/// the head is complete.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    message.first = read_line(reader)?;
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        message.is_whole = read_chunks(reader, &mut message.body).is_some();
        return Some(message);
    }
    let length: usize = message.header("content-length").parse().unwrap_or(0);
    let read = reader.take(length as u64).read_to_end(&mut message.body);
    message.is_whole = read.is_ok() && message.body.len() == length;
    Some(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let length = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
        let mut chunk = vec![0; length];
        reader.read_exact(&mut chunk).ok()?;
        body.extend(chunk);
        read_line(reader)?;
        if length == 0 {
            return Some(());
        }
    }
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    let count = reader.read_until(b'\n', &mut line).ok()?;
    if count == 0 || !line.ends_with(b"\n") {
        return None;
    }
    Some(String::from_utf8_lossy(&line).trim_end().to_owned())
}
