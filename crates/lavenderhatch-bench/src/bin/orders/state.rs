//! Measures the memory and the stored size of a claim range, and the times of a take-over and of a
//! merge after a conflict.

use std::fs;
use std::time::Instant;

use eyre::{OptionExt, Result, bail};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{Digest, Incarnation, NodeId, Timestamp};
use lavenderhatch_decide::message::{Claim, OutcomeRecord, RecordedOutcome};
use lavenderhatch_decide::orders::{
    Commit, CommitResult, Head, OwnerView, RangeOwner, RangeSnapshot, RangeStep, Segment, key_hash,
};
use serde::Serialize;

const RETENTION: std::time::Duration = std::time::Duration::from_secs(24 * 3600);
/// Claims in each commit while the log is filled.
const CLAIMS_PER_COMMIT: u64 = 100;
/// Simulated time between two commits, in milliseconds.
const COMMIT_INTERVAL_MS: u64 = 1100;
/// Size of a memory page, the unit of `/proc/self/statm`.
const PAGE_BYTES: u64 = 4096;

/// Results for the owner of one range.
#[derive(Debug, Serialize)]
pub(crate) struct StateRow {
    pub(crate) claims: u64,
    pub(crate) memory_bytes_per_claim: f64,
    pub(crate) stored_bytes_per_claim: f64,
    pub(crate) segments: usize,
    pub(crate) largest_head_bytes: usize,
    /// Time in which a new owner reads and merges the stored log.
    pub(crate) take_over_ms: f64,
    /// Part of the take-over that parses the stored values.
    pub(crate) parse_ms: f64,
    /// Time in which an owner reads the head again and merges it after a write conflict.
    pub(crate) conflict_ms: f64,
}

/// The stored log of one range.
#[derive(Default)]
struct StoredLog {
    version: u64,
    head: Vec<u8>,
    largest_head_len: usize,
    segments: Vec<Vec<u8>>,
}

impl StoredLog {
    fn write(&mut self, commit: &Commit) -> Result<CommitResult> {
        if let Some(archive) = &commit.sealed {
            self.segments.push(serde_json::to_vec(&archive.segment)?);
        }
        self.version += 1;
        self.head = serde_json::to_vec(&commit.head)?;
        self.largest_head_len = self.largest_head_len.max(self.head.len());
        Ok(CommitResult::Written(self.version))
    }

    /// Reads the head, and the segments if `includes_segments` is set.
    fn read(&self, includes_segments: bool) -> Result<RangeSnapshot> {
        let parse = |value: &Vec<u8>| serde_json::from_slice::<Segment>(value);
        let segments = self.segments.iter().filter(|_| includes_segments);
        Ok(RangeSnapshot {
            version: Some(self.version),
            head: serde_json::from_slice::<Head>(&self.head)?,
            segments: segments.map(parse).collect::<Result<_, _>>()?,
        })
    }

    fn bytes(&self) -> usize {
        self.head.len() + self.segments.iter().map(Vec::len).sum::<usize>()
    }
}

/// A range owner with the members and the simulated time that it is called with.
struct OwnerHarness {
    owner: RangeOwner<()>,
    members: Members,
    /// Simulated time, in milliseconds.
    now: u64,
}

impl OwnerHarness {
    fn new(node: &str) -> Result<Self> {
        Ok(Self {
            owner: RangeOwner::new(NodeId::new(node)?, Incarnation(1), 0),
            members: Members::default(),
            now: 1_000_000,
        })
    }

