//! A backend leaves while the store is down, its daemon is killed and starts again once the store is
//! back, a heartbeat arrives late, and a health check is answered falsely. Checks whether the backend
//! gets requests after its leaving was acknowledged.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, send_ordinary};
use crate::machine::{BEAT_INTERVAL, Machine, now_ms};
use crate::record::Record;
use crate::store::Store;

/// The bounds `drain` and `stable_window` of the settings.
const DRAIN: Duration = Duration::from_millis(2000);
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
/// Times from the start of the store's outage.
const HEARTBEAT_SENT: Duration = Duration::from_millis(500);
const LEAVES: Duration = Duration::from_millis(1000);
const KILLED: Duration = Duration::from_millis(1800);
const STORE_BACK: Duration = Duration::from_millis(2000);
const HEARTBEAT_ARRIVES: Duration = Duration::from_millis(4500);
/// From then on health checks are answered truly, with 503.
const TRUE_HEALTH: Duration = Duration::from_millis(7000);
const END: Duration = Duration::from_millis(10_000);

/// Runs the case. Returns whether the rule held.
pub fn run(path: &Path, has_trouble: bool) -> io::Result<bool> {
    let services = ["orders"; 3];
    deployment::run(
        path,
        &services,
        |at| at > 0,
        |machines, store, record| {
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
            let result = leave(&machines[0], store, record, has_trouble);
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

fn leave(machine: &Machine, store: &Store, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let backend = &machine.backend;
    let (id, born) = (&backend.id, now_ms());
    for sequence in 1..=3 {
        let status = machine.heartbeat(born, sequence, "ready");
        record.line(&format!(
            "heartbeat {sequence} of {id}: answered {status:?}"
        ));
        thread::sleep(BEAT_INTERVAL);
    }
    if backend.last_arrival().is_none() {
        return Err(io::Error::other(
            "the backend got no request while it was ready",
        ));
    }
    let start = Instant::now();
    let wait_until = |at: Duration| thread::sleep(at.saturating_sub(start.elapsed()));
    if has_trouble {
        store.set_down(true);
        record.line("the store is down");
    }
    wait_until(HEARTBEAT_SENT);
    record.line(&format!("heartbeat 4 of {id} is sent, and delayed"));
    wait_until(LEAVES);
    if !has_trouble {
        backend.leave();
    }
    let status = machine.deregister(born);
    let acked_at = Instant::now();
    record.line(&format!("{id} leaves: answered {status:?}"));
    if status.unwrap_or(0) / 100 != 2 {
        record.line("its leaving was not acknowledged, so nothing is promised");
        return Ok(true);
    }
    wait_until(KILLED);
    if has_trouble {
        machine.kill();
        record.line(&format!("{} is killed", machine.name));
    }
    wait_until(STORE_BACK);
    store.set_down(false);
    record.line("the store is up");
    wait_until(HEARTBEAT_ARRIVES);
    let status = machine.heartbeat(born, 4, "ready");
    record.line(&format!("heartbeat 4 of {id} arrives: answered {status:?}"));
    wait_until(TRUE_HEALTH);
    backend.leave();
    wait_until(END);
    // The daemon was started again half a second after the kill, and is in touch `stable_window` later.
    let in_touch_at = start + KILLED + Duration::from_millis(600) + STABLE_WINDOW;
    let late = backend.arrivals_since(in_touch_at.max(acked_at + DRAIN));
    let last = backend
        .last_arrival()
        .map(|last| last.saturating_duration_since(acked_at));
    record.line(&format!(
        "requests that reached {id} later than {DRAIN:?} after the acknowledgement, with all machines in touch: \
         {late}, the last one after {last:?}"
    ));
    Ok(late == 0)
}
