//! Measures the time and memory of one daemon's decisions at the size that the system is designed
//! for: 22,000 members in 16 zones and a mesh of 750 services.

use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use clap::{Arg, Command, value_parser};
use eyre::{Result, eyre};
use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{
    ConfigSnapshot, Incarnation, MemberRecord, MemberState, Mesh, NodeId, Region, ServiceName,
    Timestamp, Version, Zone,
};
use lavenderhatch_decide::distribution::{DeltaLog, evaluate_update, zone_readers};
use lavenderhatch_decide::membership::{HeldVersion, Membership};
use lavenderhatch_decide::message::{Hello, UpdateRequest};
use rand::RngExt;

/// Number of zones.
const ZONES: usize = 16;
/// Number of steps between versions that the log of changes holds.
const DELTA_LOG_STEPS: usize = 64;
/// Number of member records in a full gossip message.
const RECORDS_PER_GOSSIP: usize = 60;
/// Time between two membership ticks, in milliseconds.
const TICK_MS: u64 = 250;

fn main() -> Result<()> {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .help(help)
            .default_value(default)
            .value_parser(value_parser!(usize))
    };
    let args = Command::new("fullsize")
        .about("Measures one daemon's decisions at full size")
        .arg(number("members", "22000", "Members"))
        .arg(number("services", "750", "Services"))
        .arg(number("rounds", "200", "Repetitions of each step"))
        .get_matches();
    let number = |name: &str| args.get_one::<usize>(name).copied().unwrap_or_default();
    measure_members(number("members"), number("services"), number("rounds"))?;
    measure_mesh(number("services"), number("rounds"))
}

/// Returns the resident memory of this process, in MB of 1000000 bytes.
fn resident_mb() -> Result<f64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    let kib: f64 = kib
        .ok_or_else(|| eyre!("no VmRSS in /proc/self/status"))?
        .parse()?;
    Ok(kib * 1024.0 / 1e6)
}

/// Runs a step `rounds` times and prints its mean time in microseconds.
fn print_mean_time(label: &str, rounds: usize, mut step: impl FnMut(usize)) {
    let start = Instant::now();
    (0..rounds).for_each(&mut step);
    let micros = start.elapsed().as_secs_f64() * 1e6 / rounds as f64;
    println!("{label}: {micros:.1} us");
}

fn record(n: usize, services: usize, seq: u64) -> Result<MemberRecord> {
    let host = [10, (n >> 16) as u8, (n >> 8) as u8, n as u8];
    Ok(MemberRecord {
        id: NodeId::new(&format!("server-{n:05}"))?,
        incarnation: Incarnation(1_700_000_000_000 + n as u64),
        seq,
        zone: Zone::new(&format!("region-{}-zone-{}", n % 7, n % ZONES))?,
        region: Region::new(&format!("region-{}", n % 7))?,
        service: ServiceName::new(&format!("service-{}", n % services.max(1)))?,
        peer_addr: (host, 7000).into(),
        admin_addr: (host, 7001).into(),
        slots: 12,
        state: MemberState::Serving,
    })
}

fn hello(from: &MemberRecord, records: Vec<MemberRecord>) -> Hello {
    Hello {
        node: from.id.clone(),
        incarnation: from.incarnation,
        version: Version(1),
        digest: lavenderhatch_core::Digest::default(),
        records,
        suspects: Vec::new(),
        held_by_receiver: Version(1),
        in_flight: 0,
        limit: 0,
        reports: Vec::new(),
    }
}

