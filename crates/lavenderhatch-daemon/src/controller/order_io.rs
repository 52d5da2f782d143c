//! Threads that read and write the logs of claim ranges in the platform for the order controller.

use std::thread;

use crossbeam::channel::{Receiver, Sender, unbounded};
use eyre::Result;
use lavenderhatch_decide::orders::{
    Commit, CommitResult, Head, RangeId, RangeSnapshot, RangeStep, Segment,
};
use lavenderhatch_platform::{Platform, PlatformError, Precondition};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tracing::{debug, warn};

/// Number of threads that wait for the platform. Each range has at most one exchange at a time.
const IO_THREADS: usize = 4;
/// Maximum number of attempts to read a log. An attempt fails if a segment is removed after the
/// head that names it was read.
const MAX_READ_ATTEMPTS: usize = 3;

/// A platform exchange to run for a range.
#[derive(Debug)]
pub(super) struct IoJob {
    pub(super) range: RangeId,
    pub(super) step: RangeStep,
}

/// A finished platform exchange.
#[derive(Debug)]
pub(super) struct IoCompletion {
    pub(super) range: RangeId,
    pub(super) result: IoResult,
}

/// Result of a platform exchange.
#[derive(Debug)]
pub(super) enum IoResult {
    /// Content of the log, or `None` if it could not be read.
    Loaded(Option<RangeSnapshot>),
    /// Result of a write.
    Committed(CommitResult),
}

/// Starts the threads, which end when the returned job sender is dropped.
pub(super) fn spawn<P: Platform + Clone>(
    platform: &P,
) -> Result<(Sender<IoJob>, Receiver<IoCompletion>)> {
    // Unbounded, so that the controller never blocks. There is at most one job per range.
    let (jobs_tx, jobs) = unbounded();
    let (done_tx, done) = unbounded();
    for n in 0..IO_THREADS {
        let (platform, jobs, done) = (
            platform.clone(),
            Receiver::clone(&jobs),
            Sender::clone(&done_tx),
        );
        thread::Builder::new()
            .name(format!("order-io-{n}"))
            .spawn(move || run(&platform, &jobs, &done))?;
    }
    Ok((jobs_tx, done))
}

fn run<P: Platform>(platform: &P, jobs: &Receiver<IoJob>, done: &Sender<IoCompletion>) {
    for IoJob { range, step } in jobs {
        let result = match step {
            RangeStep::Load { held } => IoResult::Loaded(load(platform, range, &held)),
            RangeStep::Commit(commit) => IoResult::Committed(write_log(platform, range, &commit)),
        };
        if done.send(IoCompletion { range, result }).is_err() {
            return;
        }
    }
}

fn load<P: Platform>(platform: &P, range: RangeId, held: &[String]) -> Option<RangeSnapshot> {
    for _ in 0..MAX_READ_ATTEMPTS {
        match read_snapshot(platform, range, held) {
            Ok(Some(snapshot)) => return Some(snapshot),
            Ok(None) => debug!("order: range {range}: a segment was removed during the read"),
            Err(err) => {
                warn!("order: range {range}: cannot read the claims: {err}");
                return None;
            }
        }
    }
    None
}

/// Reads the head of the log and the segments that are not in `held`.
///
/// Returns `Ok(None)` if a segment that the head names has been removed.
fn read_snapshot<P: Platform>(
    platform: &P,
    range: RangeId,
    held: &[String],
) -> Result<Option<RangeSnapshot>, PlatformError> {
    let Some(object) = platform.get(&range.head_name())? else {
        return Ok(Some(RangeSnapshot::default()));
    };
    let head: Head = parse(&object.value)?;
    let mut segments = Vec::new();
    for segment in &head.segments {
        if held.contains(&segment.name) {
            continue;
        }
        let Some(object) = platform.get(&range.segment_name(&segment.name))? else {
            return Ok(None);
        };
        segments.push(parse::<Segment>(&object.value)?);
    }
    Ok(Some(RangeSnapshot {
        version: Some(object.version),
        head,
        segments,
    }))
}

fn write_log<P: Platform>(platform: &P, range: RangeId, commit: &Commit) -> CommitResult {
    match try_write_log(platform, range, commit) {
        Ok(version) => {
            if commit.sealed.is_some() || !commit.dropped.is_empty() {
                remove_unreferenced_segments(platform, range, &commit.head, version);
            }
            CommitResult::Written(version)
        }
        Err(result) => result,
    }
}

fn try_write_log<P: Platform>(
    platform: &P,
    range: RangeId,
    commit: &Commit,
) -> Result<u64, CommitResult> {
    if let Some(sealed) = &commit.sealed {
        let name = range.segment_name(&sealed.name);
        match platform.put(&name, &encode(&sealed.segment)?, Precondition::Absent) {
            Ok(_) => {}
            Err(PlatformError::RateLimited) => return Err(CommitResult::RateLimited),
            Err(err) => {
                // Without the head, a segment that may have been written has no effect.
                warn!("order: range {range}: cannot write a segment: {err}");
                return Err(CommitResult::Unavailable);
            }
        }
    }
    let expected = commit
        .expected
        .map_or(Precondition::Absent, Precondition::Version);
    let written = platform.put(&range.head_name(), &encode(&commit.head)?, expected);
    written.map_err(|err| {
        debug!("order: range {range}: cannot write the claims: {err}");
        match err {
            PlatformError::Conflict { .. } => CommitResult::Conflict,
            PlatformError::RateLimited => CommitResult::RateLimited,
            err if err.may_have_taken_effect() => CommitResult::AnswerLost,
            _ => CommitResult::Unavailable,
        }
    })
}

/// Removes the segments that no head can name any more.
///
/// These are the segments that were written before the head of `version` and that it does not name.
/// A head that names one of them could only replace an older head, so its write conflicts.
fn remove_unreferenced_segments<P: Platform>(
    platform: &P,
    range: RangeId,
    head: &Head,
    version: u64,
) {
    let names: Vec<String> = head
        .segments
        .iter()
        .map(|segment| range.segment_name(&segment.name))
        .chain([range.head_name()])
        .collect();
    let listed = platform.list(&range.segment_name("")).unwrap_or_default();
    let unreferenced = listed
        .iter()
        .filter(|meta| meta.version < version && !names.contains(&meta.name));
    for meta in unreferenced {
        if let Err(err) = platform.delete(&meta.name, meta.version) {
            debug!("order: cannot remove segment {}: {err}", meta.name);
        }
    }
}

fn parse<T: DeserializeOwned>(value: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(value).map_err(|err| PlatformError::InvalidResponse(err.to_string()))
}

fn encode(value: &impl Serialize) -> Result<Vec<u8>, CommitResult> {
    serde_json::to_vec(value).map_err(|err| {
        warn!("order: cannot encode the claims: {err}");
        CommitResult::Unavailable
    })
}
