//! Daemons and back ends in this process.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use crossbeam::channel::tick;
use eyre::{Result, bail, eyre};
use lavenderhatch_core::{NodeId, Region, ServiceName, Timestamp, Zone};
use lavenderhatch_daemon::Daemon;
use lavenderhatch_files::{Settings, Source, parse_mesh};
use lavenderhatch_platform::Faults;
use lavenderhatch_platform::accept::{Proposal, accept};
use lavenderhatch_standin::{BackendStandin, Behaviour};

use crate::platform::CountingPlatform;

const MESH: &str = r#"{
  "ranks": { "urgent": { "target_ms": 50, "worth": 100, "share": 0.4 } },
  "services": { "orders": { "slots": 1000 } },
  "routes": { "place-order": { "path": "/orders", "methods": ["POST"], "service": "orders",
              "rank": "urgent", "timeout_ms": 10000, "idempotent": false } }
}"#;
/// Time within which all ranges have an owner.
const START_LIMIT: Duration = Duration::from_secs(30);
const RANGES: usize = 64;
/// Slots of a back end: more than there are callers, so that no order waits for one.
const SLOTS: u32 = 1000;

/// A backend server.
struct Node {
    daemon: Daemon,
    backend: BackendStandin,
    caller_addr: SocketAddr,
}

/// Running daemons with their platform.
pub(crate) struct Fleet {
    platform: CountingPlatform,
    nodes: Vec<Node>,
}

impl Fleet {
    /// Starts the daemons and waits until each claim range has an owner.
    pub(crate) fn start(daemons: usize, latency_ms: u64, service_ms: u64) -> Result<Self> {
        let platform = CountingPlatform::default();
        accept_mesh(&platform)?;
        let nodes = (0..daemons).map(|n| Node::start(n, service_ms, &platform));
        let nodes = nodes.collect::<Result<_>>()?;
        let fleet = Self { platform, nodes };
        fleet.wait_for_owners()?;
        fleet.platform.inner.set_faults(Faults {
            latency_ms,
            ..Faults::default()
        });
        Ok(fleet)
    }

    fn wait_for_owners(&self) -> Result<()> {
        let deadline = Instant::now() + START_LIMIT;
        for _ in tick(Duration::from_millis(50)) {
            let owned = |node: &Node| node.daemon.board().claims.load().owned_ranges.len();
            let has_mesh = |node: &Node| node.daemon.board().config.load().is_some();
            let owned: usize = self.nodes.iter().map(owned).sum();
            if owned == RANGES && self.nodes.iter().all(has_mesh) {
                return Ok(());
            }
            if Instant::now() > deadline {
                bail!("{owned} of {RANGES} ranges have an owner after {START_LIMIT:?}");
            }
        }
        Ok(())
    }

    pub(crate) fn claim_writes(&self) -> u64 {
        self.platform.claim_writes()
    }

    /// Where callers reach the daemons.
    pub(crate) fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.caller_addr).collect()
    }

    /// Where the back ends listen.
    pub(crate) fn backend_addrs(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.backend.addr()).collect()
    }
}

impl Node {
    fn start(n: usize, service_ms: u64, platform: &CountingPlatform) -> Result<Self> {
        let behaviour = Behaviour {
            slots: SLOTS,
            service_ms,
            ..Behaviour::default()
        };
        let name = format!("n{n}");
        let backend = BackendStandin::bind(free_addr()?, &name, behaviour)?;
        let caller_addr = free_addr()?;
        let settings = Settings {
            node: NodeId::new(&name)?,
            zone: Zone::new("zone-a")?,
            region: Region::new("region-1")?,
            service: ServiceName::new("orders")?,
            caller_addr,
            peer_addr: free_addr()?,
            admin_addr: free_addr()?,
            backend_addr: backend.addr(),
            platform: Vec::new(),
            max_connections: 1024,
            idle_timeout_ms: 60_000,
            peer_threads: 2,
        };
        let daemon = Daemon::spawn(&settings, platform.clone())?;
        Ok(Self {
            daemon,
            backend,
            caller_addr,
        })
    }
}

fn accept_mesh(platform: &CountingPlatform) -> Result<()> {
    let mesh = parse_mesh(&[Source::new("mesh.jsonc", MESH)]);
    let mesh = mesh.map_err(|faults| eyre!("{faults:?}"))?;
    let proposal = Proposal {
        mesh: &mesh,
        author: "bench",
        reason: "",
        nonce: "bench",
    };
    accept(platform, &proposal, Timestamp::from_system_clock())?;
    Ok(())
}

fn free_addr() -> Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    Ok(listener.local_addr()?)
}
