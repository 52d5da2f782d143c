//! Measures the latency that the mesh adds to a call.
//!
//! Real processes run on loopback. In one run, the same call is sent directly to the back end,
//! through the daemon on the same machine (local leg), and through another daemon (peer leg). Both
//! the request path of `lavenderhatchd` and the event-driven one of `lavenderhatch-relay` are
//! measured.

mod relay_node;

use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use clap::{Arg, ArgMatches, Command, value_parser};
use crossbeam::channel::{Receiver, after, never, tick};
use eyre::{Result, WrapErr, bail, eyre};
use hdrhistogram::Histogram;
use lavenderhatch_bench::{Fleet, NodeOptions, Summary, report, wait_until};
use lavenderhatch_platform::ip_agent;
use lavenderhatch_standin::{BackendStandin, Behaviour, REQUEST_ID_HEADER};
use serde::{Deserialize, Serialize};
use ureq::Agent;

use relay_node::RelayNode;

/// Budget for the latency that the mesh adds at the 99th percentile, in microseconds.
const BUDGET_P99_US: u64 = 580;
/// Numbers of concurrent callers to measure with.
const CALLERS: [usize; 3] = [1, 32, 256];
/// Slots of the back end. There are more than callers, so that no call waits for one.
pub(crate) const SLOTS: u32 = 512;
/// Time within which a started process must answer.
const START_LIMIT: Duration = Duration::from_secs(10);
/// Calls at the start of each caller that are not measured.
const WARM_UP_CALLS: usize = 20;

const MESH: &str = r#"{
  "ranks": { "urgent": { "target_ms": 50, "worth": 100, "share": 0.5 } },
  "services": { "local": { "slots": 512 }, "remote": { "slots": 512 } },
  "routes": {
    "local": { "path": "/local", "service": "local", "rank": "urgent", "timeout_ms": 5000,
               "idempotent": true },
    "remote": { "path": "/remote", "service": "remote", "rank": "urgent", "timeout_ms": 5000,
                "idempotent": true },
  },
}"#;

/// Result of one measurement.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Row {
    leg: String,
    load: String,
    callers: usize,
    calls_per_second: f64,
    failed: u64,
    times: Summary,
    /// Difference to the direct call with the same load and callers.
    added_p50_us: i64,
    added_p99_us: i64,
    added_p999_us: i64,
}

fn main() -> Result<()> {
    let args = command().get_matches();
    if let Some((relay_node::SUBCOMMAND, args)) = args.subcommand() {
        return relay_node::run(args);
    }
    let dir = std::env::temp_dir().join(format!("lavenderhatch-overhead-{}", std::process::id()));
    let mut fleet = Fleet::open(&dir)?;
    let rows = measure(&mut fleet, &args);
    drop(fleet);
    let rows = rows.wrap_err_with(|| format!("settings and logs are in {}", dir.display()))?;
    std::fs::remove_dir_all(&dir)?;
    let path: &PathBuf = args
        .get_one("json")
        .ok_or_else(|| eyre!("missing value of --json"))?;
    print_rows(&rows, &report::read::<Row>(path)?);
    report::write(path, &rows)
}

