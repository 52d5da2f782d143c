//! The specification of the core protocol, in four parts.
//!
//! Each part is a state machine. Messages stay in flight once they are sent, so that each may
//! arrive late, twice, out of order, or never. A [`Fault`] seeds a mistake into one rule, which the
//! checker has to find.

use std::collections::BTreeSet;

use crate::checker::Model;

/// A mistake seeded into one rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The platform ignores the conditions of writes.
    UnconditionalWrite,
    /// An operator whose answer was lost writes a new version without reading back.
    WriteAgainAfterLostAnswer,
    /// A daemon applies every version that arrives.
    ApplyAnyVersion,
    /// A starting daemon does not ask its peers which version it held before.
    JoinWithoutFloor,
    /// The owner of a claim range grants before its write is confirmed.
    GrantBeforeCommit,
    /// An executor runs an order on a late grant, although it has already given up the call.
    RunWithoutWaitingCall,
    /// A leaving server takes new work from peers.
    TakeWorkWhileLeaving,
    /// A leaving server ends at its deadline, even with work in flight.
    EndWithWorkInFlight,
    /// A leaving server ends as soon as nothing is in flight, even if its peers do not yet know
    /// that it is leaving.
    EndBeforePeersKnow,
}

// Acceptance: two operators propose one set of files each, by a conditional write of the root
// object.

/// State of an operator's proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Proposal {
    Idle,
    /// The proposal is based on this version of the root object.
    Based(usize),
    /// The answer to the write was lost. The number is the base version.
    AnswerLost(usize),
    Accepted(usize),
    Conflict,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AcceptanceState {
    /// Operator who wrote each version, oldest first. The last entry is that of the root object.
    history: Vec<usize>,
    /// Number of versions that were replaced by a writer that had not read them.
    overwritten: usize,
    operators: [Proposal; 2],
    /// Writes with a lost answer that may still arrive, as operator and base version.
    stray_writes: BTreeSet<(usize, usize)>,
}

pub(crate) struct AcceptanceModel {
    pub(crate) fault: Fault,
}

impl AcceptanceModel {
    /// A write arrives at the platform, possibly long after it was sent.
    fn arrive(&self, state: &AcceptanceState, operator: usize, base: usize) -> AcceptanceState {
        let mut next = state.clone();
        let version = state.history.len();
        if base == version || self.fault == Fault::UnconditionalWrite {
            next.overwritten += version - base;
            next.history.push(operator);
        }
        next
    }

    fn write(&self, state: &AcceptanceState, operator: usize, base: usize) -> Vec<AcceptanceState> {
        let arrived = self.arrive(state, operator, base);
        let is_written = arrived.history.len() > state.history.len();
        let answer = match is_written {
            true => Proposal::Accepted(arrived.history.len()),
            // An earlier write of the same operator may have caused the conflict, so it reads back.
            false => Proposal::AnswerLost(base),
        };
        let mut lost = with_operator(state, operator, Proposal::AnswerLost(base));
        lost.stray_writes.insert((operator, base));
        vec![
            with_operator(&arrived, operator, answer),
            with_operator(&arrived, operator, Proposal::AnswerLost(base)),
            lost,
        ]
    }

    fn read_back(&self, state: &AcceptanceState, operator: usize, base: usize) -> Proposal {
        if self.fault == Fault::WriteAgainAfterLostAnswer {
            return Proposal::Based(state.history.len());
        }
        match state.history.last() {
            Some(writer) if *writer == operator => Proposal::Accepted(state.history.len()),
            _ if state.history.len() == base => Proposal::Based(base),
            _ => Proposal::Conflict,
        }
    }
}

fn with_operator(state: &AcceptanceState, at: usize, proposal: Proposal) -> AcceptanceState {
    let mut next = state.clone();
    next.operators[at] = proposal;
    next
}

impl Model for AcceptanceModel {
    type State = AcceptanceState;

    fn initial(&self) -> AcceptanceState {
        AcceptanceState {
            history: Vec::new(),
            overwritten: 0,
            operators: [Proposal::Idle; 2],
            stray_writes: BTreeSet::new(),
        }
    }

    fn next(&self, state: &AcceptanceState) -> Vec<AcceptanceState> {
        let mut next = Vec::new();
        for (at, proposal) in state.operators.iter().enumerate() {
            match *proposal {
                Proposal::Idle => {
                    next.push(with_operator(
                        state,
                        at,
                        Proposal::Based(state.history.len()),
                    ));
                }
                Proposal::Based(base) => next.extend(self.write(state, at, base)),
                Proposal::AnswerLost(base) => {
                    next.push(with_operator(state, at, self.read_back(state, at, base)));
                }
                Proposal::Accepted(_) | Proposal::Conflict => {}
            }
        }
        for (operator, base) in &state.stray_writes {
            let mut arrived = self.arrive(state, *operator, *base);
            arrived.stray_writes.remove(&(*operator, *base));
            next.push(arrived);
        }
        next.retain(|state| state.history.len() <= 3);
        next
    }

