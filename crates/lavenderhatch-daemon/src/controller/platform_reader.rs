//! Reads the accepted configuration from the platform.
//!
//! The root object in the platform names the accepted version and holds its mesh, or the names of
//! the objects that hold it.
//! Only a few daemons of each zone watch the platform; the others receive versions from peers.

use std::time::Duration;

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, after, bounded, never, select};
use eyre::Result;
use lavenderhatch_core::MemberRecord;
use lavenderhatch_core::blackboard::SectionReader;
use lavenderhatch_core::member::Members;
use lavenderhatch_decide::acceptance::{ROOT_NAME, RootObject};
use lavenderhatch_decide::distribution::{ReaderRole, reader_backoff, reader_role};
use lavenderhatch_decide::membership::{isolated_interval, join_delay};
use lavenderhatch_decide::message::Whole;
use lavenderhatch_platform::accept::read_content;
use lavenderhatch_platform::{Object, Platform, PlatformError};
use tracing::{info, warn};

use super::handle::ControllerHandle;

/// Longest wait of one watch call, which bounds the time until a reader notices that other daemons
/// read in its place.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the first read in which a starting daemon discovers other members. Without it, every
/// daemon of a starting fleet would watch the platform briefly.
const PEER_DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Thread that reads the root object at the start and as the reader role of this daemon requires.
#[derive(Debug)]
pub struct PlatformReader<P> {
    /// Member record of this daemon.
    pub own: MemberRecord,
    /// Platform that stores the root object.
    pub platform: P,
    /// Known members, from which the reader role follows.
    pub members: SectionReader<Members>,
    /// Channel for the versions that were read.
    pub updates: Sender<Whole>,
}

impl<P: Platform> PlatformReader<P> {
    /// Starts the thread.
    pub fn spawn(self) -> Result<ControllerHandle> {
        let reader = ReaderLoop {
            cx: self,
            last_version: 0,
            failures: 0,
        };
        ControllerHandle::spawn("platform-reader", move |stop| reader.run(&stop))
            .map(ControllerHandle::detached)
    }
}

struct ReaderLoop<P> {
    cx: PlatformReader<P>,
    /// Platform version of the root object that was read last; 0 before the first read.
    last_version: u64,
    /// Number of consecutive failed reads.
    failures: u32,
}

impl<P: Platform> ReaderLoop<P> {
    fn run(mut self, stop: &Receiver<()>) {
        if !wait_unless_stopped(stop, join_delay(0, rand::random())) || !self.read_initial(stop) {
            return;
        }
        if !wait_unless_stopped(stop, PEER_DISCOVERY_TIME) {
            return;
        }
        let members_changed = self.cx.members.subscribe();
        loop {
            let role = self.role();
            let wait = match role {
                ReaderRole::Watch => Some(self.watch()),
                ReaderRole::Isolated => Some(self.read_isolated()),
                ReaderRole::Idle => None,
            };
            if !self.wait_for_next_read(stop, &members_changed, role, wait) {
                return;
            }
        }
    }

    /// Waits until `wait` has passed or the role changes; `None` waits for the role only.
    ///
    /// Returns `false` if the thread must end.
    fn wait_for_next_read(
        &self,
        stop: &Receiver<()>,
        members_changed: &Receiver<()>,
        role: ReaderRole,
        wait: Option<Duration>,
    ) -> bool {
        let timer = wait.map_or_else(never, after);
        loop {
            select! {
                recv(stop) -> _ => return false,
                recv(timer) -> _ => return true,
                recv(members_changed) -> wake => match wake {
                    Ok(()) if self.role() == role => {}
                    wake => return wake.is_ok(),
                },
            }
        }
    }

    fn role(&self) -> ReaderRole {
        reader_role(&self.cx.members.load(), &self.cx.own)
    }

    /// Reads the root object at the start; retries until a read succeeds or a peer has answered.
    ///
    /// Returns `false` if the thread must end.
    fn read_initial(&mut self, stop: &Receiver<()>) -> bool {
        loop {
            let read = self.cx.platform.get(ROOT_NAME);
            let Some(wait) = self.handle_read(read) else {
                return true;
            };
            if !self.cx.members.load().reported_versions.is_empty() {
                // A peer has answered, so from here on the role determines the reads.
                return true;
            }
            if !wait_unless_stopped(stop, wait) {
                return false;
            }
        }
    }

    /// Watches the root object once. Returns the wait before the next call.
    fn watch(&mut self) -> Duration {
        let read = self
            .cx
            .platform
            .watch(ROOT_NAME, self.last_version, WATCH_TIMEOUT);
        self.handle_read(read).unwrap_or_default()
    }

    /// Reads the root object once, as an isolated daemon. Returns the wait before the next call.
    fn read_isolated(&mut self) -> Duration {
        let read = self.cx.platform.get(ROOT_NAME);
        let members = self.cx.members.load().by_id.len();
        let interval = isolated_interval(members, rand::random());
        self.handle_read(read).unwrap_or(interval).max(interval)
    }

    /// Reports a version that was read. Returns the backoff if the read failed.
    fn handle_read(&mut self, read: Result<Option<Object>, PlatformError>) -> Option<Duration> {
        let result = read.and_then(|object| self.send_if_new(object));
        let Err(err) = result else {
            self.failures = 0;
            return None;
        };
        warn!("platform: cannot read the root object: {err}");
        self.failures = self.failures.saturating_add(1);
        Some(reader_backoff(self.failures, rand::random()))
    }

    fn send_if_new(&mut self, object: Option<Object>) -> Result<(), PlatformError> {
        let Some(object) = object.filter(|object| object.version != self.last_version) else {
            return Ok(());
        };
        let unreadable = |err: serde_json::Error| PlatformError::InvalidResponse(err.to_string());
        let root: RootObject = serde_json::from_slice(&object.value).map_err(unreadable)?;
        let mesh = read_content(&self.cx.platform, &root.content)?;
        info!("platform: read version {}", root.version);
        let whole = Whole {
            version: root.version,
            digest: root.digest,
            mesh,
        };
        self.last_version = object.version;
        let _ = self.cx.updates.send(whole);
        Ok(())
    }
}

/// Waits for `wait`. Returns `false` if the thread must end before that.
fn wait_unless_stopped(stop: &Receiver<()>, wait: Duration) -> bool {
    matches!(stop.recv_timeout(wait), Err(RecvTimeoutError::Timeout))
}

/// Creates the queue of versions that the reader has read.
pub(crate) fn platform_update_channel() -> (Sender<Whole>, Receiver<Whole>) {
    bounded(16)
}