fn command() -> Command {
    Command::new("overhead")
        .about("Measures what the mesh adds to a call")
        .subcommand(relay_node::subcommand())
        .arg(
            Arg::new("calls")
                .long("calls")
                .value_name("N")
                .help("Calls of each measurement; 20000 at the default rate take 10 s")
                .default_value("20000")
                .value_parser(value_parser!(usize)),
        )
        .arg(
            Arg::new("rate")
                .long("rate")
                .value_name("N")
                .help("Calls a second of the paced measurements, over all callers")
                .default_value("2000")
                .value_parser(value_parser!(u32).range(1..=100_000)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .value_name("FILE")
                .help("Takes the results; an earlier content is printed beside them")
                .default_value("target/overhead.json")
                .value_parser(value_parser!(PathBuf)),
        )
}

fn measure(fleet: &mut Fleet, args: &ArgMatches) -> Result<Vec<Row>> {
    let behaviour = Behaviour {
        slots: SLOTS,
        ..Behaviour::default()
    };
    let mut backends = Vec::new();
    for (name, service) in [("n0", "local"), ("n1", "remote")] {
        let backend = BackendStandin::bind(Fleet::free_addr(), name, behaviour.clone())?;
        let options = NodeOptions {
            name,
            zone: "zone-a",
            service,
            backend: backend.addr(),
        };
        fleet.add_node(&options)?;
        backends.push(backend);
    }
    fleet.wait_for_members(fleet.nodes.len())?;
    let version = fleet.apply(MESH)?;
    fleet.wait_for_version(version)?;
    let entry = fleet.nodes[0].caller_addr;
    let local_relay = RelayNode::new("local", backends[0].addr());
    let remote_relay = RelayNode::new("remote", backends[1].addr());
    let logging_relay = RelayNode::new("local", backends[0].addr());
    let _processes = [
        local_relay.spawn(&[remote_relay], None)?,
        remote_relay.spawn(&[], None)?,
        logging_relay.spawn(&[], Some("info"))?,
    ];
    for node in [local_relay, remote_relay, logging_relay] {
        let url = format!("http://{}/{}", node.caller_addr, node.service);
        wait_until(START_LIMIT, "the relay process answers", || {
            call_once(&agent(), &url).then_some(())
        })?;
    }
    let legs = [
        ("direct", format!("http://{}/local", backends[0].addr())),
        ("daemon local", format!("http://{entry}/local")),
        ("daemon peer", format!("http://{entry}/remote")),
        (
            "relay local",
            format!("http://{}/local", local_relay.caller_addr),
        ),
        (
            "relay peer",
            format!("http://{}/remote", local_relay.caller_addr),
        ),
        (
            "relay logged",
            format!("http://{}/local", logging_relay.caller_addr),
        ),
    ];
    let calls = *args
        .get_one::<usize>("calls")
        .ok_or_else(|| eyre!("missing value of --calls"))?;
    let rate = *args
        .get_one::<u32>("rate")
        .ok_or_else(|| eyre!("missing value of --rate"))?;
    let mut rows = Vec::new();
    for (load, rate) in [("paced", Some(rate)), ("saturated", None)] {
        for callers in CALLERS {
            let mut direct = None;
            for (leg, url) in &legs {
                let measurement = measure_leg(url, callers, calls, rate)?;
                let base = *direct.get_or_insert(measurement.times);
                rows.push(measurement.into_row(leg, load, callers, &base));
            }
        }
    }
    Ok(rows)
}

/// Latencies and failures of one measurement.
struct Measurement {
    times: Summary,
    failed: u64,
    elapsed: Duration,
}

impl Measurement {
    fn into_row(self, leg: &str, load: &str, callers: usize, base: &Summary) -> Row {
        let added = |own: u64, base: u64| own as i64 - base as i64;
        Row {
            leg: leg.to_owned(),
            load: load.to_owned(),
            callers,
            calls_per_second: self.times.count as f64 / self.elapsed.as_secs_f64(),
            failed: self.failed,
            times: self.times,
            added_p50_us: added(self.times.p50_us, base.p50_us),
            added_p99_us: added(self.times.p99_us, base.p99_us),
            added_p999_us: added(self.times.p999_us, base.p999_us),
        }
    }
}

fn measure_leg(url: &str, callers: usize, calls: usize, rate: Option<u32>) -> Result<Measurement> {
    let calls_per_caller = calls.div_ceil(callers);
    let interval = rate.map(|rate| Duration::from_secs_f64(callers as f64 / f64::from(rate)));
    let start = Instant::now();
    let results = thread::scope(|scope| {
        let spawn = |n: usize| {
            // The starts of the callers are spread over one interval, so that calls do not arrive
            // together.
            let offset = interval
                .unwrap_or_default()
                .mul_f64(n as f64 / callers as f64);
            scope.spawn(move || call_repeatedly(url, calls_per_caller, interval, offset))
        };
        let threads: Vec<_> = (0..callers).map(spawn).collect();
        threads
            .into_iter()
            .map(|thread| thread.join())
            .collect::<Vec<_>>()
    });
    let elapsed = start.elapsed();
    let mut all = Histogram::<u64>::new(3)?;
    let mut failed = 0;
    for result in results {
        let Ok(result) = result else {
            bail!("a caller panicked")
        };
        let (histogram, failures) = result?;
        all.add(histogram)?;
        failed += failures;
    }
    Ok(Measurement {
        times: Summary::from_histogram(&all),
        failed,
        elapsed,
    })
}

/// Sends calls one after the other on one connection, the first after `offset`.
///
/// `interval` is the time between the starts of two calls. Without it, each call starts when the
/// one before has ended. Returns the latencies in microseconds and the number of failed calls.
fn call_repeatedly(
    url: &str,
    calls: usize,
    interval: Option<Duration>,
    offset: Duration,
) -> Result<(Histogram<u64>, u64)> {
    let agent = agent();
    after(offset).recv()?;
    let ticks: Receiver<Instant> = interval.map_or_else(never, tick);
    let mut histogram = Histogram::<u64>::new(3)?;
    let mut failed = 0;
    for n in 0..WARM_UP_CALLS + calls {
        if interval.is_some() {
            ticks.recv()?;
        }
        let start = Instant::now();
        let is_ok = call_once(&agent, url);
        if n < WARM_UP_CALLS {
            continue;
        }
        histogram.record(start.elapsed().as_micros() as u64)?;
        failed += u64::from(!is_ok);
    }
    Ok((histogram, failed))
}

fn agent() -> Agent {
    ip_agent(Agent::config_builder().http_status_as_error(false).build())
}

fn call_once(agent: &Agent, url: &str) -> bool {
    let req = agent.get(url).header(REQUEST_ID_HEADER, "overhead");
    let Ok(mut res) = req.call() else {
        return false;
    };
    res.status() == 200 && res.body_mut().read_to_vec().is_ok()
}

fn print_rows(rows: &[Row], earlier: &[Row]) {
    println!(
        "{:<10} {:>7} {:<12} {:>9} {:>7} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10} {:>12}",
        "load",
        "callers",
        "leg",
        "calls/s",
        "failed",
        "p50 us",
        "p99 us",
        "p99.9 us",
        "added p50",
        "added p99",
        "added p99.9",
        "earlier p99"
    );
    for row in rows {
        let is_same = |other: &&Row| {
            other.leg == row.leg && other.load == row.load && other.callers == row.callers
        };
        let before = earlier.iter().find(is_same);
        let before = before.map_or("-".to_owned(), |row| row.added_p99_us.to_string());
        println!(
            "{:<10} {:>7} {:<7} {:>9.0} {:>7} {:>8} {:>8} {:>8} {:>10} {:>10} {:>10} {:>12}",
            row.load,
            row.callers,
            row.leg,
            row.calls_per_second,
            row.failed,
            row.times.p50_us,
            row.times.p99_us,
            row.times.p999_us,
            row.added_p50_us,
            row.added_p99_us,
            row.added_p999_us,
            before
        );
    }
    println!("budget: {BUDGET_P99_US} us added at p99");
}
