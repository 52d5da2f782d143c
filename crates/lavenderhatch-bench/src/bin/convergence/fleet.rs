//! Daemon processes and a platform stand-in.

use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use crossbeam::channel::tick;
use eyre::{Result, bail};
use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{Mesh, Timestamp, Version};
use lavenderhatch_platform::accept::{Proposal, accept};
use lavenderhatch_platform::server::PlatformServer;
use lavenderhatch_platform::{CallCounts, Faults, MemoryPlatform};

use crate::process::{Daemon, Usage, addrs};

/// Time between two status requests to a daemon that is not ready yet.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which all daemons must know each other.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(180);

/// Daemon processes and the platform stand-in that they use.
///
/// Dropping it kills the processes and removes their settings and logs.
pub(crate) struct Fleet {
    pub(crate) daemons: Vec<Daemon>,
    pub(crate) platform: MemoryPlatform,
    _server: PlatformServer,
    services: usize,
    dir: PathBuf,
}

impl Fleet {
    /// Starts daemons and waits until they have version 1 and know each other.
    pub(crate) fn start(count: usize, zones: usize, services: usize) -> Result<Self> {
        let dir = std::env::temp_dir().join(format!("convergence-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let platform = MemoryPlatform::default();
        let [addr, ..] = addrs();
        let server = PlatformServer::bind(addr, platform.clone())?;
        let mut fleet = Self {
            daemons: Vec::with_capacity(count),
            platform,
            _server: server,
            services,
            dir,
        };
        fleet.apply(1)?;
        for n in 0..count {
            let name = format!("d{n}");
            let daemon = Daemon::start(&fleet.dir, &name, n % zones, &addrs(), addr)?;
            fleet.daemons.push(daemon);
        }
        fleet.wait_for_all()?;
        Ok(fleet)
    }

    fn wait_for_all(&self) -> Result<()> {
        let deadline = Instant::now() + DISCOVERY_LIMIT;
        let ticks = tick(POLL_INTERVAL);
        for daemon in &self.daemons {
            loop {
                let status = daemon.status();
                let is_ready = status.is_ok_and(|status| {
                    status.version >= Version(1) && status.members.len() == self.daemons.len()
                });
                if is_ready {
                    break;
                }
                if Instant::now() > deadline {
                    bail!(
                        "not all daemons have version 1 and know each other after {DISCOVERY_LIMIT:?}"
                    );
                }
                ticks.recv()?;
            }
        }
        Ok(())
    }

    /// Has a version accepted by the platform. Returns the time just before the write.
    pub(crate) fn apply(&self, version: usize) -> Result<Timestamp> {
        let mesh = mesh(self.services, version)?;
        let before = Timestamp::from_system_clock();
        let proposal = Proposal {
            mesh: &mesh,
            author: "bench",
            reason: "measurement",
            nonce: &format!("bench-{version}"),
        };
        accept(&self.platform, &proposal, before)?;
        Ok(before)
    }

    pub(crate) fn set_platform_down(&self, is_down: bool) {
        self.platform.set_faults(Faults {
            is_down,
            ..Faults::default()
        });
    }

    pub(crate) fn platform_calls(&self) -> CallCounts {
        self.platform.counts()
    }

    pub(crate) fn usage(&self) -> Result<Vec<Usage>> {
        self.daemons.iter().map(Daemon::usage).collect()
    }
}

/// Builds a mesh in which each version changes one service.
fn mesh(services: usize, version: usize) -> Result<Mesh> {
    let mut spec: MeshSpec = serde_json::from_value(serde_json::json!({
        "ranks": { "normal": { "target_ms": 50, "worth": 10, "share": 0.5 } },
    }))?;
    for n in 0..services.max(1) {
        let slots = if n == version % services.max(1) {
            2 + version % 100
        } else {
            1
        };
        let addition: MeshSpec = serde_json::from_value(serde_json::json!({
            "services": { format!("s{n}"): { "slots": slots } },
            "routes": { format!("r{n}"): { "path": format!("/r{n}"), "service": format!("s{n}"),
                "rank": "normal", "timeout_ms": 1000, "idempotent": true } },
        }))?;
        spec.services.extend(addition.services);
        spec.routes.extend(addition.routes);
    }
    Mesh::validate(spec).map_err(|faults| eyre::eyre!("mesh has {} faults", faults.len()))
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}
