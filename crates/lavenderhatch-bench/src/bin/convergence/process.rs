//! A daemon process.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use eyre::{Result, WrapErr, eyre};
use lavenderhatch_core::audit::AuditLog;
use lavenderhatch_daemon::admin::DaemonStatus;
use lavenderhatch_standin::next_loopback_ip;
use serde::de::DeserializeOwned;

/// Clock ticks per second, the unit in which the kernel counts processor time.
const CPU_TICKS_PER_SECOND: f64 = 100.0;

/// Port on which each daemon listens. Their addresses differ.
const PORT: u16 = 7000;

/// Returns three loopback addresses that nothing else uses.
pub(crate) fn addrs() -> [SocketAddr; 3] {
    [(); 3].map(|()| (next_loopback_ip(), PORT).into())
}

/// Resources that a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Processor time, in seconds.
    pub(crate) cpu_time_s: f64,
    /// Resident memory.
    pub(crate) resident_bytes: u64,
    /// Bytes of control traffic, sent and received together.
    pub(crate) control_bytes: u64,
}

/// A daemon process.
///
/// Dropping it kills the process.
pub(crate) struct Daemon {
    process: Child,
    admin_addr: SocketAddr,
}

impl Daemon {
    pub(crate) fn start(
        dir: &Path,
        name: &str,
        zone: usize,
        addrs: &[SocketAddr; 3],
        platform: SocketAddr,
    ) -> Result<Self> {
        let [caller, peer, admin] = addrs;
        let settings = dir.join(format!("{name}.jsonc"));
        let text = format!(
            r#"{{ "node": "{name}", "zone": "zone-{zone}", "region": "region-1", "service": "s0",
  "caller_addr": "{caller}", "peer_addr": "{peer}", "admin_addr": "{admin}",
  "backend_addr": "127.0.0.1:9", "platform": ["http://{platform}"],
  "peer_threads": 1, "carry_threads": 1 }}"#
        );
        fs::write(&settings, text)?;
        let own = std::env::current_exe()?;
        let program = own.with_file_name("lavenderhatchd");
        let log = fs::File::create(dir.join(format!("{name}.log")))?;
        let process = Command::new(&program)
            .args(["--log-level", "warn"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stderr(log)
            .spawn()
            .wrap_err_with(|| format!("cannot start {}", program.display()))?;
        Ok(Self {
            process,
            admin_addr: *admin,
        })
    }

    pub(crate) fn status(&self) -> Result<DaemonStatus> {
        self.get("/status")
    }

    pub(crate) fn audit(&self) -> Result<AuditLog> {
        self.get("/audit")
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        let mut res = ureq::get(format!("http://{}{path}", self.admin_addr)).call()?;
        Ok(serde_json::from_slice(&res.body_mut().read_to_vec()?)?)
    }

    pub(crate) fn usage(&self) -> Result<Usage> {
        let control = self.status()?.control;
        Ok(Usage {
            cpu_time_s: self.cpu_time_s()?,
            resident_bytes: resident_bytes(&format!("/proc/{}/status", self.process.id()))?,
            control_bytes: control.sent + control.received,
        })
    }

    fn cpu_time_s(&self) -> Result<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.process.id()))?;
        let rest = stat
            .rsplit_once(')')
            .ok_or_else(|| eyre!("unexpected format of /proc/<pid>/stat"))?
            .1;
        // utime and stime are fields 14 and 15, that is 12 and 13 after the process name.
        let fields = rest.split_whitespace().skip(11).take(2);
        let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
        Ok(ticks / CPU_TICKS_PER_SECOND)
    }
}

fn resident_bytes(path: &str) -> Result<u64> {
    let status = fs::read_to_string(path)?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next());
    let kib: u64 = kib.ok_or_else(|| eyre!("no VmRSS in {path}"))?.parse()?;
    Ok(kib * 1024)
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
