//! A caller that writes raw requests to a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};

use super::TEST_TIMEOUT;

/// An answer that the caller received.
#[derive(Clone, Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: String,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// One connection of a caller.
pub(crate) struct Caller {
    reader: BufReader<TcpStream>,
}

impl Caller {
    pub(crate) fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Self {
            reader: BufReader::new(stream),
        }
    }

    pub(crate) fn send(&mut self, text: &str) {
        self.reader.get_mut().write_all(text.as_bytes()).unwrap();
    }

    /// Sends a request without a body.
    pub(crate) fn get(&mut self, path: &str) {
        self.send(&request("GET", path, "", ""));
    }

    /// Sends a request that may run only once.
    pub(crate) fn post(&mut self, path: &str, body: &str) {
        self.send(&request("POST", path, "", body));
    }

    /// Reads the next answer; `None` if the connection ends instead.
    pub(crate) fn read(&mut self) -> Option<Response> {
        let status = self.read_line()?;
        let status = status.split(' ').nth(1)?.parse().ok()?;
        let mut headers = Vec::new();
        loop {
            let header = self.read_line()?;
            if header.is_empty() {
                break;
            }
            let (name, value) = header.split_once(':')?;
            headers.push((name.to_owned(), value.trim().to_owned()));
        }
        let mut res = Response {
            status,
            headers,
            body: String::new(),
        };
        let length = res
            .header("content-length")
            .map_or(0, |text| text.parse().unwrap());
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).ok()?;
        res.body = String::from_utf8(body).unwrap();
        Some(res)
    }

    fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(0) | Err(_) => None,
            Ok(_) => Some(line.trim_end().to_owned()),
        }
    }
}

/// Formats a request. `headers` are whole lines, each with its line ending.
pub(crate) fn request(method: &str, path: &str, headers: &str, body: &str) -> String {
    let length = match body.is_empty() {
        true => String::new(),
        false => format!("content-length: {}\r\n", body.len()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nrequest-id: id{path}\r\ntime-left: 5000\r\n{headers}{length}\r\n{body}"
    )
}