    fn with_view<T>(&mut self, apply: impl FnOnce(&mut RangeOwner<()>, &OwnerView<'_>) -> T) -> T {
        let view = OwnerView {
            now: Timestamp(self.now),
            retention: RETENTION,
            members: &self.members,
            owned_since: Some(Timestamp::default()),
        };
        apply(&mut self.owner, &view)
    }

    fn commit(&mut self, log: &mut StoredLog) -> Result<()> {
        self.now += COMMIT_INTERVAL_MS;
        if let Some(RangeStep::Commit(commit)) = self.with_view(|owner, cx| owner.next_step(cx)) {
            let result = log.write(&commit)?;
            self.with_view(|owner, cx| owner.handle_commit_result(result, cx));
        }
        Ok(())
    }
}

fn claim(number: u64) -> Result<Claim> {
    Ok(Claim {
        key_hash: key_hash(&format!("order-{number}")),
        request_digest: Digest::of(&number.to_le_bytes()),
        executor: NodeId::new("orders-eu-west-1-0042")?,
        incarnation: Incarnation(1_796_300_000_000),
        attempt: number,
    })
}

fn outcome(claim: &Claim) -> OutcomeRecord {
    OutcomeRecord {
        key_hash: claim.key_hash,
        executor: claim.executor.clone(),
        incarnation: claim.incarnation,
        attempt: claim.attempt,
        outcome: Some(RecordedOutcome {
            status: 201,
            body_digest: claim.request_digest,
        }),
    }
}

/// Fills the log of a range and measures a second owner that takes it over.
pub(crate) fn measure(claims: u64) -> Result<StateRow> {
    let mut log = StoredLog::default();
    let before = resident_bytes()?;
    let filler = fill_log(&mut log, claims)?;
    // Resident memory besides the stored values is the owner's state, including memory that the
    // allocator has not returned.
    let memory = resident_bytes()?.saturating_sub(before + log.bytes() as u64);
    drop(filler);
    let mut successor = OwnerHarness::new("taker")?;
    successor.now += claims;
    successor.with_view(|owner, cx| owner.next_step(cx));
    let start = Instant::now();
    let snapshot = log.read(true)?;
    let parse_ms = start.elapsed().as_secs_f64() * 1000.0;
    successor.with_view(|owner, cx| owner.handle_load_result(Some(snapshot), cx));
    let take_over_ms = start.elapsed().as_secs_f64() * 1000.0;
    if successor.owner.claim_count() as u64 != claims {
        bail!(
            "{} of {claims} claims were loaded",
            successor.owner.claim_count()
        );
    }
    let conflict_ms = measure_conflict_merge(&mut successor, &log)?;
    Ok(StateRow {
        claims,
        memory_bytes_per_claim: memory as f64 / claims as f64,
        stored_bytes_per_claim: log.bytes() as f64 / claims as f64,
        segments: log.segments.len(),
        largest_head_bytes: log.largest_head_len,
        take_over_ms,
        parse_ms,
        conflict_ms,
    })
}

fn fill_log(log: &mut StoredLog, claims: u64) -> Result<OwnerHarness> {
    let mut filler = OwnerHarness::new("filler")?;
    filler.with_view(|owner, cx| owner.next_step(cx));
    filler.with_view(|owner, cx| owner.handle_load_result(Some(RangeSnapshot::default()), cx));
    for start in (0..claims).step_by(CLAIMS_PER_COMMIT as usize) {
        let batch = (start..claims.min(start + CLAIMS_PER_COMMIT)).map(claim);
        let batch = batch.collect::<Result<Vec<Claim>>>()?;
        for claim in &batch {
            filler.with_view(|owner, cx| owner.claim(claim.clone(), (), cx));
        }
        filler.commit(log)?;
        for claim in &batch {
            filler.with_view(|owner, cx| owner.record_outcome(&outcome(claim), cx));
        }
        filler.owner.take_verdicts();
    }
    filler.commit(log)?;
    Ok(filler)
}

/// Returns the time in which the owner reads the head again and merges it after a conflict, in
/// milliseconds.
fn measure_conflict_merge(harness: &mut OwnerHarness, log: &StoredLog) -> Result<f64> {
    let claim_in_conflict = claim(u64::MAX)?;
    harness.with_view(|owner, cx| owner.claim(claim_in_conflict, (), cx));
    harness.now += COMMIT_INTERVAL_MS;
    harness.with_view(|owner, cx| owner.next_step(cx));
    harness.with_view(|owner, cx| owner.handle_commit_result(CommitResult::Conflict, cx));
    harness.now += COMMIT_INTERVAL_MS;
    harness.with_view(|owner, cx| owner.next_step(cx));
    let start = Instant::now();
    let snapshot = log.read(false)?;
    harness.with_view(|owner, cx| owner.handle_load_result(Some(snapshot), cx));
    Ok(start.elapsed().as_secs_f64() * 1000.0)
}

/// Returns the resident memory of this process.
fn resident_bytes() -> Result<u64> {
    let statm = fs::read_to_string("/proc/self/statm")?;
    let pages: u64 = statm
        .split(' ')
        .nth(1)
        .ok_or_eyre("no resident size in /proc/self/statm")?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}
