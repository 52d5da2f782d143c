//! Orders that a daemon has accepted for execution, and their results.

use std::collections::{HashMap, VecDeque};

use lavenderhatch_core::call::CallResponse;
use lavenderhatch_core::{Digest, Error, ErrorKind, Incarnation, NodeId};

use super::answer::{recorded_answer, recorded_header};
use super::order_key::KeyOrigin;
use super::used_keys::UsedKeys;
use crate::message::{Claim, OutcomeRecord, RecordedOutcome};

/// Number of finished orders that are kept. Older issued keys are answered with `unknown`; for
/// older keys chosen by callers the log decides.
const MAX_FINISHED_ORDERS: usize = 20_000;
/// Largest body that is kept with its answer, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Total size of all bodies that are kept, in bytes.
const MAX_TOTAL_BODY_BYTES: usize = 4 * 1024 * 1024;

/// What to do with an order that has arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BeginResult {
    /// The order may run immediately.
    Run,
    /// The key has to be claimed first. The order runs only if the claim is granted.
    Claim,
    /// The order must not run for this call, which gets this answer.
    Answer(Box<Result<CallResponse, Error>>),
}

/// How an attempt to run an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The back end ran the order and gave this answer.
    Ran(CallResponse),
    /// The back end got no byte of the order and will get none from this attempt.
    NotRun,
    /// The claim was refused, so there is no claim to release.
    NotClaimed,
    /// The back end may have run the order.
    Unknown,
}

#[derive(Clone, Debug)]
enum ExecutionState {
    Running,
    Ran {
        outcome: RecordedOutcome,
        answer: Option<Box<CallResponse>>,
    },
    Unknown,
}

#[derive(Clone, Debug)]
struct Execution {
    origin: KeyOrigin,
    request: Digest,
    attempt: u64,
    state: ExecutionState,
}

/// Orders that one incarnation of a daemon has accepted.
///
/// Invariant: the order of an issued key runs at most once, even after its entry was evicted.
#[derive(Clone, Debug)]
pub struct ExecutionTable {
    node: NodeId,
    incarnation: Incarnation,
    used_keys: UsedKeys,
    entries: HashMap<Digest, Execution>,
    /// Keys and attempts of finished orders, oldest first. May name entries that a later attempt
    /// has replaced; those are skipped on eviction.
    finished: VecDeque<(Digest, u64)>,
    /// Keys and attempts of orders whose bodies are kept, oldest first.
    with_body: VecDeque<(Digest, u64)>,
    total_body_bytes: usize,
}

impl ExecutionTable {
    /// Creates the empty table of a daemon that has just started.
    pub fn new(node: NodeId, incarnation: Incarnation) -> Self {
        Self {
            node,
            incarnation,
            used_keys: UsedKeys::default(),
            entries: HashMap::new(),
            finished: VecDeque::new(),
            with_body: VecDeque::new(),
            total_body_bytes: 0,
        }
    }

    /// Decides on an order that has arrived.
    ///
    /// `attempt` must be greater than that of any earlier call, and `issued` is the number of keys
    /// that this incarnation has issued so far.
    pub fn begin(
        &mut self,
        key: Digest,
        request: Digest,
        origin: KeyOrigin,
        attempt: u64,
        issued: u64,
    ) -> BeginResult {
        if let Some(present) = self.entries.get(&key) {
            return BeginResult::Answer(Box::new(present.answer(&request)));
        }
        if let KeyOrigin::Issued(seq) = origin
            && let Err(err) = self.use_issued_key(seq, issued)
        {
            return BeginResult::Answer(Box::new(Err(err)));
        }
        let execution = Execution {
            origin,
            request,
            attempt,
            state: ExecutionState::Running,
        };
        self.entries.insert(key, execution);
        match origin {
            KeyOrigin::Issued(_) => BeginResult::Run,
            KeyOrigin::CallerChosen => BeginResult::Claim,
        }
    }

    fn use_issued_key(&mut self, seq: u64, issued: u64) -> Result<(), Error> {
        if seq >= issued {
            let message = "this daemon has not issued the key";
            return Err(Error::new(ErrorKind::BadRequest, message));
        }
        match self.used_keys.mark_used(seq) {
            true => Ok(()),
            false => Err(Error::new(
                ErrorKind::OutcomeUnknown,
                "the key was used before, and its outcome is not kept any more",
            )),
        }
    }

