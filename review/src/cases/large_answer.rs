//! A daemon is stopped while a large answer is on its way to a caller.

use std::io::{BufReader, Write};
use std::net::TcpStream;

use super::*;
use crate::daemon::Signal;
use crate::http::read_message;
use crate::link::Link;

/// Bytes of the answer's body.
const ANSWER_BYTES: usize = 2_000_000;
/// Time that the backend works on the request, in milliseconds.
const WORK_MS: u64 = 2900;
/// `link_mbps` of the machine.
const LINK_MBPS: f64 = 14.0;

pub fn run(setting: &Setting) -> CaseResult {
    let record = &setting.record;
    let mut machine = Machine::start_with_link(setting, LINK_MBPS)?;
    keep_reporting(&machine.backend, machine.daemon.listen.control);
    let link = Link::start(
        &format!("{}.3", setting.net),
        machine.daemon.listen.outbound,
        LINK_MBPS,
        record,
    );
    let stream = TcpStream::connect(link.addr).map_err(|err| err.to_string())?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let mut writer = stream.try_clone().map_err(|err| err.to_string())?;
    let mut reader = BufReader::new(stream);
    let path = format!("/lohu930/work-{WORK_MS}/size-{ANSWER_BYTES}");
    let req = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: large\r\nDeadline-Ms: 6000\r\n\r\n"
    );
    writer
        .write_all(req.as_bytes())
        .map_err(|err| err.to_string())?;
    record.line(format!("client: request large sent, GET {path}"));
    sleep_ms(100);
    keep_checking(&machine.daemon, record);
    if setting.has_trouble {
        machine.daemon.signal(Signal::Terminate);
    }
    let answer = read_message(&mut reader);
    if setting.has_trouble {
        machine.daemon.wait(Duration::from_secs(7));
    }
    let Some(answer) = answer else {
        record.line("client: the connection ends without an answer to large");
        return Ok(false);
    };
    record.line(format!(
        "client: large is answered {}, {} of {} bytes of the body, then the connection ends",
        answer.status(),
        answer.body.len(),
        answer.header("content-length")
    ));
    Ok(answer.is_whole && answer.status() == 200)
}
