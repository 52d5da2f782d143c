//! Events and entities of the simulation.

use std::collections::HashMap;

use lavenderhatch_core::Digest;
use lavenderhatch_core::call::CallResponse;
use lavenderhatch_core::error_kind::Outcome;
use lavenderhatch_decide::message::{Claim, ClaimVerdict, OutcomeRecord, RecordedOutcome};
use lavenderhatch_decide::orders::{
    CommitResult, ExecutionTable, RangeSnapshot, RangeStep, recorded_answer,
};

use super::owner_under_test::OwnerUnderTest;

/// Identifies a waiter for a verdict by the number of its node, the incarnation and the attempt.
pub(super) type Waiter = (usize, u64, u64);

/// An event of the simulation. The numbers identify nodes, calls and incarnations, or are times.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Call(usize, usize),
    Claim(usize, Claim, Waiter),
    Record(usize, OutcomeRecord),
    Wake(usize),
    IoDone(usize, u64, IoResult),
    Verdict(Waiter, ClaimVerdict),
    GiveUp(Waiter),
    RunEnds(Waiter),
    ReachPlatform(Box<(usize, u64, RangeStep, bool)>),
    Crash(usize),
    Pause(usize, u64),
    Outage(bool),
}

#[derive(Clone, Debug)]
pub(super) enum IoResult {
    Loaded(Option<RangeSnapshot>),
    Committed(CommitResult),
}

pub(super) struct Node {
    pub(super) incarnation: u64,
    pub(super) table: ExecutionTable,
    pub(super) owner: OwnerUnderTest<Waiter>,
    pub(super) next_attempt: u64,
    /// Calls that wait for a verdict, by attempt.
    pub(super) waiting: HashMap<u64, usize>,
    /// Calls that a back end runs, by attempt.
    pub(super) running: HashMap<u64, usize>,
    pub(super) paused_until: u64,
}

pub(super) struct Call {
    pub(super) key: u64,
    pub(super) request: Digest,
    pub(super) attempt: Option<Waiter>,
    pub(super) has_run: bool,
    pub(super) reported: Option<Outcome>,
}

/// Result of a simulated run.
pub(super) struct Report {
    pub(super) faults: Vec<String>,
    pub(super) keys: usize,
    pub(super) keys_run: usize,
}

/// The node that handles an event and delays it while it is paused.
pub(super) fn target(event: &Event) -> Option<usize> {
    match event {
        Event::Call(_, node) | Event::Claim(node, ..) | Event::Record(node, _) => Some(*node),
        Event::IoDone(node, ..) | Event::Wake(node) => Some(*node),
        Event::Verdict(waiter, _) | Event::GiveUp(waiter) => Some(waiter.0),
        _ => None,
    }
}

/// The answer of the back end to the order of a key.
pub(super) fn answer_of(key: u64) -> CallResponse {
    let mut answer = recorded_answer(&RecordedOutcome {
        status: 200 + key as u16,
        body_digest: Digest::of(b""),
    });
    answer.headers.clear();
    answer
}
