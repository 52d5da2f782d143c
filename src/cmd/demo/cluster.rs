//! The mesh of the demonstration: a platform stand-in, daemons and back ends in this process.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eyre::{Result, eyre};
use lavenderhatch_daemon::Daemon;
use lavenderhatch_files::{Source, parse_settings};
use lavenderhatch_platform::server::PlatformServer;
use lavenderhatch_platform::{HttpPlatform, MemoryPlatform};
use lavenderhatch_standin::{BackendStandin, Behaviour, next_loopback_ip};

use super::first_fault;

/// Name, service and availability zone of each backend server.
const NODES: &[(&str, &str, &str)] = &[
    ("orders-1", "orders", "zone-a"),
    ("orders-2", "orders", "zone-b"),
    ("orders-3", "orders", "zone-a"),
    ("catalogue-1", "catalogue", "zone-b"),
    ("catalogue-2", "catalogue", "zone-a"),
];
/// Port of every listener. Listeners differ by their loopback address.
const PORT: u16 = 7000;
/// Region of both zones.
const REGION: &str = "region-1";
/// Service time of one request, in milliseconds.
const SERVICE_MS: u64 = 5;
/// Number of threads of one daemon for its links to other daemons.
const PEER_THREADS: usize = 1;

/// A daemon and its back end.
pub(super) struct Node {
    pub(super) name: &'static str,
    pub(super) service: &'static str,
    pub(super) zone: &'static str,
    pub(super) caller_addr: SocketAddr,
    pub(super) admin_addr: SocketAddr,
    backend: BackendStandin,
    _daemon: Daemon,
}

/// A small mesh that runs in this process.
pub(super) struct Cluster {
    /// Invariant: one entry for each entry of [`NODES`], in the same order.
    nodes: Vec<Node>,
    server: PlatformServer,
    platform: HttpPlatform,
}

impl Cluster {
    /// Starts all listeners on unused loopback addresses.
    pub(super) fn start() -> Result<Self> {
        let server = PlatformServer::bind(unused_addr(), MemoryPlatform::default())?;
        let url = format!("http://{}", server.addr());
        let nodes = NODES
            .iter()
            .map(|(name, service, zone)| Node::start(name, service, zone, &url));
        Ok(Self {
            nodes: nodes.collect::<Result<_>>()?,
            server,
            platform: HttpPlatform::open(&[url]),
        })
    }

    pub(super) fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    pub(super) fn platform(&self) -> &HttpPlatform {
        &self.platform
    }

    pub(super) fn platform_addr(&self) -> SocketAddr {
        self.server.addr()
    }

    pub(super) fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.caller_addr).collect()
    }

    /// Returns the administration address of a daemon that is not stopped.
    pub(super) fn admin_addr(&self) -> SocketAddr {
        self.queried_node().admin_addr
    }

    /// Returns the caller address of the daemon that [`Cluster::admin_addr`] belongs to.
    pub(super) fn caller_addr(&self) -> SocketAddr {
        self.queried_node().caller_addr
    }

    fn queried_node(&self) -> &Node {
        &self.nodes[self.nodes.len() - 1]
    }

    pub(super) fn admin_addr_of(&self, name: &str) -> Result<SocketAddr> {
        let node = self.nodes.iter().find(|node| node.name == name);
        let node = node.ok_or_else(|| eyre!("unknown backend server {name}"))?;
        Ok(node.admin_addr)
    }

    /// Returns the number of requests that each back end has run, by name.
    pub(super) fn run_counts(&self) -> BTreeMap<&'static str, u64> {
        let ran = |node: &Node| (node.name, node.backend.counts().total);
        self.nodes.iter().map(ran).collect()
    }
}

impl Node {
    fn start(
        name: &'static str,
        service: &'static str,
        zone: &'static str,
        platform: &str,
    ) -> Result<Self> {
        let behaviour = Behaviour {
            service_ms: SERVICE_MS,
            ..Behaviour::default()
        };
        let backend = BackendStandin::bind(unused_addr(), name, behaviour)?;
        let settings = serde_json::json!({
            "node": name,
            "zone": zone,
            "region": REGION,
            "service": service,
            "caller_addr": unused_addr(),
            "peer_addr": unused_addr(),
            "admin_addr": unused_addr(),
            "backend_addr": backend.addr(),
            "platform": [platform],
            "peer_threads": PEER_THREADS,
        });
        let settings = parse_settings(&Source::new(name, settings.to_string()));
        let settings = settings.map_err(|faults| first_fault(&faults))?;
        let daemon = Daemon::spawn(&settings, HttpPlatform::open(&settings.platform))?;
        Ok(Self {
            name,
            service,
            zone,
            caller_addr: settings.caller_addr,
            admin_addr: settings.admin_addr,
            backend,
            _daemon: daemon,
        })
    }
}

/// Returns a loopback address that nothing else uses.
fn unused_addr() -> SocketAddr {
    (next_loopback_ip(), PORT).into()
}
