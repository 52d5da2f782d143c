//! Daemon processes with back ends and a platform in this process.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant, SystemTime};

use crossbeam::channel::tick;
use eyre::{Result, WrapErr, bail, ensure};
use lavenderhatch_platform::MemoryPlatform;
use lavenderhatch_platform::server::PlatformServer;
use lavenderhatch_standin::{BackendStandin, Behaviour};

/// Slots of each back end.
const SLOTS: u32 = 64;
/// Time for the daemons to start and to put a version in force.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time between the start of a stop and its deadline.
const STOP_TIME: Duration = Duration::from_secs(600);
/// Interval at which daemons are asked for their state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// A loopback address of this process alone.
fn free_addr() -> SocketAddr {
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, 129 + high % 64, middle, low);
    SocketAddr::from((ip, NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

/// The programs that are measured.
pub(crate) struct Programs {
    daemon: PathBuf,
    tool: PathBuf,
}

impl Programs {
    /// Finds the programs in a directory, or beside this one.
    pub(crate) fn find(dir: Option<&PathBuf>) -> Result<Self> {
        let own = std::env::current_exe()?;
        let dir = dir.map(PathBuf::as_path).or(own.parent());
        let dir = dir.unwrap_or(Path::new("."));
        let (daemon, tool) = (dir.join("lavenderhatchd"), dir.join("lavenderhatch"));
        for program in [&daemon, &tool] {
            ensure!(program.is_file(), "{} is not built", program.display());
        }
        Ok(Self { daemon, tool })
    }
}

struct Node {
    caller_addr: SocketAddr,
    admin_addr: SocketAddr,
    process: Child,
    _backend: BackendStandin,
}

/// Daemons of one service. Dropping it ends the processes.
pub(crate) struct Fleet {
    nodes: Vec<Node>,
    tool: PathBuf,
    dir: PathBuf,
    platform_addr: SocketAddr,
    _platform: PlatformServer,
}

impl Fleet {
    /// Starts the daemons and waits until they have a configuration and know each other.
    pub(crate) fn start(programs: &Programs, count: usize, service_ms: u64) -> Result<Self> {
        let dir = std::env::temp_dir().join(format!("lavenderhatch-stops-{}", std::process::id()));
        fs::create_dir_all(&dir)?;
        let platform_addr = free_addr();
        let mut fleet = Self {
            nodes: Vec::new(),
            tool: programs.tool.clone(),
            dir,
            platform_addr,
            _platform: PlatformServer::bind(platform_addr, MemoryPlatform::default())?,
        };
        for number in 0..count {
            let node = fleet.start_node(&programs.daemon, number, service_ms)?;
            fleet.nodes.push(node);
        }
        fleet.apply("")?;
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    fn start_node(&self, daemon: &Path, number: usize, service_ms: u64) -> Result<Node> {
        let behaviour = Behaviour {
            slots: SLOTS,
            service_ms,
            ..Behaviour::default()
        };
        let backend = BackendStandin::bind(free_addr(), &format!("n{number}"), behaviour)?;
        let (caller_addr, peer_addr, admin_addr) = (free_addr(), free_addr(), free_addr());
        let settings = self.dir.join(format!("n{number}.jsonc"));
        let text = format!(
            r#"{{ "node": "n{number}", "zone": "zone-a", "region": "region-1", "service": "work",
  "caller_addr": "{caller_addr}", "peer_addr": "{peer_addr}", "admin_addr": "{admin_addr}",
  "backend_addr": "{}", "platform": ["http://{}"] }}"#,
            backend.addr(),
            self.platform_addr
        );
        fs::write(&settings, text)?;
        let process = Command::new(daemon)
            .arg(&settings)
            .args(["--log-level", "error"])
            .stdin(Stdio::null())
            .spawn()
            .wrap_err("cannot start a daemon")?;
        Ok(Node {
            caller_addr,
            admin_addr,
            process,
            _backend: backend,
        })
    }

    fn wait_until_ready(&self) -> Result<()> {
        let deadline = Instant::now() + START_LIMIT;
        let ticks = tick(POLL_INTERVAL);
        for node in &self.nodes {
            while !self.is_ready(node) {
                let status = || status(node).unwrap_or_default();
                ensure!(Instant::now() < deadline, "not ready: {}", status());
                let _ = ticks.recv();
            }
        }
        Ok(())
    }

    fn is_ready(&self, node: &Node) -> bool {
        let status = status(node).unwrap_or_default();
        let members = status["members"].as_array().map_or(0, Vec::len);
        status["version"] == 1 && members == self.nodes.len()
    }

    /// Accepts a planned stop of the first daemon.
    pub(crate) fn apply_stop_of_first(&self, start: SystemTime) -> Result<()> {
        let text = |time| humantime::format_rfc3339_millis(time).to_string();
        let (start, deadline) = (text(start), text(start + STOP_TIME));
        self.apply(&format!(
            r#""replace": {{ "backend_server": "n0", "start": "{start}", "deadline": "{deadline}" }}"#
        ))
    }

    fn apply(&self, stops: &str) -> Result<()> {
        let mesh = format!(
            r#"{{ "ranks": {{ "urgent": {{ "target_ms": 50, "worth": 100, "share": 0.4 }} }},
  "services": {{ "work": {{ "slots": {SLOTS} }} }},
  "routes": {{ "work": {{ "path": "/work", "service": "work", "rank": "urgent",
                         "timeout_ms": 8000, "idempotent": false }} }},
  "stops": {{ {stops} }} }}"#
        );
        let dir = self.dir.join("mesh");
        fs::create_dir_all(&dir)?;
        fs::write(dir.join("mesh.jsonc"), mesh)?;
        let output = Command::new(&self.tool)
            .args([
                "apply",
                "--platform",
                &format!("http://{}", self.platform_addr),
            ])
            .arg(&dir)
            .output()?;
        if !output.status.success() {
            bail!("apply: {}", String::from_utf8_lossy(&output.stderr));
        }
        Ok(())
    }

    /// Sends SIGTERM to the first daemon.
    pub(crate) fn signal_first(&self) -> Result<()> {
        let pid = self.nodes[0].process.id().to_string();
        let status = Command::new("kill").args(["-TERM", &pid]).status()?;
        ensure!(status.success(), "cannot send a signal");
        Ok(())
    }

    /// Phase of the stop as the first daemon sees it, or "ended" if it no longer answers.
    pub(crate) fn phase_of_first(&self) -> String {
        let status = status(&self.nodes[0]);
        let phase = |status: serde_json::Value| {
            let phase = &status["stops"]["replace"]["phase"];
            phase.as_str().unwrap_or("leaving for a signal").to_owned()
        };
        status.map_or_else(|| "ended".to_owned(), phase)
    }

    /// Where callers reach the daemons.
    pub(crate) fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.caller_addr).collect()
    }
}

fn status(node: &Node) -> Option<serde_json::Value> {
    let url = format!("http://{}/status", node.admin_addr);
    let body = ureq::get(url).call().ok()?.body_mut().read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            let _ = node.process.kill();
            let _ = node.process.wait();
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}
