//! Daemon processes, with back ends and the platform stand-in in this process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crossbeam::channel::after;
use eyre::Result;
use lavenderhatch_bench::{Fleet, NodeOptions, wait_until};
use lavenderhatch_platform::Faults;
use lavenderhatch_standin::{BackendStandin, Behaviour};

const MESH: &str = r#"{
  "ranks": { "urgent": { "target_ms": 50, "worth": 100, "share": 0.4 } },
  "services": { "orders": { "slots": 1000 } },
  "routes": { "place-order": { "path": "/orders", "methods": ["POST"], "service": "orders",
              "rank": "urgent", "timeout_ms": 10000, "idempotent": false } }
}"#;
/// Time within which each claim range must have an owner.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Number of claim ranges into which the daemons divide the keys.
const CLAIM_RANGES: usize = 64;
/// Slots of each back end. There are more than callers, so that no order waits for one.
const SLOTS: u32 = 1000;
/// Time over which the writes of an idle fleet are counted.
const IDLE_MEASUREMENT_TIME: Duration = Duration::from_secs(5);

/// Running daemons and back ends of the service that executes orders.
pub(crate) struct OrderFleet {
    fleet: Fleet,
    backends: Vec<BackendStandin>,
    /// Platform writes per second that have other causes than claims.
    idle_writes: f64,
}

impl OrderFleet {
    /// Starts the daemons and waits until each claim range has an owner.
    pub(crate) fn start(
        dir: &Path,
        daemons: usize,
        latency_ms: u64,
        service_ms: u64,
    ) -> Result<Self> {
        let mut fleet = Fleet::open(dir)?;
        let version = fleet.apply(MESH)?;
        let mut backends = Vec::new();
        for n in 0..daemons {
            let name = format!("n{n}");
            let behaviour = Behaviour {
                slots: SLOTS,
                service_ms,
                ..Behaviour::default()
            };
            let backend = BackendStandin::bind(Fleet::free_addr(), &name, behaviour)?;
            fleet.add_node(&NodeOptions {
                name: &name,
                zone: "zone-a",
                service: "orders",
                backend: backend.addr(),
            })?;
            backends.push(backend);
        }
        fleet.wait_for_version(version)?;
        fleet.wait_for_members(daemons)?;
        wait_for_owners(&fleet)?;
        fleet.platform.set_faults(Faults {
            latency_ms,
            ..Faults::default()
        });
        let before = fleet.platform.counts().writes;
        let _ = after(IDLE_MEASUREMENT_TIME).recv();
        let idle = fleet.platform.counts().writes - before;
        Ok(Self {
            idle_writes: idle as f64 / IDLE_MEASUREMENT_TIME.as_secs_f64(),
            fleet,
            backends,
        })
    }

    /// Returns the number of writes to the platform so far.
    pub(crate) fn writes(&self) -> u64 {
        self.fleet.platform.counts().writes
    }

    /// Returns the expected number of writes in `span` that have other causes than orders.
    pub(crate) fn idle_writes(&self, span: Duration) -> f64 {
        self.idle_writes * span.as_secs_f64()
    }

    /// Returns the addresses at which callers reach the daemons.
    pub(crate) fn caller_addrs(&self) -> Vec<SocketAddr> {
        let nodes = self.fleet.nodes.iter();
        nodes.map(|node| node.caller_addr).collect()
    }

    /// Returns the addresses on which the back ends listen.
    pub(crate) fn backend_addrs(&self) -> Vec<SocketAddr> {
        self.backends.iter().map(BackendStandin::addr).collect()
    }
}

fn wait_for_owners(fleet: &Fleet) -> Result<()> {
    wait_until(START_LIMIT, "each claim range has an owner", || {
        let mut owned = 0;
        for node in &fleet.nodes {
            let status = node.status()?;
            owned += status["claims"]["owned_ranges"].as_array()?.len();
        }
        (owned == CLAIM_RANGES).then_some(())
    })
}
