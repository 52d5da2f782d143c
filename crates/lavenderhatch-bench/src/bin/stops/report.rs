//! Results of all runs.

use std::time::{Duration, Instant};

use eyre::Result;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::callers::{Call, CallOutcome};

/// Number of the daemon that is stopped.
const STOPPED_DAEMON: usize = 0;
/// Largest recorded latency, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Calls and state of one run.
pub(crate) struct Run {
    /// Start of the stop, or time of the signal.
    pub(crate) start: Instant,
    /// Service time of a request on the back end.
    pub(crate) service: Duration,
    /// Phase of the stop at the end of the run.
    pub(crate) phase: String,
    pub(crate) calls: Vec<Call>,
}

/// Latencies of a class of calls.
struct Class {
    name: &'static str,
    latencies: Histogram<u64>,
}

/// Results of all runs.
pub(crate) struct Report {
    calls: u64,
    cut: u64,
    not_run: u64,
    not_connected: u64,
    /// Calls that the stopped daemon forwarded to another one.
    carried: u64,
    /// Phase of the stop at the end, by run.
    phases: Vec<String>,
    /// Time from the start of the stop until the last new request reached the back end of the
    /// stopped daemon, by run.
    last_new_ms: Vec<f64>,
    /// Latency classes, indexed by the result of [`class`].
    classes: Vec<Class>,
}

/// Returns the index of the latency class of a call.
///
/// The class depends on where the call entered, where it ran, and whether it began before the start
/// of the stop. Other calls have none.
fn class(call: &Call, start: Instant) -> Option<usize> {
    let CallOutcome::Ran(server) = call.outcome else {
        return None;
    };
    match (
        call.entry_daemon == STOPPED_DAEMON,
        server == STOPPED_DAEMON,
        call.started_at < start,
    ) {
        (true, true, true) => Some(0),
        (true, false, true) => Some(1),
        (true, false, false) => Some(2),
        (false, false, false) => Some(3),
        _ => None,
    }
}

impl Report {
    pub(crate) fn new() -> Result<Self> {
        let names = [
            "at the leaver, run there, before the start",
            "at the leaver, run elsewhere, before the start",
            "at the leaver, carried elsewhere, after the start",
            "at others, run at others, after the start",
        ];
        let class = |name| {
            let latencies = Histogram::new_with_max(MAX_LATENCY_US, 3)?;
            Ok(Class { name, latencies })
        };
        Ok(Self {
            calls: 0,
            cut: 0,
            not_run: 0,
            not_connected: 0,
            carried: 0,
            phases: Vec::new(),
            last_new_ms: Vec::new(),
            classes: names.into_iter().map(class).collect::<Result<_>>()?,
        })
    }

    /// Adds the calls of a run.
    pub(crate) fn add(&mut self, run: &Run) {
        let count = |end: CallOutcome| run.calls.iter().filter(|c| c.outcome == end).count() as u64;
        self.calls += run.calls.len() as u64;
        self.cut += count(CallOutcome::Cut);
        self.not_run += count(CallOutcome::NotRun);
        self.not_connected += count(CallOutcome::NotConnected);
        self.phases.push(run.phase.clone());
        self.last_new_ms.push(last_new_ms(run));
        for call in &run.calls {
            let Some(class) = class(call, run.start) else {
                continue;
            };
            self.carried += u64::from(class == 2);
            let latency = (call.ended_at - call.started_at).as_micros() as u64;
            self.classes[class].latencies.saturating_record(latency);
        }
    }

    pub(crate) fn print_table(&self) {
        println!("calls                                   {:>10}", self.calls);
        println!("calls cut                               {:>10}", self.cut);
        println!(
            "calls refused with not-run              {:>10}",
            self.not_run
        );
        println!(
            "connections refused                     {:>10}",
            self.not_connected
        );
        println!(
            "calls carried elsewhere by the leaver   {:>10}",
            self.carried
        );
        println!(
            "last new request after the start, ms    {:>10.1?}",
            self.last_new_ms
        );
        println!("phase at the end                        {:?}", self.phases);
        println!(
            "\n{:<52}{:>9}{:>9}{:>9}",
            "latency in ms", "calls", "p50", "p99"
        );
        for class in &self.classes {
            let ms = |quantile| class.latencies.value_at_quantile(quantile) as f64 / 1000.0;
            let count = class.latencies.len();
            println!(
                "{:<52}{count:>9}{:>9.2}{:>9.2}",
                class.name,
                ms(0.5),
                ms(0.99)
            );
        }
    }

    pub(crate) fn print_json(&self) {
        let classes = self.classes.iter().map(|class| {
            json!({
                "class": class.name,
                "calls": class.latencies.len(),
                "p50_us": class.latencies.value_at_quantile(0.5),
                "p99_us": class.latencies.value_at_quantile(0.99),
            })
        });
        let report = json!({
            "calls": self.calls,
            "cut": self.cut,
            "not_run": self.not_run,
            "not_connected": self.not_connected,
            "carried": self.carried,
            "last_new_ms": self.last_new_ms,
            "phases": self.phases,
            "latencies": classes.collect::<Vec<Value>>(),
        });
        println!("{report:#}");
    }
}

/// Returns an upper bound of the time from the start of the stop until the last request began on
/// the back end of the stopped daemon, in milliseconds.
///
/// It is negative if the last request began before the start.
fn last_new_ms(run: &Run) -> f64 {
    let on_stopped = run
        .calls
        .iter()
        .filter(|call| call.outcome == CallOutcome::Ran(STOPPED_DAEMON));
    let last = on_stopped.map(|call| call.ended_at - run.service).max();
    let Some(last) = last else { return 0.0 };
    let after = last.saturating_duration_since(run.start).as_secs_f64();
    let before = run.start.saturating_duration_since(last).as_secs_f64();
    (after - before) * 1000.0
}
