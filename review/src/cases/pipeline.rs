//! A daemon is stopped while a caller that pipelines waits for its answers.

use std::io::{BufReader, Write};
use std::net::TcpStream;

use super::*;
use crate::daemon::Signal;
use crate::http::read_message;

/// Requests that the caller sends without waiting, after a first one on the same connection.
const REQUESTS: usize = 5;

pub fn run(setting: &Setting) -> CaseResult {
    let record = &setting.record;
    let mut machine = Machine::start(setting)?;
    keep_reporting(&machine.backend, machine.daemon.listen.control);
    let stream =
        TcpStream::connect(machine.daemon.listen.outbound).map_err(|err| err.to_string())?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs(6)));
    let mut writer = stream.try_clone().map_err(|err| err.to_string())?;
    let mut reader = BufReader::new(stream);
    writer
        .write_all(head("first", 20).as_bytes())
        .map_err(|err| err.to_string())?;
    let first = read_message(&mut reader).map_or(0, |answer| answer.status());
    if first != 200 {
        return Err(format!("the first request ends with {first}"));
    }
    let requests: String = (0..REQUESTS)
        .map(|at| head(&format!("p{at}"), 800))
        .collect();
    writer
        .write_all(requests.as_bytes())
        .map_err(|err| err.to_string())?;
    record.line(format!(
        "client: p0 to p{} sent on the same connection",
        REQUESTS - 1
    ));
    sleep_ms(300);
    keep_checking(&machine.daemon, record);
    if setting.has_trouble {
        machine.daemon.signal(Signal::Terminate);
    }
    let mut lost = 0;
    for at in 0..REQUESTS {
        let id = format!("p{at}");
        let Some(answer) = read_message(&mut reader).filter(|answer| answer.is_whole) else {
            let is_passed_on = machine.backend.arrivals().iter().any(|run| run.id == id);
            record.line(format!(
                "client: the connection ends without an answer to {id}, passed on: {is_passed_on}"
            ));
            lost += usize::from(is_passed_on);
            continue;
        };
        let connection = answer.header("connection");
        record.line(format!(
            "client: {id} is answered {}, Connection: {connection:?}",
            answer.status()
        ));
    }
    if setting.has_trouble {
        machine.daemon.wait(Duration::from_secs(7));
    }
    record.line(format!(
        "{lost} requests were passed on to the backend and never answered"
    ));
    Ok(lost == 0)
}

fn head(id: &str, work_ms: u64) -> String {
    format!("GET /lohu930/work-{work_ms} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 5000\r\n\r\n")
}