    fn violation(&self, state: &AcceptanceState) -> Option<&'static str> {
        let writes = |at: usize| state.history.iter().filter(|writer| **writer == at).count();
        if state.overwritten > 0 {
            return Some("two proposals were accepted as the same version");
        }
        if (0..2).any(|at| writes(at) > 1) {
            return Some("one proposal was accepted as two versions");
        }
        let is_wrong = |(at, proposal): (usize, &Proposal)| match proposal {
            Proposal::Accepted(version) => state.history.get(version - 1) != Some(&at),
            _ => false,
        };
        if state.operators.iter().enumerate().any(is_wrong) {
            return Some("an operator was given a version that is not its own");
        }
        None
    }
}

// Distribution: the root object gets new versions, and daemons read it or pull from each other. One
// daemon restarts.

const DAEMONS: usize = 3;
const LAST_VERSION: u8 = 2;
/// The daemon that restarts. It does not read the platform.
const RESTARTING: usize = 1;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DistributionState {
    root: u8,
    /// Version in force on each daemon; zero for none.
    held: [u8; DAEMONS],
    /// Lowest version that each daemon may apply.
    floor: [u8; DAEMONS],
    /// Whether each daemon has obtained its floor since its start.
    has_joined: [bool; DAEMONS],
    /// Highest version that one daemon knows another one to have held: `highest_held[observer][member]`.
    highest_held: [[u8; DAEMONS]; DAEMONS],
    /// Updates in flight, as receiver and version.
    updates: BTreeSet<(usize, u8)>,
    restarts: u8,
    has_reverted: bool,
}

pub(crate) struct DistributionModel {
    pub(crate) fault: Fault,
}

impl DistributionModel {
    /// A version arrives at a daemon.
    fn apply(&self, state: &DistributionState, at: usize, version: u8) -> DistributionState {
        let mut next = state.clone();
        let is_applicable = version > state.held[at] && version >= state.floor[at];
        let may_apply = is_applicable && state.has_joined[at];
        if may_apply || self.fault == Fault::ApplyAnyVersion {
            let known = (0..DAEMONS)
                .map(|peer| state.highest_held[peer][at])
                .max()
                .unwrap_or(0);
            next.has_reverted |= version < state.held[at] || version < known;
            next.held[at] = version;
        }
        next
    }

    /// A starting daemon obtains its floor from the platform, or from all peers it is linked to.
    fn join(&self, state: &DistributionState, at: usize) -> DistributionState {
        let mut next = state.clone();
        next.has_joined[at] = true;
        if self.fault != Fault::JoinWithoutFloor {
            let known = (0..DAEMONS)
                .map(|peer| state.highest_held[peer][at])
                .max()
                .unwrap_or(0);
            next.floor[at] = known;
        }
        next
    }

    fn restart(&self, state: &DistributionState, at: usize) -> DistributionState {
        let mut next = state.clone();
        next.held[at] = 0;
        next.floor[at] = 0;
        next.has_joined[at] = false;
        next.highest_held[at] = [0; DAEMONS];
        next.restarts += 1;
        next
    }
}

impl Model for DistributionModel {
    type State = DistributionState;

    fn initial(&self) -> DistributionState {
        DistributionState {
            root: 1,
            held: [0; DAEMONS],
            floor: [0; DAEMONS],
            has_joined: [true; DAEMONS],
            highest_held: [[0; DAEMONS]; DAEMONS],
            updates: BTreeSet::new(),
            restarts: 0,
            has_reverted: false,
        }
    }

    fn next(&self, state: &DistributionState) -> Vec<DistributionState> {
        let mut next = Vec::new();
        if state.root < LAST_VERSION {
            next.push(DistributionState {
                root: state.root + 1,
                ..state.clone()
            });
        }
        // Only the first daemon reads the platform.
        next.push(self.apply(state, 0, state.root));
        for at in 0..DAEMONS {
            if !state.has_joined[at] {
                next.push(self.join(state, at));
            }
            // One restart of one daemon is enough, because all daemons follow the same rules.
            if at == RESTARTING && state.restarts < 1 {
                next.push(self.restart(state, at));
            }
            for peer in (0..DAEMONS).filter(|peer| *peer != at) {
                let mut heartbeat = state.clone();
                heartbeat.highest_held[peer][at] =
                    heartbeat.highest_held[peer][at].max(state.held[at]);
                next.push(heartbeat);
                if state.held[peer] > 0 {
                    let mut pulled = state.clone();
                    pulled.updates.insert((at, state.held[peer]));
                    next.push(pulled);
                }
            }
        }
        for (at, version) in &state.updates {
            next.push(self.apply(state, *at, *version));
        }
        next
    }

