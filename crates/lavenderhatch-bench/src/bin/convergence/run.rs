//! Runs one measurement.

use std::time::{Duration, Instant};

use crossbeam::channel::after;
use eyre::Result;
use hdrhistogram::Histogram;
use lavenderhatch_core::audit::{AuditAction, AuditEvent};
use lavenderhatch_core::{Timestamp, Version};
use lavenderhatch_platform::CallCounts;
use serde::Serialize;

use crate::fleet::Fleet;
use crate::process::Usage;

/// Time between the acceptance of a version and the outage of the platform.
///
/// A version that no daemon has read before the outage cannot spread.
const OUTAGE_DELAY: Duration = Duration::from_millis(50);
/// Length of an outage of the platform.
const OUTAGE_DURATION: Duration = Duration::from_secs(2);
/// Time between the end of an outage and the next change.
const TIME_AFTER_OUTAGE: Duration = Duration::from_secs(2);
/// Time after the last change for it to reach all daemons.
const SETTLE_TIME: Duration = Duration::from_secs(8);
/// Delay recorded for a version that did not come into force, in milliseconds.
const MISSING_MS: u64 = 600_000;

/// Delay from which a version is reported on standard error, in milliseconds.
const SLOW_DELAY_MS: u64 = 1000;

/// What happens while changes are applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Scenario {
    /// There are no faults.
    Calm,
    /// A tenth of the daemons are killed right after the first change.
    Killed,
    /// The platform goes down after each change.
    PlatformDown,
}

impl Scenario {
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        match text {
            "calm" => Ok(Self::Calm),
            "killed" => Ok(Self::Killed),
            "platform-down" => Ok(Self::PlatformDown),
            _ => Err("use calm, killed or platform-down".to_owned()),
        }
    }
}

/// Settings of a measurement.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Plan {
    pub(crate) daemons: usize,
    pub(crate) zones: usize,
    pub(crate) services: usize,
    pub(crate) changes: usize,
    /// Time between two changes.
    pub(crate) interval_ms: u64,
    /// Time without changes that is measured.
    pub(crate) idle_ms: u64,
    pub(crate) scenario: Scenario,
}

/// Median, 99th percentile and maximum.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Quantiles {
    pub(crate) median: f64,
    pub(crate) p99: f64,
    pub(crate) max: f64,
}

impl Quantiles {
    /// Summarizes `values`, each divided by `scale`.
    fn from_values(values: impl Iterator<Item = u64>, scale: f64) -> Result<Self> {
        let mut histogram: Histogram<u64> = Histogram::new(3)?;
        for value in values {
            histogram.record(value)?;
        }
        Ok(Self {
            median: histogram.value_at_quantile(0.5) as f64 / scale,
            p99: histogram.value_at_quantile(0.99) as f64 / scale,
            max: histogram.max() as f64 / scale,
        })
    }
}

/// Resources used by the daemons over a period, with quantiles over the daemons.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Cost {
    /// Control traffic of a daemon per second, sent and received together, in KB of 1000 bytes.
    pub(crate) control_kb_s: Quantiles,
    /// Processor time of a daemon, in percent of one core.
    pub(crate) processor_percent: Quantiles,
    /// Resident memory of a daemon, in MB of 1000000 bytes.
    pub(crate) resident_mb: Quantiles,
    /// Reads from the platform per second by all daemons, including watches.
    pub(crate) platform_reads_s: f64,
    /// Writes to the platform per second by all daemons.
    pub(crate) platform_writes_s: f64,
}

/// Results of a measurement.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Outcome {
    pub(crate) plan: Plan,
    /// Time from acceptance until a daemon had the version in force, over all daemons and versions.
    pub(crate) one_ms: Quantiles,
    /// Time from acceptance until all daemons had the version in force, over all versions.
    pub(crate) all_ms: Quantiles,
    /// Number of pairs of a daemon and a version that did not come into force on it.
    pub(crate) missing: usize,
    /// Number of switches to a version that is not greater than the one before.
    pub(crate) reverted: usize,
    /// Time until all daemons were started and knew each other.
    pub(crate) start_s: f64,
    /// Resources used without changes.
    pub(crate) idle: Cost,
    /// Resources used while changes were applied.
    pub(crate) busy: Cost,
}

