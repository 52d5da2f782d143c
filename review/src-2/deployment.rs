//! A small deployment: machines, the store and ordinary clients.

use std::env;
use std::fs;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::machine::{Machine, Ports, config};
use crate::record::Record;
use crate::store::Store;

const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after the start in which all backends report and all daemons learn of them. Longer than
/// `stable_window`.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Starts a machine for each of `services`, runs `check`, and ends all processes. The backends of the
/// machines for which `reports` is true report by themselves.
pub fn run(
    path: &Path,
    services: &[&str],
    reports: impl Fn(usize) -> bool,
    check: impl FnOnce(&[Arc<Machine>], &Store, &Arc<Record>) -> io::Result<bool>,
) -> io::Result<bool> {
    let record = Arc::new(Record::create(path)?);
    let dir = env::temp_dir().join(format!("review-2-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    let net = format!("127.77.{}", std::process::id() % 250 + 1);
    let store = Store::bind()?;
    store.put("config", "main", config());
    let ports = Ports::pick(&format!("{net}.1"))?;
    let mut machines = Vec::new();
    let mut held = Ok(true);
    for (at, service) in services.iter().enumerate() {
        match Machine::spawn(
            reports(at),
            at as u8 + 1,
            &net,
            ports,
            service,
            &store,
            &dir,
            &record,
        ) {
            Ok(machine) => machines.push(machine),
            Err(err) => held = Err(err),
        }
    }
    if held.is_ok() {
        held = machines
            .iter()
            .try_for_each(|machine| wait_until_ready(machine))
            .and_then(|()| {
                thread::sleep(SETTLE_TIME);
                check(&machines, &store, &record)
            });
    }
    machines.iter().for_each(|machine| machine.stop());
    fs::remove_dir_all(&dir)?;
    held
}

pub fn wait_until_ready(machine: &Machine) -> io::Result<()> {
    let end = Instant::now() + START_TIMEOUT;
    while !machine.is_ready() {
        if Instant::now() > end {
            return Err(io::Error::other(format!(
                "{} is not ready in time",
                machine.name
            )));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// Sends a request every 100 ms until `is_over`. Returns the number of those answered with 200.
pub fn send_ordinary(machine: &Machine, record: &Record, is_over: &AtomicBool) -> u32 {
    let mut answered = 0;
    for number in 0.. {
        if is_over.load(SeqCst) {
            break;
        }
        let id = format!("{}-{number}", machine.name);
        let headers = format!("Host: shop.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 2000\r\n");
        let answer = http::call(machine.outbound(), "GET /stock/1 HTTP/1.1", &headers, b"");
        let status = answer.map(|answer| answer.status());
        answered += u32::from(status.as_ref().is_ok_and(|status| *status == 200));
        match status {
            Ok(status) => record.line(&format!("{id} sent, answered {status}")),
            Err(err) => record.line(&format!("{id} sent, no answer: {err}")),
        }
        thread::sleep(Duration::from_millis(100));
    }
    answered
}
