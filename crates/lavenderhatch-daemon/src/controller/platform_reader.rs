//! Reads the accepted configuration from the platform.

use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, TryRecvError, bounded};
use eyre::Result;
use lavenderhatch_decide::acceptance::{ROOT_NAME, RootObject};
use lavenderhatch_decide::message::Whole;
use lavenderhatch_platform::accept::read_content;
use lavenderhatch_platform::{Object, Platform, PlatformError};
use tracing::{info, warn};

use super::handle::ControllerHandle;

/// Longest wait of one watch. Bounds the time in which a reader notices that it is to end.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Wait after the first failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Longest wait after failed calls.
const MAX_BACKOFF: Duration = Duration::from_secs(10);

/// What the platform says about the accepted configuration.
#[derive(Clone, Debug)]
pub enum RootNews {
    /// A whole mesh.
    Whole(Whole),
    /// Nothing was accepted yet.
    Empty,
}

/// Watches the root object.
#[derive(Debug)]
pub struct PlatformReader;

impl PlatformReader {
    /// Starts a thread that watches the root object and reports what it reads.
    pub fn spawn<P: Platform>(platform: P, news: Sender<RootNews>) -> Result<ControllerHandle> {
        ControllerHandle::spawn("platform-reader", move |stop| run(&stop, &platform, &news))
    }
}

fn run<P: Platform>(stop: &Receiver<()>, platform: &P, news: &Sender<RootNews>) {
    let mut seen = 0;
    let mut backoff = MIN_BACKOFF;
    let mut is_first = true;
    while !matches!(stop.try_recv(), Err(TryRecvError::Disconnected)) {
        let read = match is_first {
            true => platform.get(ROOT_NAME),
            false => platform.watch(ROOT_NAME, seen, WATCH_TIMEOUT),
        };
        match read.and_then(|object| report(platform, object, is_first, &mut seen, news)) {
            Ok(()) => {
                is_first = false;
                backoff = MIN_BACKOFF;
            }
            Err(err) => {
                warn!("platform: cannot read the root object: {err}");
                let _ = stop.recv_timeout(backoff);
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

fn report<P: Platform>(
    platform: &P,
    object: Option<Object>,
    is_first: bool,
    seen: &mut u64,
    news: &Sender<RootNews>,
) -> Result<(), PlatformError> {
    let Some(object) = object else {
        if is_first {
            let _ = news.send(RootNews::Empty);
        }
        return Ok(());
    };
    let unreadable = |err: serde_json::Error| PlatformError::BadAnswer(err.to_string());
    let root: RootObject = serde_json::from_slice(&object.value).map_err(unreadable)?;
    let mesh = read_content(platform, &root.content)?;
    info!("platform: version {} read", root.version);
    let whole = Whole {
        version: root.version,
        digest: root.digest,
        mesh,
    };
    *seen = object.version;
    let _ = news.send(RootNews::Whole(whole));
    Ok(())
}

/// The queue of what the reader reports.
pub(crate) fn news_channel() -> (Sender<RootNews>, Receiver<RootNews>) {
    bounded(16)
}
