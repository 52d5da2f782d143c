//! What an executor knows of the orders that it has begun.

use std::collections::{HashMap, VecDeque};

use lavenderhatch_core::call::CallResponse;
use lavenderhatch_core::{Digest, Error, ErrorKind, Incarnation, NodeId};

use super::answer::{recorded_answer, recorded_header};
use super::order_key::KeyForm;
use super::started_keys::StartedKeys;
use crate::message::{Claim, OutcomeRecord, RecordedOutcome};

/// Finished orders that are remembered. Older issued keys are answered `unknown`; for older chosen
/// keys the log decides.
const MAX_FINISHED: usize = 20_000;
/// Largest body of an answer that is kept, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of all bodies that are kept.
const MAX_BODIES_BYTES: usize = 4 * 1024 * 1024;

/// What to do with an order that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
    /// The order may run at once.
    Run,
    /// The key must be claimed for the attempt, which runs only on a grant.
    Claim,
    /// The order does not run on behalf of this call.
    Answer(Box<Result<CallResponse, Error>>),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The back end gave this answer.
    Ran(CallResponse),
    /// The back end got no byte of the order, and will not get any from this attempt.
    NotRun,
    /// The claim was refused, so that there is nothing to release.
    NotClaimed,
    /// The back end may have run the order.
    Unknown,
}

#[derive(Clone, Debug)]
enum State {
    Running,
    Ran {
        outcome: RecordedOutcome,
        answer: Option<Box<CallResponse>>,
    },
    Unknown,
}

#[derive(Clone, Debug)]
struct Execution {
    form: KeyForm,
    request: Digest,
    attempt: u64,
    state: State,
}

/// Orders that one incarnation of one daemon has begun.
///
/// Invariant: an issued key is begun at most once, whether or not its entry is still there.
#[derive(Clone, Debug)]
pub struct ExecutionTable {
    own: NodeId,
    incarnation: Incarnation,
    started: StartedKeys,
    entries: HashMap<Digest, Execution>,
    /// Finished orders, oldest first. Entries that were replaced meanwhile are skipped.
    finished: VecDeque<(Digest, u64)>,
    /// Orders whose bodies are kept, oldest first.
    with_body: VecDeque<(Digest, u64)>,
    bodies_bytes: usize,
}

impl ExecutionTable {
    /// The empty table of a daemon that has just started.
    pub fn new(own: NodeId, incarnation: Incarnation) -> Self {
        Self {
            own,
            incarnation,
            started: StartedKeys::default(),
            entries: HashMap::new(),
            finished: VecDeque::new(),
            with_body: VecDeque::new(),
            bodies_bytes: 0,
        }
    }

    /// Takes an order that has arrived. `attempt` must be greater than each one before, and
    /// `issued` is the number of keys issued so far.
    pub fn begin(
        &mut self,
        key: Digest,
        request: Digest,
        form: KeyForm,
        attempt: u64,
        issued: u64,
    ) -> Begin {
        if let Some(present) = self.entries.get(&key) {
            return Begin::Answer(Box::new(present.answer(&request)));
        }
        if let KeyForm::Issued(seq) = form
            && let Err(err) = self.start_issued(seq, issued)
        {
            return Begin::Answer(Box::new(Err(err)));
        }
        let execution = Execution {
            form,
            request,
            attempt,
            state: State::Running,
        };
        self.entries.insert(key, execution);
        match form {
            KeyForm::Issued(_) => Begin::Run,
            KeyForm::Chosen => Begin::Claim,
        }
    }

    fn start_issued(&mut self, seq: u64, issued: u64) -> Result<(), Error> {
        if seq >= issued {
            let message = "this daemon has not issued the key";
            return Err(Error::new(ErrorKind::BadRequest, message));
        }
        match self.started.start(seq) {
            true => Ok(()),
            false => Err(Error::new(
                ErrorKind::OutcomeUnknown,
                "the key was used before, and its outcome is not kept any more",
            )),
        }
    }

    /// The claim of an attempt.
    pub fn claim(&self, key: Digest, request: Digest, attempt: u64) -> Claim {
        Claim {
            key_hash: key,
            request_digest: request,
            executor: self.own.clone(),
            incarnation: self.incarnation,
            attempt,
        }
    }

    /// Records how an attempt ended. Returns what the owner of the key's range is told, if anything.
    pub fn finish(&mut self, key: Digest, attempt: u64, end: OrderEnd) -> Option<OutcomeRecord> {
        let present = self.entries.get(&key)?;
        let is_running = matches!(present.state, State::Running);
        if present.attempt != attempt || !is_running {
            return None;
        }
        let form = present.form;
        let outcome = match end {
            OrderEnd::NotRun | OrderEnd::NotClaimed => {
                self.entries.remove(&key);
                if let KeyForm::Issued(seq) = form {
                    self.started.release(seq);
                }
                (end == OrderEnd::NotRun).then_some(None)?
            }
            OrderEnd::Unknown => {
                self.set(key, attempt, State::Unknown);
                return None;
            }
            OrderEnd::Ran(answer) => Some(self.keep(key, attempt, answer)),
        };
        (form == KeyForm::Chosen).then(|| OutcomeRecord {
            key_hash: key,
            executor: self.own.clone(),
            incarnation: self.incarnation,
            attempt,
            outcome,
        })
    }

    fn keep(&mut self, key: Digest, attempt: u64, answer: CallResponse) -> RecordedOutcome {
        let outcome = RecordedOutcome {
            status: answer.status,
            body_digest: Digest::of(&answer.body),
        };
        let is_kept = answer.body.len() <= MAX_BODY_BYTES;
        if is_kept {
            self.bodies_bytes += answer.body.len();
            self.with_body.push_back((key, attempt));
        }
        let answer = is_kept.then(|| Box::new(answer));
        self.set(key, attempt, State::Ran { outcome, answer });
        outcome
    }

    fn set(&mut self, key: Digest, attempt: u64, state: State) {
        if let Some(execution) = self.entries.get_mut(&key) {
            execution.state = state;
        }
        self.finished.push_back((key, attempt));
        while self.bodies_bytes > MAX_BODIES_BYTES {
            let Some((key, attempt)) = self.with_body.pop_front() else {
                break;
            };
            self.drop_body(&key, attempt);
        }
        while self.finished.len() > MAX_FINISHED {
            let Some((key, attempt)) = self.finished.pop_front() else {
                break;
            };
            self.drop_body(&key, attempt);
            if self.of_attempt(&key, attempt).is_some() {
                self.entries.remove(&key);
            }
        }
    }

    fn of_attempt(&mut self, key: &Digest, attempt: u64) -> Option<&mut Execution> {
        let execution = self.entries.get_mut(key);
        execution.filter(|execution| execution.attempt == attempt)
    }

    fn drop_body(&mut self, key: &Digest, attempt: u64) {
        let execution = self.of_attempt(key, attempt);
        let Some(State::Ran { answer, .. }) = execution.map(|execution| &mut execution.state)
        else {
            return;
        };
        if let Some(answer) = answer.take() {
            self.bodies_bytes -= answer.body.len();
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
            State::Running => Err(Error::new(
                ErrorKind::KeyInFlight,
                "an order with this key is running",
            )),
            State::Unknown => Err(Error::new(
                ErrorKind::OutcomeUnknown,
                "the back end did not answer when an order with this key ran",
            )),
            State::Ran {
                outcome,
                answer: None,
            } => Ok(recorded_answer(outcome)),
            State::Ran {
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