    fn violation(&self, state: &DistributionState) -> Option<&'static str> {
        state
            .has_reverted
            .then_some("a daemon applied an older version than one it has held")
    }
}

// Claims: one order with one key arrives at two executors, and two daemons both act as the owner.

/// State of a call at an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Call {
    Idle,
    Waiting,
    Ran,
    ReportedNotRun,
}

/// State of an owner, and the executor that it serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum Owner {
    Idle,
    /// A write that expects version `base` is in flight.
    Writing {
        executor: usize,
        base: u8,
    },
    /// The answer to the write was lost.
    AnswerLost {
        executor: usize,
        base: u8,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ClaimState {
    object_version: u8,
    /// Executor named by the claim in the platform.
    claim: Option<usize>,
    owners: [Owner; 2],
    /// The object version and claim that each owner read last.
    last_reads: [(u8, Option<usize>); 2],
    calls: [Call; 2],
    runs: [u8; 2],
    requests: BTreeSet<usize>,
    grants: BTreeSet<usize>,
    refusals: BTreeSet<usize>,
    /// Writes with a lost answer that may still arrive, as executor and base version.
    stray_writes: BTreeSet<(usize, u8)>,
}

pub(crate) struct ClaimModel {
    pub(crate) fault: Fault,
}

impl ClaimModel {
    fn write(&self, state: &mut ClaimState, executor: usize, base: u8) -> bool {
        let is_free = state.object_version == base || self.fault == Fault::UnconditionalWrite;
        if is_free {
            state.object_version += 1;
            state.claim = Some(executor);
        }
        is_free
    }

    fn owner_steps(&self, state: &ClaimState, at: usize, next: &mut Vec<ClaimState>) {
        match state.owners[at] {
            Owner::Idle => self.take_request(state, at, next),
            Owner::Writing { executor, base } => {
                let mut answered = state.clone();
                answered.owners[at] = Owner::Idle;
                if self.write(&mut answered, executor, base) {
                    answered.last_reads[at] = (answered.object_version, answered.claim);
                    answered.grants.insert(executor);
                } else {
                    answered.last_reads[at] = (answered.object_version, answered.claim);
                    answered.requests.insert(executor);
                }
                next.push(answered);
                let mut lost = state.clone();
                lost.owners[at] = Owner::AnswerLost { executor, base };
                lost.stray_writes.insert((executor, base));
                next.push(lost);
                // The platform is down, and the write will never take effect.
                let mut refused = state.clone();
                refused.owners[at] = Owner::Idle;
                refused.refusals.insert(executor);
                next.push(refused);
            }
            Owner::AnswerLost { executor, base } => {
                let mut read = state.clone();
                read.owners[at] = Owner::Idle;
                read.last_reads[at] = (read.object_version, read.claim);
                match read.claim {
                    Some(claimed) if claimed == executor && read.object_version > base => {
                        read.grants.insert(executor);
                    }
                    Some(_) => {}
                    None => {
                        read.requests.insert(executor);
                    }
                }
                next.push(read);
            }
        }
    }

    fn take_request(&self, state: &ClaimState, at: usize, next: &mut Vec<ClaimState>) {
        let (base, cached) = state.last_reads[at];
        if cached.is_some() {
            return;
        }
        for executor in &state.requests {
            let mut writing = state.clone();
            writing.owners[at] = Owner::Writing {
                executor: *executor,
                base,
            };
            if self.fault == Fault::GrantBeforeCommit {
                writing.grants.insert(*executor);
            }
            next.push(writing);
        }
    }

    fn executor_steps(&self, state: &ClaimState, at: usize, next: &mut Vec<ClaimState>) {
        let set = |call: Call| {
            let mut after = state.clone();
            after.calls[at] = call;
            after
        };
        match state.calls[at] {
            Call::Idle => {
                let mut after = set(Call::Waiting);
                after.requests.insert(at);
                next.push(after);
            }
            Call::Waiting => {
                // The deadline of the call has passed. It has not run, and a late grant must not
                // run it.
                next.push(set(Call::ReportedNotRun));
                if state.refusals.contains(&at) {
                    next.push(set(Call::ReportedNotRun));
                }
            }
            _ => {}
        }
        let may_run = match state.calls[at] {
            Call::Waiting => true,
            Call::ReportedNotRun => self.fault == Fault::RunWithoutWaitingCall,
            _ => false,
        };
        if may_run && state.grants.contains(&at) {
            let call = if state.calls[at] == Call::Waiting {
                Call::Ran
            } else {
                state.calls[at]
            };
            let mut after = set(call);
            after.runs[at] += 1;
            next.push(after);
        }
    }
}

impl Model for ClaimModel {
    type State = ClaimState;

    fn initial(&self) -> ClaimState {
        ClaimState {
            object_version: 0,
            claim: None,
            owners: [Owner::Idle; 2],
            last_reads: [(0, None); 2],
            calls: [Call::Idle; 2],
            runs: [0; 2],
            requests: BTreeSet::new(),
            grants: BTreeSet::new(),
            refusals: BTreeSet::new(),
            stray_writes: BTreeSet::new(),
        }
    }

    fn next(&self, state: &ClaimState) -> Vec<ClaimState> {
        let mut next = Vec::new();
        for at in 0..2 {
            self.owner_steps(state, at, &mut next);
            self.executor_steps(state, at, &mut next);
        }
        for (executor, base) in &state.stray_writes {
            let mut arrived = state.clone();
            arrived.stray_writes.remove(&(*executor, *base));
            self.write(&mut arrived, *executor, *base);
            next.push(arrived);
        }
        next.retain(|state| state.object_version <= 3 && state.runs.iter().all(|runs| *runs <= 2));
        next
    }

    fn violation(&self, state: &ClaimState) -> Option<&'static str> {
        let is_reported_not_run = |call: &Call| *call == Call::ReportedNotRun;
        let is_wrong = |(call, runs): (&Call, &u8)| is_reported_not_run(call) && *runs > 0;
        if state.calls.iter().zip(&state.runs).any(is_wrong) {
            return Some("a caller got the answer \"not run\" and the order ran");
        }
        (state.runs.iter().sum::<u8>() > 1).then_some("an order ran twice")
    }
}

