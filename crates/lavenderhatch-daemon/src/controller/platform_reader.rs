//! Reads the accepted configuration from the platform.

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

/// Longest wait of one watch. Bounds the time in which a reader notices that others read.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after the first read in which a daemon that starts may learn of other members, so that not
/// every daemon of a fleet that starts watches for a moment.
const JOIN_TIME: Duration = Duration::from_secs(2);

/// Reads the root object as often as this daemon's role asks.
#[derive(Debug)]
pub struct PlatformReader<P> {
    /// Record of this daemon.
    pub own: MemberRecord,
    /// The platform.
    pub platform: P,
    /// Known members.
    pub members: SectionReader<Members>,
    /// Where what was read goes.
    pub news: Sender<Whole>,
}

impl<P: Platform> PlatformReader<P> {
    /// Starts the thread.
    pub fn spawn(self) -> Result<ControllerHandle> {
        let running = Running {
            cx: self,
            seen: 0,
            failures: 0,
        };
        ControllerHandle::spawn("platform-reader", move |stop| running.run(&stop))
            .map(ControllerHandle::detached)
    }
}

struct Running<P> {
    cx: PlatformReader<P>,
    /// Version of the object that was read last.
    seen: u64,
    /// Failed calls in a row.
    failures: u32,
}

impl<P: Platform> Running<P> {
    fn run(mut self, stop: &Receiver<()>) {
        if !is_passed(stop, join_delay(0, rand::random())) || !self.read_first(stop) {
            return;
        }
        if !is_passed(stop, JOIN_TIME) {
            return;
        }
        let woken = self.cx.members.subscribe();
        loop {
            let role = self.role();
            let wait = match role {
                ReaderRole::Watch => Some(self.watch()),
                ReaderRole::Isolated => Some(self.read_alone()),
                ReaderRole::Idle => None,
            };
            if !self.rest(stop, &woken, role, wait) {
                return;
            }
        }
    }

    /// Waits for `wait`, or for another role. Returns whether to go on.
    fn rest(
        &self,
        stop: &Receiver<()>,
        woken: &Receiver<()>,
        role: ReaderRole,
        wait: Option<Duration>,
    ) -> bool {
        let timer = wait.map_or_else(never, after);
        loop {
            select! {
                recv(stop) -> _ => return false,
                recv(timer) -> _ => return true,
                recv(woken) -> wake => match wake {
                    Ok(()) if self.role() == role => {}
                    wake => return wake.is_ok(),
                },
            }
        }
    }

    fn role(&self) -> ReaderRole {
        reader_role(&self.cx.members.load(), &self.cx.own)
    }

    /// Reads the root object once at the start, before any peer has answered. Returns whether to
    /// go on.
    fn read_first(&mut self, stop: &Receiver<()>) -> bool {
        loop {
            let read = self.cx.platform.get(ROOT_NAME);
            let Some(wait) = self.take(read) else {
                return true;
            };
            if !self.cx.members.load().reported_versions.is_empty() {
                // Peers have answered; reading goes on according to the role.
                return true;
            }
            if !is_passed(stop, wait) {
                return false;
            }
        }
    }

    /// Watches once. Returns the wait before the next call.
    fn watch(&mut self) -> Duration {
        let read = self.cx.platform.watch(ROOT_NAME, self.seen, WATCH_TIMEOUT);
        self.take(read).unwrap_or_default()
    }

    /// Reads once as an isolated daemon. Returns the wait before the next call.
    fn read_alone(&mut self) -> Duration {
        let read = self.cx.platform.get(ROOT_NAME);
        let members = self.cx.members.load().by_id.len();
        let pause = isolated_interval(members, rand::random());
        self.take(read).unwrap_or(pause).max(pause)
    }

    /// Reports what was read. Returns the wait after a failure.
    fn take(&mut self, read: Result<Option<Object>, PlatformError>) -> Option<Duration> {
        let result = read.and_then(|object| self.report(object));
        let Err(err) = result else {
            self.failures = 0;
            return None;
        };
        warn!("platform: cannot read the root object: {err}");
        self.failures = self.failures.saturating_add(1);
        Some(reader_backoff(self.failures, rand::random()))
    }

    fn report(&mut self, object: Option<Object>) -> Result<(), PlatformError> {
        let Some(object) = object.filter(|object| object.version != self.seen) else {
            return Ok(());
        };
        let unreadable = |err: serde_json::Error| PlatformError::InvalidResponse(err.to_string());
        let root: RootObject = serde_json::from_slice(&object.value).map_err(unreadable)?;
        let mesh = read_content(&self.cx.platform, &root.content)?;
        info!("platform: version {} read", root.version);
        let whole = Whole {
            version: root.version,
            digest: root.digest,
            mesh,
        };
        self.seen = object.version;
        let _ = self.cx.news.send(whole);
        Ok(())
    }
}

/// Waits. Returns false if the thread is to end first.
fn is_passed(stop: &Receiver<()>, wait: Duration) -> bool {
    matches!(stop.recv_timeout(wait), Err(RecvTimeoutError::Timeout))
}

/// The queue of what the reader reports.
pub(crate) fn news_channel() -> (Sender<Whole>, Receiver<Whole>) {
    bounded(16)
}