pub(crate) fn run(plan: &Plan) -> Result<Outcome> {
    let start = Instant::now();
    let mut fleet = Fleet::start(plan.daemons, plan.zones, plan.services)?;
    let start_s = start.elapsed().as_secs_f64();
    wait(SETTLE_TIME)?;
    let idle = measure(&mut fleet, |_| wait(Duration::from_millis(plan.idle_ms)))?;
    let mut accepted = Vec::new();
    let busy = measure(&mut fleet, |fleet| {
        accepted = apply_all(fleet, plan)?;
        Ok(())
    })?;
    wait(SETTLE_TIME)?;
    let delays = delays(&fleet, &accepted)?;
    let all = accepted.iter().enumerate().map(|(at, _)| {
        let version_delays = delays.by_daemon.iter().map(|delays| delays[at]);
        version_delays.max().unwrap_or(MISSING_MS)
    });
    Ok(Outcome {
        plan: plan.clone(),
        one_ms: Quantiles::from_values(delays.by_daemon.iter().flatten().copied(), 1.0)?,
        all_ms: Quantiles::from_values(all, 1.0)?,
        missing: delays
            .by_daemon
            .iter()
            .flatten()
            .filter(|ms| **ms == MISSING_MS)
            .count(),
        reverted: delays.reverted,
        start_s,
        idle: idle.0,
        busy: busy.0,
    })
}

fn wait(time: Duration) -> Result<()> {
    after(time).recv()?;
    Ok(())
}

fn measure(
    fleet: &mut Fleet,
    action: impl FnOnce(&mut Fleet) -> Result<()>,
) -> Result<(Cost, CallCounts)> {
    let (counts, before, start) = (fleet.platform_calls(), fleet.usage()?, Instant::now());
    action(fleet)?;
    let seconds = start.elapsed().as_secs_f64();
    let (after, now) = (fleet.usage()?, fleet.platform_calls());
    // Daemons are killed from the end of the list, so the remaining ones keep their index.
    let pairs: Vec<(Usage, Usage)> = before.into_iter().zip(after).collect();
    let per_second = |value: u64| (value as f64 / seconds) as u64;
    let control = pairs
        .iter()
        .map(|(a, b)| per_second(b.control_bytes - a.control_bytes));
    let processor = pairs
        .iter()
        .map(|(a, b)| ((b.cpu_time_s - a.cpu_time_s) / seconds * 100_000.0) as u64);
    let cost = Cost {
        control_kb_s: Quantiles::from_values(control, 1000.0)?,
        processor_percent: Quantiles::from_values(processor, 1000.0)?,
        resident_mb: Quantiles::from_values(
            pairs.iter().map(|(_, b)| b.resident_bytes / 1000),
            1000.0,
        )?,
        platform_reads_s: (now.reads - counts.reads) as f64 / seconds,
        platform_writes_s: (now.writes - counts.writes) as f64 / seconds,
    };
    Ok((cost, now))
}

/// Applies the changes. Returns the time at which each was accepted.
fn apply_all(fleet: &mut Fleet, plan: &Plan) -> Result<Vec<(Version, Timestamp)>> {
    let mut accepted = Vec::new();
    for change in 0..plan.changes {
        let version = change + 2;
        accepted.push((Version(version as u64), fleet.apply(version)?));
        match plan.scenario {
            Scenario::Calm => wait(Duration::from_millis(plan.interval_ms))?,
            Scenario::Killed => {
                if change == 0 {
                    let left = plan.daemons - plan.daemons.div_ceil(10);
                    fleet.daemons.truncate(left);
                }
                wait(Duration::from_millis(plan.interval_ms))?;
            }
            Scenario::PlatformDown => {
                wait(OUTAGE_DELAY)?;
                fleet.set_platform_down(true);
                wait(OUTAGE_DURATION)?;
                fleet.set_platform_down(false);
                wait(TIME_AFTER_OUTAGE)?;
            }
        }
    }
    Ok(accepted)
}

/// Delays of all versions, and switches to versions that are not greater.
struct Delays {
    /// Delays in milliseconds, by daemon and version.
    by_daemon: Vec<Vec<u64>>,
    reverted: usize,
}

fn delays(fleet: &Fleet, accepted: &[(Version, Timestamp)]) -> Result<Delays> {
    let mut by_daemon = Vec::new();
    let mut reverted = 0;
    for daemon in &fleet.daemons {
        let events = daemon.audit()?.events;
        let switches: Vec<&AuditEvent> = events
            .iter()
            .filter(|event| event.action == AuditAction::VersionSwitched)
            .collect();
        reverted += switches
            .iter()
            .filter(|event| event.to <= event.from)
            .count();
        let delay = |(version, at): &(Version, Timestamp)| {
            let switch = switches.iter().find(|event| event.to >= Some(*version));
            switch.map_or(MISSING_MS, |event| event.at.since(*at).as_millis() as u64)
        };
        let daemon_delays: Vec<u64> = accepted.iter().map(delay).collect();
        for ((version, _), ms) in accepted.iter().zip(&daemon_delays) {
            if *ms >= SLOW_DELAY_MS {
                eprintln!("slow: d{} version {version} after {ms} ms", by_daemon.len());
            }
        }
        by_daemon.push(daemon_delays);
    }
    Ok(Delays {
        by_daemon,
        reverted,
    })
}