fn measure_members(members: usize, services: usize, rounds: usize) -> Result<()> {
    let mut rng = rand::rng();
    let held = HeldVersion {
        version: Version(1),
        ..HeldVersion::default()
    };
    let mut now = Timestamp(1_700_000_100_000);
    let before = resident_mb()?;
    let mut state = Membership::new(record(0, services, 1)?, now, 1);
    let start = Instant::now();
    for first in (1..members).step_by(RECORDS_PER_GOSSIP) {
        let last = (first + RECORDS_PER_GOSSIP).min(members);
        let records: Result<Vec<_>> = (first..last).map(|n| record(n, services, 1)).collect();
        state.merge_contacts(&records?, now);
    }
    let load_ms = start.elapsed().as_secs_f64() * 1e3;
    println!("members {members}: table loaded in {load_ms:.0} ms");
    println!(
        "memory of the table and the rings: {:.1} MB",
        resident_mb()? - before
    );

    let view = state.view(now);
    let links: Vec<NodeId> = view.linked_peers.clone();
    println!("links: {}", links.len());
    let peers: Vec<MemberRecord> = links
        .iter()
        .filter_map(|id| state.record(id).cloned())
        .collect();
    let empty_hellos: Vec<Hello> = peers.iter().map(|peer| hello(peer, Vec::new())).collect();
    print_mean_time("heartbeat received, without records", rounds, |n| {
        black_box(state.receive(&empty_hellos[n % empty_hellos.len()], now));
    });
    print_mean_time("heartbeat made", rounds, |n| {
        now = Timestamp(now.0 + 100);
        black_box(state.hello_for(Some(&links[n % links.len()]), held, now));
    });
    print_mean_time("tick", rounds, |_| {
        now = Timestamp(now.0 + TICK_MS);
        for hello in &empty_hellos {
            state.receive(hello, now);
        }
        black_box(state.tick(held, now, rng.random()));
    });
    let mut gossip = Vec::new();
    for round in 0..rounds {
        let updated_record = |_| record(rng.random_range(1..members), services, 2 + round as u64);
        let records: Result<Vec<_>> = (0..RECORDS_PER_GOSSIP).map(updated_record).collect();
        gossip.push(hello(&peers[round % peers.len()], records?));
    }
    print_mean_time("gossip round with 60 new records received", rounds, |n| {
        black_box(state.receive(&gossip[n], now));
    });
    print_mean_time("snapshot of the members published", rounds, |_| {
        black_box(state.view(now));
    });
    let zone = state.own_record().zone.clone();
    print_mean_time("readers of the zone", rounds, |_| {
        black_box(zone_readers(&view, &zone).len());
    });
    println!(
        "memory with two snapshots: {:.1} MB",
        resident_mb()? - before
    );
    Ok(())
}

fn mesh(services: usize, version: usize) -> Result<Mesh> {
    let mut spec: MeshSpec = serde_json::from_value(serde_json::json!({
        "ranks": { "normal": { "target_ms": 50, "worth": 10, "share": 0.5 } },
    }))?;
    for n in 0..services {
        let slots = if n == version % services {
            2 + version
        } else {
            1
        };
        let addition: MeshSpec = serde_json::from_value(serde_json::json!({
            "services": { format!("service-{n}"): { "slots": slots } },
            "routes": { format!("route-{n}"): { "path": format!("/service/{n}"),
                "service": format!("service-{n}"), "rank": "normal", "timeout_ms": 1000,
                "idempotent": true } },
        }))?;
        spec.services.extend(addition.services);
        spec.routes.extend(addition.routes);
    }
    Mesh::validate(spec).map_err(|faults| eyre!("mesh has {} faults", faults.len()))
}

fn measure_mesh(services: usize, rounds: usize) -> Result<()> {
    let now = Timestamp(1);
    let before = resident_mb()?;
    let mut log = DeltaLog::default();
    for version in 1..=DELTA_LOG_STEPS + 1 {
        let mesh = Arc::new(mesh(services, version)?);
        log.push(&ConfigSnapshot::new(Version(version as u64), mesh, now));
    }
    println!(
        "services {services}: whole set {} bytes",
        mesh(services, 1)?.spec().to_canonical().len()
    );
    println!(
        "memory of the mesh and {DELTA_LOG_STEPS} steps: {:.1} MB",
        resident_mb()? - before
    );
    let newest = DELTA_LOG_STEPS as u64 + 1;
    let request = |held| UpdateRequest {
        held: Version(held),
        want: Version(newest),
    };
    print_mean_time("changes of one step answered", rounds, |_| {
        black_box(log.answer(&request(newest - 1)));
    });
    print_mean_time("changes of 64 steps answered", rounds, |_| {
        black_box(log.answer(&request(1)));
    });
    print_mean_time("whole set answered", rounds, |_| {
        black_box(log.answer(&request(0)));
    });
    let base = Arc::new(mesh(services, DELTA_LOG_STEPS)?);
    let base = ConfigSnapshot::new(Version(newest - 1), base, now);
    let update = log.answer(&request(newest - 1));
    print_mean_time("changes of one step evaluated", rounds, |_| {
        black_box(evaluate_update(Some(&base), Version::NONE, &update, now).is_ok());
    });
    Ok(())
}
