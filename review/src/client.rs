//! A caller of the machine.

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::time::Duration;

use crate::cases::HOST;
use crate::daemon::Daemon;
use crate::http::read_message;
use crate::record::Record;

/// Sends a safe request on a connection of its own. Returns the status of the answer, zero if there
/// is none.
pub fn get(daemon: &Daemon, id: &str, path: &str, record: &Record) -> u16 {
    let Ok(mut stream) = TcpStream::connect(daemon.listen.outbound) else {
        return 0;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    let req = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\nConnection: close\r\n\r\n"
    );
    record.line(format!("client: request {id} sent"));
    if stream.write_all(req.as_bytes()).is_err() {
        return 0;
    }
    let status = read_message(&mut BufReader::new(stream)).map_or(0, |answer| answer.status());
    record.line(format!("client: request {id} is answered {status}"));
    status
}
