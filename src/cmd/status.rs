//! `lavenderhatch status`: shows the version in force by zone, lagging daemons, planned stops and
//! load.

use std::collections::BTreeMap;
use std::process::ExitCode;

use clap::{ArgMatches, Command};
use eyre::Result;
use lavenderhatch_core::drain::StopStatus;
use lavenderhatch_core::load::LoadSnapshot;
use lavenderhatch_core::{MemberState, NodeId, StopName, Timestamp, Version, Zone};
use lavenderhatch_daemon::admin::DaemonStatus;
use lavenderhatch_daemon::metrics::PlatformStatus;
use serde::Serialize;

use super::rollout::{ZoneProgress, read_status, rollout_progress};
use super::{common, time};

pub(super) fn command() -> Command {
    Command::new("status")
        .about("Shows the version in force by zone, daemons that lag, stops and load")
        .arg(common::daemon_arg())
        .arg(common::output_arg())
}

/// Output of `lavenderhatch status`.
#[derive(Debug, Serialize)]
struct Report {
    /// Daemon that was queried.
    daemon: NodeId,
    /// Version in force on that daemon.
    version: Version,
    applied_at: Option<Timestamp>,
    platform: PlatformStatus,
    /// Rollout progress of that version by zone.
    zones: BTreeMap<Zone, ZoneProgress>,
    /// Members in a state other than serving.
    not_serving: BTreeMap<NodeId, MemberState>,
    stops: BTreeMap<StopName, StopStatus>,
    /// Load of the daemon's local backend server.
    load: LoadSnapshot,
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let status = read_status(common::daemon_addr(args)?)?;
    let report = Report::new(status);
    match common::is_json_output(args) {
        true => common::print_json(&report)?,
        false => report.print(),
    }
    Ok(ExitCode::SUCCESS)
}

impl Report {
    fn new(status: DaemonStatus) -> Self {
        let zones = rollout_progress(&status, status.version).zones;
        let records = status.members.iter().map(|member| &member.record);
        let not_serving = records
            .filter(|record| record.state != MemberState::Serving)
            .map(|record| (record.id.clone(), record.state));
        Self {
            not_serving: not_serving.collect(),
            zones,
            daemon: status.node,
            version: status.version,
            applied_at: status.applied_at,
            platform: status.platform,
            stops: status.stops,
            load: status.load,
        }
    }

    fn print(&self) {
        let since = self
            .applied_at
            .map_or(String::new(), |at| format!(" since {}", time::format(at)));
        println!(
            "version {} in force on {}{since}",
            self.version, self.daemon
        );
        self.print_platform();
        for (name, zone) in &self.zones {
            print_zone(name, zone);
        }
        for (id, state) in &self.not_serving {
            println!("  {id} is {state:?}");
        }
        for (name, stop) in &self.stops {
            print_stop(name, stop);
        }
        self.print_load();
    }

    fn print_platform(&self) {
        match (self.platform.is_reachable, self.platform.last_answer) {
            (true, _) => println!("the platform answers"),
            (false, Some(at)) => {
                println!("the platform has not answered since {}", time::format(at))
            }
            (false, None) => println!("the platform has not answered yet"),
        }
    }

    fn print_load(&self) {
        let load = &self.load;
        if load.limit > 0 {
            println!(
                "load of {}: {} in flight, limit {}",
                self.daemon, load.in_flight, load.limit
            );
        }
        for (rank, rank_load) in &load.ranks {
            println!(
                "  rank {rank:<16} {} waiting, {} admitted, {} refused",
                rank_load.queued, rank_load.admitted, rank_load.refused
            );
        }
    }
}

fn print_zone(name: &Zone, zone: &ZoneProgress) {
    let lowest = zone
        .lowest
        .map_or("?".to_owned(), |version| version.to_string());
    println!(
        "zone {name}: {} of {} daemons hold it, lowest version {lowest}",
        zone.held, zone.members
    );
    for id in &zone.behind {
        println!("  {id} lags");
    }
    if !zone.unknown.is_empty() {
        println!("  no version is known of {} daemons", zone.unknown.len());
    }
}

fn print_stop(name: &StopName, stop: &StopStatus) {
    let in_flight = stop
        .in_flight
        .map_or(String::new(), |count| format!(", {count} in flight"));
    println!(
        "stop {name} of {}: {:?} since {}{in_flight}",
        stop.backend_server,
        stop.phase,
        time::format(stop.since)
    );
}
