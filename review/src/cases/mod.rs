mod clock_step;
mod departure;
mod large_answer;
mod large_bodies;
mod pipeline;

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::backend::Backend;
use crate::daemon::Daemon;
use crate::record::Record;
use crate::store::{config, Route, Store};
use crate::Setting;

/// Whether the rule held, or why the case could not run.
pub type CaseResult = Result<bool, String>;

pub fn run(case: &str, setting: &Setting) -> CaseResult {
    match case {
        "clock-step" => clock_step::run(setting),
        "departure" => departure::run(setting),
        "large-answer" => large_answer::run(setting),
        "large-bodies" => large_bodies::run(setting),
        "pipeline" => pipeline::run(setting),
        _ => Err(format!("there is no case {case}")),
    }
}

/// `stable_window` of the settings, with a margin.
pub const STABLE_WINDOW: Duration = Duration::from_millis(3200);

pub const HOST: &str = "ficu95.example";

pub const ROUTES: [Route; 2] = [
    Route {
        name: "r-safe",
        prefix: "/lohu930/",
        kind: "safe",
        timeout: "5000ms",
        target: "2500ms",
    },
    Route {
        name: "r-unsafe",
        prefix: "/pufi791/",
        kind: "unsafe",
        timeout: "5000ms",
        target: "2500ms",
    },
];

/// A store with a configuration, and one machine with a backend and its daemon.
pub struct Machine {
    pub store: Store,
    pub backend: Backend,
    pub daemon: Daemon,
}

impl Machine {
    /// Starts the machine, and waits until its daemon is ready and in touch.
    pub fn start(setting: &Setting) -> Result<Self, String> {
        Self::start_with_link(setting, 1000.0)
    }

    /// Starts the machine with a link of this bandwidth.
    pub fn start_with_link(setting: &Setting, link_mbps: f64) -> Result<Self, String> {
        let record = &setting.record;
        let ip = format!("{}.2", setting.net);
        let store = Store::start(&format!("{}.1", setting.net), record);
        store.put("config", "main", config(7, HOST, "orders", &ROUTES));
        let backend = Backend::start(&ip, "i-7f3a91c2", "orders", record);
        let name = "sidecar-zone-a-1";
        let daemon = Daemon::start(&setting.dir, name, &ip, &backend, &store, link_mbps, record);
        let machine = Self {
            store,
            backend,
            daemon,
        };
        if !machine.daemon.wait_until_ready(Duration::from_secs(8)) {
            return Err("the daemon is not ready".to_owned());
        }
        if machine.report_ready() != 200 {
            return Err("the backend's first report has no 200".to_owned());
        }
        thread::sleep(STABLE_WINDOW);
        match machine.report_ready() {
            200 => Ok(machine),
            status => Err(format!("a report of the backend is answered {status}")),
        }
    }

    /// Sends a report that the backend is ready. Returns the status of the answer.
    pub fn report_ready(&self) -> u16 {
        let report = self.backend.report("ready");
        self.backend
            .send_report(self.daemon.listen.control, &report)
    }
}

/// Reports every `heartbeat_interval` that a backend is ready, until the case ends.
pub fn keep_reporting(backend: &Backend, control: SocketAddr) {
    let backend = backend.clone();
    thread::spawn(move || loop {
        thread::sleep(Duration::from_millis(1500));
        let report = backend.report("ready");
        backend.send_report(control, &report);
    });
}

/// Sends a readiness check every second, as the platform does, until the case ends.
pub fn keep_checking(daemon: &Daemon, record: &Record) {
    let (ready, record) = (daemon.listen.ready, record.clone());
    thread::spawn(move || loop {
        let status = crate::daemon::check(ready);
        record.line(format!("platform: readiness check, answer {status}"));
        thread::sleep(Duration::from_secs(1));
    });
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
