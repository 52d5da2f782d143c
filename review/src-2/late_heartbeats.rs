//! Backends start, crash and start again under their identity, and heartbeats of the first start
//! arrive late. Checks whether they get requests after their leaving was acknowledged.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, send_ordinary};
use crate::machine::{BEAT_INTERVAL, Machine, now_ms};
use crate::record::Record;

/// The bound `drain` of the settings.
const DRAIN: Duration = Duration::from_millis(2000);
/// Time for which the backend serves after the acknowledgement, longer than `drain`.
const SERVES_ON: Duration = Duration::from_millis(6000);
/// Time from a start to the crash.
const FIRST_LIFE: Duration = Duration::from_millis(2000);
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Longest time for which a backend asks for an acknowledgement.
const ACK_TIMEOUT: Duration = Duration::from_secs(4);

/// The heartbeats of the first start that arrive late, on each of the first machines. The others are
/// lost with the crash.
const LATE_HEARTBEATS: [&[i64]; 2] = [&[1, 2], &[2]];

/// Runs the case. Returns whether the rule held.
pub fn run(path: &Path, has_trouble: bool) -> io::Result<bool> {
    // The third backend serves throughout, so that leaving is no loss for clients.
    let services = ["orders"; 3];
    let reports = |at| at >= LATE_HEARTBEATS.len();
    deployment::run(path, &services, reports, |machines, _, record| {
        check(machines, record, has_trouble)
    })
}

fn check(machines: &[Arc<Machine>], record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = machines
        .iter()
        .map(|machine| {
            let (machine, record, is_over) = (
                Arc::clone(machine),
                Arc::clone(record),
                Arc::clone(&is_over),
            );
            thread::spawn(move || send_ordinary(&machine, &record, &is_over))
        })
        .collect();
    let leaving: Vec<_> = machines
        .iter()
        .zip(LATE_HEARTBEATS)
        .map(|(machine, late)| {
            let (machine, record) = (Arc::clone(machine), Arc::clone(record));
            let late = if has_trouble { late } else { &[] };
            thread::spawn(move || leave(&machine, &record, late))
        })
        .collect();
    let results = leaving.into_iter().map(|thread| match thread.join() {
        Ok(result) => result,
        Err(_) => Err(io::Error::other("a backend has failed")),
    });
    let result = results
        .collect::<io::Result<Vec<bool>>>()
        .map(|held| held.into_iter().all(|held| held));
    is_over.store(true, SeqCst);
    let answered: u32 = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .sum();
    record.line(&format!("requests answered with 200: {answered}"));
    result
}

fn leave(machine: &Machine, record: &Record, late_heartbeats: &[i64]) -> io::Result<bool> {
    let backend = &machine.backend;
    let id = &backend.id;
    // Its heartbeats are on their way and arrive late.
    let first_born = now_ms();
    record.line(&format!(
        "{id} starts, born {first_born}, and sends heartbeats 1 and 2"
    ));
    thread::sleep(FIRST_LIFE);
    backend.crash();
    record.line(&format!("{id} crashes"));
    thread::sleep(RESTART_DELAY);

    backend.start_again();
    let born = now_ms();
    record.line(&format!(
        "{id} starts again under its identity, born {born}"
    ));
    let beat = |born: i64, sequence: i64, state: &str| {
        let status = machine.heartbeat(born, sequence, state);
        record.line(&format!(
            "heartbeat of {id}, born {born}, {sequence}, {state}: answered {status:?}"
        ));
        status.unwrap_or(0)
    };
    let mut sequence = 0;
    for _ in 0..3 {
        sequence += 1;
        if beat(born, sequence, "ready") / 100 != 2 {
            return Err(io::Error::other("a heartbeat on time was not acknowledged"));
        }
        thread::sleep(BEAT_INTERVAL);
    }
    if backend.last_arrival().is_none() {
        return Err(io::Error::other(
            "the backend got no request while it was ready",
        ));
    }
    for late in late_heartbeats {
        beat(first_born, *late, "ready");
    }
    check_leaving(machine, record, born, sequence)
}

/// Has a backend leave after a further heartbeat. `sequence` is that of its last one. Returns whether
/// no request reaches it too late.
pub fn check_leaving(
    machine: &Machine,
    record: &Record,
    born: i64,
    sequence: i64,
) -> io::Result<bool> {
    let backend = &machine.backend;
    let id = &backend.id;
    let mut sequence = sequence;
    let beat = |sequence: i64, state: &str| {
        let status = machine.heartbeat(born, sequence, state);
        record.line(&format!(
            "heartbeat of {id}, born {born}, {sequence}, {state}: answered {status:?}"
        ));
        status.unwrap_or(0)
    };
    thread::sleep(Duration::from_millis(300));
    sequence += 1;
    beat(sequence, "ready");
    thread::sleep(Duration::from_millis(500));

    backend.leave();
    let end = Instant::now() + ACK_TIMEOUT;
    let acked_at = loop {
        sequence += 1;
        if beat(sequence, "draining") / 100 == 2 {
            break Instant::now();
        }
        if Instant::now() > end {
            record.line(&format!(
                "the leaving of {id} was not acknowledged, so nothing is promised"
            ));
            return Ok(true);
        }
        thread::sleep(Duration::from_millis(300));
    };
    record.line(&format!("the leaving of {id} is acknowledged"));
    while acked_at.elapsed() < SERVES_ON {
        thread::sleep(BEAT_INTERVAL);
        sequence += 1;
        beat(sequence, "draining");
    }
    let late = backend.arrivals_since(acked_at + DRAIN);
    let last = backend
        .last_arrival()
        .map(|last| last.saturating_duration_since(acked_at));
    record.line(&format!(
        "requests that reached {id} later than {DRAIN:?} after the acknowledgement: {late}, the last one after {last:?}"
    ));
    Ok(late == 0)
}
