//! The daemons beside the backend servers of a service, as the leader of its rollout knows them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::version_report::VersionReport;

/// Time without an answer after which a daemon is left out: its machine has failed or is cut off.
const UNREACHABLE_TIME: Duration = Duration::from_secs(3);
/// Backend servers of the new version for each of the old one from which all requests move in time.
const MIN_CAPACITY: f64 = 0.75;
/// Answers without a request in progress after which a backend server is idle. A request may have
/// been admitted while its daemon applied the rule of the first of them.
const IDLE_ANSWERS: u32 = 2;

/// The daemon beside a backend server of the service.
#[derive(Clone, Debug)]
pub(super) struct Server {
    pub(super) addr: SocketAddr,
    pub(super) version: String,
    pub(super) last: Option<VersionReport>,
    /// Time of the last answer, or since when the daemon is asked.
    pub(super) heard_at: Timestamp,
    /// Number of answers in a row with no request at the backend server, since it gets no more.
    pub(super) idle_answers: u32,
}

impl Server {
    fn is_heard(&self, now: Timestamp) -> bool {
        now.since(self.heard_at) < UNREACHABLE_TIME
    }

    fn is_serving(&self, now: Timestamp) -> bool {
        self.is_heard(now) && self.last.as_ref().is_some_and(|last| last.is_serving)
    }
}

/// The daemons beside the backend servers of a service, by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Servers(BTreeMap<String, Server>);

impl Servers {
    /// Sets the daemons. Those that are known at the same address keep their answers.
    pub(super) fn set<'a>(
        &mut self,
        servers: impl Iterator<Item = (&'a str, SocketAddr, &'a str)>,
        now: Timestamp,
    ) {
        let mut before = std::mem::take(&mut self.0);
        for (name, addr, version) in servers {
            let known = before.remove(name).filter(|known| known.addr == addr);
            let mut server = known.unwrap_or_else(|| Server {
                addr,
                version: String::new(),
                last: None,
                heard_at: now,
                idle_answers: 0,
            });
            if server.last.is_none() {
                server.version = version.to_owned();
            }
            self.0.insert(name.to_owned(), server);
        }
    }

    /// Returns a daemon.
    pub(super) fn get(&self, name: &str) -> Option<&Server> {
        self.0.get(name)
    }

    /// Returns a daemon, to record its answer.
    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Server> {
        self.0.get_mut(name)
    }

    /// Returns the addresses of the daemons.
    pub(super) fn addrs(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        self.0.iter().map(|(name, s)| (name.as_str(), s.addr))
    }

    /// Returns the daemons of backend servers of `version` that accept requests.
    pub(super) fn usable(&self, version: &str, now: Timestamp) -> Vec<&String> {
        let servers = self.0.iter();
        let usable = servers.filter(|(_, s)| s.version == version && s.is_serving(now));
        usable.map(|(name, _)| name).collect()
    }

    /// Returns the number of backend servers of other versions than `version`.
    pub(super) fn count_other(&self, version: &str) -> usize {
        self.0.values().filter(|s| s.version != version).count()
    }

    /// Whether enough backend servers of `version` are there to run all requests: nearly as many as
    /// of the others, or any at all once time is short.
    pub(super) fn has_capacity(&self, version: &str, is_late: bool, now: Timestamp) -> bool {
        let serving = self.0.values().filter(|s| s.is_serving(now));
        let (new, old): (Vec<&Server>, Vec<&Server>) = serving.partition(|s| s.version == version);
        let is_enough = new.len() as f64 >= MIN_CAPACITY * old.len() as f64;
        !new.is_empty() && (is_late || is_enough)
    }

    /// Whether no request runs on other versions than `version` any more, which get none since a
    /// time.
    pub(super) fn is_drained(&self, version: &str, since: Timestamp, now: Timestamp) -> bool {
        let mut old = self.0.values().filter(|s| s.version != version);
        old.all(|server| {
            let silent_since = server.heard_at.max(since);
            server.idle_answers >= IDLE_ANSWERS || now.since(silent_since) >= UNREACHABLE_TIME
        })
    }
}