// Stops: one server leaves while two peers, which may not know of it yet, send it calls.

/// State of a call from a peer to the leaving server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(crate) enum SentCall {
    Idle,
    Sent,
    Running,
    Answered,
    Refused,
    Lost,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StopState {
    is_leaving: bool,
    has_ended: bool,
    /// Whether each peer knows that the server is leaving.
    is_informed: [bool; 2],
    calls: [SentCall; 2],
    has_taken_new_work: bool,
}

pub(crate) struct StopModel {
    pub(crate) fault: Fault,
}

impl StopModel {
    fn may_end(&self, state: &StopState) -> bool {
        if !state.is_leaving || state.has_ended {
            return false;
        }
        let is_idle = !state.calls.contains(&SentCall::Running);
        let is_known = state.is_informed == [true; 2] && !state.calls.contains(&SentCall::Sent);
        match self.fault {
            Fault::EndWithWorkInFlight => is_known,
            Fault::EndBeforePeersKnow => is_idle,
            _ => is_idle && is_known,
        }
    }

    fn arrive(&self, state: &StopState, peer: usize) -> StopState {
        let mut next = state.clone();
        next.calls[peer] = match (state.has_ended, state.is_leaving) {
            (true, _) => SentCall::Lost,
            (false, false) => SentCall::Running,
            (false, true) if self.fault == Fault::TakeWorkWhileLeaving => {
                next.has_taken_new_work = true;
                SentCall::Running
            }
            (false, true) => SentCall::Refused,
        };
        next
    }
}

impl Model for StopModel {
    type State = StopState;

    fn initial(&self) -> StopState {
        StopState {
            is_leaving: false,
            has_ended: false,
            is_informed: [false; 2],
            calls: [SentCall::Idle; 2],
            has_taken_new_work: false,
        }
    }

    fn next(&self, state: &StopState) -> Vec<StopState> {
        let mut next = Vec::new();
        if !state.is_leaving {
            next.push(StopState {
                is_leaving: true,
                ..state.clone()
            });
        }
        if self.may_end(state) {
            let mut ended = StopState {
                has_ended: true,
                ..state.clone()
            };
            for call in ended
                .calls
                .iter_mut()
                .filter(|call| **call == SentCall::Running)
            {
                *call = SentCall::Lost;
            }
            next.push(ended);
        }
        for peer in 0..2 {
            let mut after = state.clone();
            match state.calls[peer] {
                SentCall::Idle if !state.is_informed[peer] => after.calls[peer] = SentCall::Sent,
                SentCall::Sent => after = self.arrive(state, peer),
                SentCall::Running => after.calls[peer] = SentCall::Answered,
                SentCall::Answered | SentCall::Refused => after.calls[peer] = SentCall::Idle,
                SentCall::Idle | SentCall::Lost => {}
            }
            next.push(after);
            if state.is_leaving && !state.is_informed[peer] {
                let mut informed = state.clone();
                informed.is_informed[peer] = true;
                next.push(informed);
            }
        }
        next
    }

    fn violation(&self, state: &StopState) -> Option<&'static str> {
        if state.has_taken_new_work {
            return Some("a leaving server took new work");
        }
        state
            .calls
            .contains(&SentCall::Lost)
            .then_some("a call was aborted by a stop")
    }
}
