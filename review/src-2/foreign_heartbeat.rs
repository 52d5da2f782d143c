//! A heartbeat of another writer lacks a field. Checks whether the backend that it names gets requests
//! after its leaving was acknowledged.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;

use crate::deployment::{self, send_ordinary};
use crate::late_heartbeats::check_leaving;
use crate::machine::{BEAT_INTERVAL, Machine, now_ms};
use crate::record::Record;

/// Sequence number of the other writer's heartbeat.
const FOREIGN_SEQUENCE: i64 = 7;

/// Runs the case. Returns whether the rule held.
pub fn run(path: &Path, has_trouble: bool) -> io::Result<bool> {
    let services = ["orders"; 3];
    deployment::run(
        path,
        &services,
        |at| at > 0,
        |machines, _, record| {
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
            let result = leave(&machines[0], record, has_trouble);
            is_over.store(true, SeqCst);
            let answered: u32 = clients
                .into_iter()
                .map(|client| client.join().unwrap_or(0))
                .sum();
            record.line(&format!("requests answered with 200: {answered}"));
            result
        },
    )
}

fn leave(machine: &Machine, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let (id, born) = (&machine.backend.id, now_ms());
    for sequence in 1..=3 {
        let status = machine.heartbeat(born, sequence, "ready");
        record.line(&format!(
            "heartbeat of {id}, born {born}, {sequence}, ready: answered {status:?}"
        ));
        if status? / 100 != 2 {
            return Err(io::Error::other("a heartbeat was not acknowledged"));
        }
        thread::sleep(BEAT_INTERVAL);
    }
    if machine.backend.last_arrival().is_none() {
        return Err(io::Error::other(
            "the backend got no request while it was ready",
        ));
    }
    if has_trouble {
        let status =
            machine.send_heartbeat(&machine.heartbeat_without_born(FOREIGN_SEQUENCE, "ready"));
        record.line(&format!(
            "heartbeat of another writer for {id}, without `born`, {FOREIGN_SEQUENCE}, ready: answered {status:?}"
        ));
    }
    check_leaving(machine, record, born, 3)
}
