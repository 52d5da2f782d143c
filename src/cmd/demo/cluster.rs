//! The platform stand-in, daemons and back ends of the demonstration.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use eyre::{Result, eyre};
use lavenderhatch_daemon::Daemon;
use lavenderhatch_files::{Source, parse_settings};
use lavenderhatch_platform::server::PlatformServer;
use lavenderhatch_platform::{HttpPlatform, MemoryPlatform};
use lavenderhatch_standin::{BackendStandin, Behaviour, next_loopback_ip};

use super::first_fault;

/// Backend servers: name, service and availability zone.
const NODES: &[(&str, &str, &str)] = &[
    ("orders-1", "orders", "zone-a"),
    ("orders-2", "orders", "zone-b"),
    ("orders-3", "orders", "zone-a"),
    ("catalogue-1", "catalogue", "zone-b"),
    ("catalogue-2", "catalogue", "zone-a"),
];
/// Port of each stand-in and daemon; they differ by address.
const PORT: u16 = 7000;
/// Region of both zones.
const REGION: &str = "region-1";
/// Time that a back end takes for one request, in milliseconds.
const SERVICE_MS: u64 = 5;
/// Threads of one daemon for the links to others.
const PEER_THREADS: usize = 1;

/// A daemon with its back end.
pub(super) struct Node {
    pub(super) name: &'static str,
    pub(super) service: &'static str,
    pub(super) zone: &'static str,
    pub(super) caller_addr: SocketAddr,
    pub(super) admin_addr: SocketAddr,
    backend: BackendStandin,
    _daemon: Daemon,
}

/// A small mesh within this process.
pub(super) struct Cluster {
    /// Invariant: as many as [`NODES`], in that order.
    nodes: Vec<Node>,
    server: PlatformServer,
    platform: HttpPlatform,
}

impl Cluster {
    /// Starts everything on free ports of the loopback address.
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

    /// The administration port of the last daemon, which is not the one that stops.
    pub(super) fn admin_addr(&self) -> SocketAddr {
        self.reporting_node().admin_addr
    }

    /// The port for callers of the same daemon.
    pub(super) fn caller_addr(&self) -> SocketAddr {
        self.reporting_node().caller_addr
    }

    fn reporting_node(&self) -> &Node {
        &self.nodes[self.nodes.len() - 1]
    }

    pub(super) fn admin_addr_of(&self, name: &str) -> Result<SocketAddr> {
        let node = self.nodes.iter().find(|node| node.name == name);
        let node = node.ok_or_else(|| eyre!("no backend server {name}"))?;
        Ok(node.admin_addr)
    }

    /// Requests that each back end has run.
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

/// A loopback address with a port that nothing else uses.
fn unused_addr() -> SocketAddr {
    (next_loopback_ip(), PORT).into()
}