    /// The claim message for an attempt.
    pub fn claim(&self, key: Digest, request: Digest, attempt: u64) -> Claim {
        Claim {
            key_hash: key,
            request_digest: request,
            executor: self.node.clone(),
            incarnation: self.incarnation,
            attempt,
        }
    }

    /// Records how an attempt ended.
    ///
    /// Returns the report to send to the owner of the key's range, if the owner needs one.
    pub fn finish(
        &mut self,
        key: Digest,
        attempt: u64,
        result: AttemptResult,
    ) -> Option<OutcomeRecord> {
        let present = self.entries.get(&key)?;
        let is_running = matches!(present.state, ExecutionState::Running);
        if present.attempt != attempt || !is_running {
            return None;
        }
        let origin = present.origin;
        let outcome = match result {
            AttemptResult::NotRun | AttemptResult::NotClaimed => {
                self.entries.remove(&key);
                if let KeyOrigin::Issued(seq) = origin {
                    self.used_keys.mark_unused(seq);
                }
                (result == AttemptResult::NotRun).then_some(None)?
            }
            AttemptResult::Unknown => {
                self.set_finished(key, attempt, ExecutionState::Unknown);
                return None;
            }
            AttemptResult::Ran(answer) => Some(self.store_answer(key, attempt, answer)),
        };
        (origin == KeyOrigin::CallerChosen).then(|| OutcomeRecord {
            key_hash: key,
            executor: self.node.clone(),
            incarnation: self.incarnation,
            attempt,
            outcome,
        })
    }

    fn store_answer(&mut self, key: Digest, attempt: u64, answer: CallResponse) -> RecordedOutcome {
        let outcome = RecordedOutcome {
            status: answer.status,
            body_digest: Digest::of(&answer.body),
        };
        let is_kept = answer.body.len() <= MAX_BODY_BYTES;
        if is_kept {
            self.total_body_bytes += answer.body.len();
            self.with_body.push_back((key, attempt));
        }
        let answer = is_kept.then(|| Box::new(answer));
        self.set_finished(key, attempt, ExecutionState::Ran { outcome, answer });
        outcome
    }

    fn set_finished(&mut self, key: Digest, attempt: u64, state: ExecutionState) {
        if let Some(execution) = self.entries.get_mut(&key) {
            execution.state = state;
        }
        self.finished.push_back((key, attempt));
        while self.total_body_bytes > MAX_TOTAL_BODY_BYTES {
            let Some((key, attempt)) = self.with_body.pop_front() else {
                break;
            };
            self.evict_body(&key, attempt);
        }
        while self.finished.len() > MAX_FINISHED_ORDERS {
            let Some((key, attempt)) = self.finished.pop_front() else {
                break;
            };
            self.evict_body(&key, attempt);
            if self.entry_of_attempt(&key, attempt).is_some() {
                self.entries.remove(&key);
            }
        }
    }

    fn entry_of_attempt(&mut self, key: &Digest, attempt: u64) -> Option<&mut Execution> {
        let execution = self.entries.get_mut(key);
        execution.filter(|execution| execution.attempt == attempt)
    }

    fn evict_body(&mut self, key: &Digest, attempt: u64) {
        let execution = self.entry_of_attempt(key, attempt);
        let Some(ExecutionState::Ran { answer, .. }) =
            execution.map(|execution| &mut execution.state)
        else {
            return;
        };
        if let Some(answer) = answer.take() {
            self.total_body_bytes -= answer.body.len();
        }
    }
}

impl Execution {
    fn answer(&self, request: &Digest) -> Result<CallResponse, Error> {
        if self.request != *request {
            let message = "this key was used with another request";
            return Err(Error::new(ErrorKind::KeyConflict, message));
        }
        match &self.state {
            ExecutionState::Running => Err(Error::new(
                ErrorKind::KeyInFlight,
                "an order with this key is running",
            )),
            ExecutionState::Unknown => Err(Error::new(
                ErrorKind::OutcomeUnknown,
                "the back end did not answer when an order with this key ran",
            )),
            ExecutionState::Ran {
                outcome,
                answer: None,
            } => Ok(recorded_answer(outcome)),
            ExecutionState::Ran {
                answer: Some(answer),
                ..
            } => {
                let mut answer = CallResponse::clone(answer);
                answer.headers.push(recorded_header("whole"));
                Ok(answer)
            }
        }
    }
}
