//! A backend leaves while the store is down, and the daemon that has acknowledged this is killed.

use super::*;
use crate::client;
use crate::daemon::Signal;

/// `drain` of the settings, in seconds.
const DRAIN: f64 = 2.0;

pub fn run(setting: &Setting) -> CaseResult {
    let record = &setting.record;
    let mut machine = Machine::start(setting)?;
    let control = machine.daemon.listen.control;
    let status = client::get(&machine.daemon, "before", "/lohu930/work-20", record);
    if status != 200 {
        return Err(format!("a request before the departure ends with {status}"));
    }
    sleep_ms(1300);
    if setting.has_trouble {
        machine.store.set_silent(true);
    }
    sleep_ms(100);
    let late = machine.backend.report("ready");
    record.line("backend: sends its next report (ready), which is delayed on the way");
    sleep_ms(100);
    if machine.backend.deregister(control) != 200 {
        return Err("the departure is not acknowledged".to_owned());
    }
    let acknowledged = record.now();
    sleep_ms(200);
    if setting.has_trouble {
        machine.daemon.signal(Signal::Kill);
        machine.daemon.wait(Duration::from_secs(2));
        sleep_ms(500);
        machine.daemon.spawn();
        sleep_ms(800);
        machine.store.set_silent(false);
    }
    if !machine.daemon.wait_until_ready(Duration::from_secs(8)) {
        return Err("the daemon is not ready after its restart".to_owned());
    }
    sleep_ms(700);
    machine.backend.send_report(control, &late);
    // From here, the store and the daemon are without disruption for the stable window of 3 s.
    sleep_ms(2600);
    for at in 0..6 {
        client::get(
            &machine.daemon,
            &format!("after-{at}"),
            "/lohu930/work-20",
            record,
        );
        sleep_ms(200);
    }
    Ok(!has_late_arrival(&machine.backend, acknowledged, record))
}

/// Whether a request has reached a backend after the drain time.
pub fn has_late_arrival(backend: &Backend, acknowledged: f64, record: &Record) -> bool {
    let late = backend
        .arrivals()
        .into_iter()
        .filter(|run| run.at > acknowledged + DRAIN);
    late.inspect(|run| {
        let after = run.at - acknowledged;
        let id = &run.id;
        record.line(format!(
            "request {id} reached the backend {after:.1} s after its departure was acknowledged"
        ));
    })
    .count()
        > 0
}
