//! Daemon processes on loopback addresses.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crossbeam::channel::tick;
use eyre::{Result, WrapErr, bail, eyre};
use lavenderhatch_core::{Timestamp, Version};
use lavenderhatch_files::{Source, parse_mesh};
use lavenderhatch_platform::MemoryPlatform;
use lavenderhatch_platform::accept::{Proposal, accept};
use lavenderhatch_platform::server::PlatformServer;
use lavenderhatch_standin::next_loopback_ip;

/// Port on which each stand-in and daemon listens. Their addresses differ.
const PORT: u16 = 7000;
/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Time within which started daemons must reach the expected state.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Name, location and back end of a daemon to start.
#[derive(Clone, Copy, Debug)]
pub struct NodeOptions<'a> {
    /// Name of the backend server.
    pub name: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// Service that the back end runs.
    pub service: &'a str,
    /// Address on which the back end listens.
    pub backend: SocketAddr,
}

/// A daemon process.
///
/// Dropping it kills the process.
#[derive(Debug)]
pub struct FleetNode {
    /// Name of the backend server.
    pub name: String,
    /// Address to which callers connect.
    pub caller_addr: SocketAddr,
    /// Address that serves status and metrics.
    pub admin_addr: SocketAddr,
    process: Child,
}

impl FleetNode {
    /// Returns the process identifier.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Kills the process and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Returns the body of `GET /status`, or `None` if the daemon does not answer with valid JSON.
    pub fn status(&self) -> Option<serde_json::Value> {
        let mut res = ureq::get(format!("http://{}/status", self.admin_addr))
            .call()
            .ok()?;
        let body = res.body_mut().read_to_vec().ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Returns the version in force, or zero if there is none or the daemon does not answer.
    pub fn version(&self) -> Version {
        let version = self.status().and_then(|status| status["version"].as_u64());
        Version(version.unwrap_or(0))
    }
}

impl Drop for FleetNode {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A platform stand-in in this process, and the daemon processes that use it.
pub struct Fleet {
    /// Stored objects and injected faults of the platform stand-in.
    pub platform: MemoryPlatform,
    /// Running daemons.
    pub nodes: Vec<FleetNode>,
    platform_addr: SocketAddr,
    program: PathBuf,
    dir: PathBuf,
    _server: PlatformServer,
}

impl Fleet {
    /// Starts the platform stand-in.
    ///
    /// Settings and logs of the daemons are written to `dir`. The program `lavenderhatchd` must be
    /// in the folder of the running program.
    pub fn open(dir: &Path) -> Result<Self> {
        let program = std::env::current_exe()?.with_file_name("lavenderhatchd");
        if !program.exists() {
            bail!("{} does not exist; build it first", program.display());
        }
        fs::create_dir_all(dir).wrap_err_with(|| dir.display().to_string())?;
        let platform = MemoryPlatform::default();
        let platform_addr = Self::free_addr();
        let server = PlatformServer::bind(platform_addr, platform.clone())?;
        let dir = dir.to_owned();
        Ok(Self {
            platform,
            nodes: Vec::new(),
            platform_addr,
            program,
            dir,
            _server: server,
        })
    }

    /// Returns a loopback address that nothing else uses.
    pub fn free_addr() -> SocketAddr {
        (next_loopback_ip(), PORT).into()
    }

    /// Starts a daemon, without waiting until it answers.
    pub fn add_node(&mut self, node: &NodeOptions<'_>) -> Result<()> {
        let (caller_addr, peer_addr, admin_addr) =
            (Self::free_addr(), Self::free_addr(), Self::free_addr());
        let settings = serde_json::json!({
            "node": node.name, "zone": node.zone, "region": "region-1", "service": node.service,
            "caller_addr": caller_addr, "peer_addr": peer_addr, "admin_addr": admin_addr,
            "backend_addr": node.backend, "platform": [format!("http://{}", self.platform_addr)],
        });
        let path = self.dir.join(format!("{}.jsonc", node.name));
        fs::write(&path, settings.to_string())?;
        let process = Command::new(&self.program)
            .arg(&path)
            .arg("--log-level=warn")
            .stdin(Stdio::null())
            .stderr(fs::File::create(path.with_extension("log"))?)
            .spawn()?;
        let name = node.name.to_owned();
        self.nodes.push(FleetNode {
            name,
            caller_addr,
            admin_addr,
            process,
        });
        Ok(())
    }

    /// Waits until each daemon answers and knows at least `members` members.
    pub fn wait_for_members(&self, members: usize) -> Result<()> {
        for node in &self.nodes {
            wait_until(
                START_LIMIT,
                &format!("{} knows {members} members", node.name),
                || {
                    let status = node.status()?;
                    (status["members"].as_array()?.len() >= members).then_some(())
                },
            )?;
        }
        Ok(())
    }

    /// Waits until each daemon has `version` or a later one in force.
    pub fn wait_for_version(&self, version: Version) -> Result<()> {
        for node in &self.nodes {
            let condition = format!("version {version} on {}", node.name);
            wait_until(START_LIMIT, &condition, || {
                (node.version() >= version).then_some(())
            })?;
        }
        Ok(())
    }

    /// Parses a mesh file and has it accepted by the platform.
    ///
    /// Returns the accepted version.
    pub fn apply(&self, text: &str) -> Result<Version> {
        let mesh = parse_mesh(&[Source::new("mesh.jsonc", text)])
            .map_err(|faults| eyre!("{} mesh faults, the first: {}", faults.len(), faults[0]))?;
        let now = Timestamp::from_system_clock();
        let nonce = now.to_string();
        let proposal = Proposal {
            mesh: &mesh,
            author: "bench",
            reason: "",
            nonce: &nonce,
        };
        Ok(accept(&self.platform, &proposal, now)?)
    }
}

/// Calls `probe` until it returns a value.
///
/// Fails after `limit` with an error that names `condition`.
pub fn wait_until<T>(
    limit: Duration,
    condition: &str,
    mut probe: impl FnMut() -> Option<T>,
) -> Result<T> {
    let start = Instant::now();
    let ticks = tick(POLL_INTERVAL);
    loop {
        if let Some(answer) = probe() {
            return Ok(answer);
        }
        if start.elapsed() > limit {
            bail!("timed out after {limit:?}: {condition}");
        }
        let _ = ticks.recv();
    }
}
