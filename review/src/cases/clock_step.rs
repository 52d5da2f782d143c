//! A backend starts again after the time of day was set back, and leaves.

use super::departure::has_late_arrival;
use super::*;
use crate::backend::unix_ms;
use crate::client;

/// Time by which the clock of the machine is ahead for a while, in milliseconds.
const STEP_MS: i64 = 2400;

pub fn run(setting: &Setting) -> CaseResult {
    let record = &setting.record;
    let mut machine = Machine::start(setting)?;
    let control = machine.daemon.listen.control;
    let step = if setting.has_trouble { STEP_MS } else { 0 };
    // The backend starts while the time of day is ahead. The clock of this machine is not touched:
    // the stand-in only reports the time that it would read.
    machine.backend = machine.backend.restart(unix_ms() + step);
    if machine.report_ready() != 200 {
        return Err("the backend's first report has no 200".to_owned());
    }
    sleep_ms(300);
    let status = client::get(&machine.daemon, "before", "/lohu930/work-20", record);
    if status != 200 {
        return Err(format!("a request before the departure ends with {status}"));
    }
    sleep_ms(1000);
    // The clock is right again.
    machine.backend = machine.backend.restart(unix_ms());
    if machine.report_ready() != 200 {
        return Err("a report after the restart has no 200".to_owned());
    }
    sleep_ms(700);
    client::get(&machine.daemon, "between", "/lohu930/work-20", record);
    if machine.backend.deregister(control) != 200 {
        return Err("the departure is not acknowledged".to_owned());
    }
    let acknowledged = record.now();
    // The last disruption is further back than the stable window of 3 s at the first request.
    sleep_ms(2500);
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
