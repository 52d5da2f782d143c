//! Executors, owners, a platform and callers, with faults drawn from a seed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use lavenderhatch_core::call::CallAnswer;
use lavenderhatch_core::error_kind::Outcome;
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{
    Digest, Error, Incarnation, MemberRecord, MemberState, NodeId, Timestamp,
};
use lavenderhatch_core::{Region, ServiceName, Zone};
use lavenderhatch_decide::message::{Claim, ClaimVerdict, OutcomeRecord};
use lavenderhatch_decide::orders::{
    Begin, CommitResult, ExecutionTable, KeyForm, OrderEnd, OwnerView, RangeImage, RangeStep,
    answer_to, key_hash, recorded_answer, request_digest,
};

use super::random::Random;
use super::rule::{Owner, SeededFault};
use super::store::Store;

const NODES: usize = 4;
const KEYS: u64 = 8;
const CALLS: usize = 60;
/// Time in which calls arrive and faults happen, in milliseconds.
const SPAN_MS: u64 = 30_000;
const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// A claim's way back: the executor, its incarnation and the attempt.
type Waiter = (usize, u64, u64);

#[derive(Clone, Debug)]
enum Event {
    Call {
        call: usize,
        node: usize,
    },
    Claim {
        owner: usize,
        claim: Claim,
        waiter: Waiter,
    },
    Verdict {
        waiter: Waiter,
        verdict: ClaimVerdict,
    },
    GiveUp {
        waiter: Waiter,
    },
    RunEnds {
        waiter: Waiter,
    },
    Record {
        owner: usize,
        record: OutcomeRecord,
    },
    Land {
        node: usize,
        incarnation: u64,
        step: RangeStep,
        is_answered: bool,
    },
    Done {
        node: usize,
        incarnation: u64,
        end: Done,
    },
    Wake {
        node: usize,
    },
    Crash {
        node: usize,
    },
    Pause {
        node: usize,
        until: u64,
    },
    Outage {
        is_down: bool,
    },
}

#[derive(Clone, Debug)]
enum Done {
    Loaded(Option<RangeImage>),
    Committed(CommitResult),
}

struct Node {
    incarnation: u64,
    table: ExecutionTable,
    owner: Owner<Waiter>,
    next_attempt: u64,
    issued: u64,
    /// Calls that wait for a verdict, by attempt.
    waiting: HashMap<u64, usize>,
    /// Calls that a back end runs, by attempt.
    running: HashMap<u64, usize>,
    paused_until: u64,
}

struct Call {
    key: u64,
    request: Digest,
    attempt: Option<Waiter>,
    has_run: bool,
    told: Option<Outcome>,
}

/// What a run has shown.
pub(super) struct Report {
    pub(super) faults: Vec<String>,
    pub(super) keys: usize,
    pub(super) keys_run: usize,
}

pub(super) struct Simulation {
    random: Random,
    fault: SeededFault,
    now: u64,
    seq: u64,
    events: BTreeMap<(u64, u64), Event>,
    nodes: Vec<Node>,
    members: Members,
    store: Store,
    is_down: bool,
    calls: Vec<Call>,
    /// Executor and number of issued keys; `None` for keys chosen by callers.
    issued: HashMap<u64, (usize, u64, u64)>,
    runs: HashMap<u64, u32>,
    /// Attempts whose claims were refused as certainly not written.
    refused: BTreeSet<Waiter>,
    /// Attempts whose claims were sent twice.
    doubled: BTreeSet<Waiter>,
    faults: Vec<String>,
}

fn name(node: usize) -> NodeId {
    NodeId::new(&format!("n{node}")).unwrap()
}

impl Simulation {
    pub(super) fn new(seed: u64, fault: SeededFault) -> Self {
        let mut simulation = Self {
            random: Random::new(seed),
            fault,
            now: 1,
            seq: 0,
            events: BTreeMap::new(),
            nodes: Vec::new(),
            members: Members::default(),
            store: Store::default(),
            is_down: false,
            calls: Vec::new(),
            issued: HashMap::new(),
            runs: HashMap::new(),
            refused: BTreeSet::new(),
            doubled: BTreeSet::new(),
            faults: Vec::new(),
        };
        for node in 0..NODES {
            let fresh = simulation.start(node, 1);
            simulation.nodes.push(fresh);
        }
        simulation.plan();
        simulation
    }

    fn start(&mut self, node: usize, incarnation: u64) -> Node {
        let record = MemberRecord {
            id: name(node),
            incarnation: Incarnation(incarnation),
            seq: 1,
            zone: Zone::new("a").unwrap(),
            region: Region::new("r").unwrap(),
            service: ServiceName::new("orders").unwrap(),
            peer_addr: ([127, 0, 0, 1], 1).into(),
            admin_addr: ([127, 0, 0, 1], 2).into(),
            slots: 1,
            state: MemberState::Serving,
        };
        self.members.by_id.insert(name(node), Arc::new(record));
        Node {
            incarnation,
            table: ExecutionTable::new(name(node), Incarnation(incarnation)),
            owner: Owner::open(name(node), Incarnation(incarnation), self.fault),
            next_attempt: 1,
            issued: 0,
            waiting: HashMap::new(),
            running: HashMap::new(),
            paused_until: 0,
        }
    }

    fn plan(&mut self) {
        for key in 0..KEYS / 4 {
            let node = self.random.below(NODES as u64) as usize;
            let seq = self.nodes[node].issued;
            self.nodes[node].issued += 1;
            self.issued
                .insert(key, (node, self.nodes[node].incarnation, seq));
        }
        for call in 0..CALLS {
            let key = self.random.below(KEYS);
            let body = if self.random.is_hit(10) {
                "other"
            } else {
                "body"
            };
            self.calls.push(Call {
                key,
                request: request_digest("POST", "/orders", body.as_bytes()),
                attempt: None,
                has_run: false,
                told: None,
            });
            let node = self.random.below(NODES as u64) as usize;
            self.at_random(SPAN_MS, Event::Call { call, node });
        }
        for _ in 0..self.random.below(5) {
            let node = self.random.below(NODES as u64) as usize;
            self.at_random(SPAN_MS, Event::Crash { node });
        }
        for _ in 0..self.random.below(5) {
            let node = self.random.below(NODES as u64) as usize;
            let until = self.random.below(SPAN_MS);
            self.at_random(SPAN_MS, Event::Pause { node, until });
        }
        for _ in 0..self.random.below(3) {
            let start = self.random.below(SPAN_MS);
            let length = self.random.below(8000);
            self.push(start, Event::Outage { is_down: true });
            self.push(start + length, Event::Outage { is_down: false });
        }
    }

    fn push(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.events.insert((at, self.seq), event);
    }

    fn at_random(&mut self, within: u64, event: Event) {
        let at = self.now + self.random.below(within);
        self.push(at, event);
    }

    /// Sends a message that may be late, arrive twice or be lost.
    fn send(&mut self, event: Event) {
        let copies = match self.random.below(100) {
            0..10 => 0,
            10..20 => 2,
            _ => 1,
        };
        if let (Event::Claim { waiter, .. }, 2) = (&event, copies) {
            // The second copy may be written after the first was refused. Nobody runs it then.
            self.doubled.insert(*waiter);
        }
        for _ in 0..copies {
            let longest = if self.random.is_hit(10) { 6000 } else { 50 };
            self.at_random(longest, event.clone());
        }
    }

    pub(super) fn run(mut self) -> Report {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = self.now.max(at);
            let paused = self
                .target(&event)
                .map_or(0, |node| self.nodes[node].paused_until);
            match paused > self.now {
                true => self.push(paused, event),
                false => self.handle(event),
            }
        }
        self.report()
    }

    /// The daemon that a pause keeps from handling an event.
    fn target(&self, event: &Event) -> Option<usize> {
        match event {
            Event::Call { node, .. } | Event::Done { node, .. } | Event::Wake { node } => {
                Some(*node)
            }
            Event::Claim { owner, .. } | Event::Record { owner, .. } => Some(*owner),
            Event::Verdict { waiter, .. } | Event::GiveUp { waiter } => Some(waiter.0),
            _ => None,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call { call, node } => self.begin(call, node),
            Event::Claim {
                owner,
                claim,
                waiter,
            } => {
                self.with_owner(owner, |owner, cx| owner.claim(claim, waiter, cx));
            }
            Event::Record { owner, record } => {
                self.with_owner(owner, |owner, cx| owner.record(&record, cx));
            }
            Event::Verdict { waiter, verdict } => self.take_verdict(waiter, &verdict),
            Event::GiveUp { waiter } => {
                if let Some(call) = self.take_waiting(waiter) {
                    self.finish(waiter, OrderEnd::NotRun);
                    self.tell(call, Outcome::Unknown);
                }
            }
            Event::RunEnds { waiter } => self.end_run(waiter),
            Event::Land {
                node,
                incarnation,
                step,
                is_answered,
            } => {
                self.land(node, incarnation, &step, is_answered);
            }
            Event::Done {
                node,
                incarnation,
                end,
            } => {
                if self.nodes[node].incarnation == incarnation {
                    self.with_owner(node, |owner, cx| match end {
                        Done::Loaded(image) => owner.loaded(image, cx),
                        Done::Committed(result) => owner.committed(result, cx),
                    });
                }
            }
            Event::Wake { node } => self.with_owner(node, |_, _| ()),
            Event::Crash { node } => self.crash(node),
            Event::Pause { node, until } => {
                let paused = &mut self.nodes[node].paused_until;
                *paused = (*paused).max(until);
            }
            Event::Outage { is_down } => self.is_down = is_down,
        }
    }

    fn with_owner(&mut self, node: usize, act: impl FnOnce(&mut Owner<Waiter>, &OwnerView<'_>)) {
        let view = OwnerView {
            now: Timestamp(self.now),
            retention: RETENTION,
            members: &self.members,
            owned_since: self.is_usual_owner(node).then(Timestamp::default),
        };
        let owner = &mut self.nodes[node].owner;
        act(owner, &view);
        let step = owner.next_step(&view);
        for (waiter, verdict) in owner.take_verdicts() {
            self.send(Event::Verdict { waiter, verdict });
        }
        if let Some(step) = step {
            self.exchange(node, step);
        }
        if self.now < SPAN_MS * 2 {
            let at = self.now + 300;
            if !self
                .events
                .range((at - 299, 0)..)
                .any(|(_, event)| matches!(event, Event::Wake { node: woken } if *woken == node))
            {
                self.push(at, Event::Wake { node });
            }
        }
    }

    /// Sends a step to the platform. A lost answer is noticed before or after the write lands.
    fn exchange(&mut self, node: usize, step: RangeStep) {
        let incarnation = self.nodes[node].incarnation;
        let is_load = matches!(step, RangeStep::Load { .. });
        let is_lost = self.random.is_hit(12);
        if is_lost {
            let end = match is_load {
                true => Done::Loaded(None),
                false => Done::Committed(CommitResult::AnswerLost),
            };
            self.at_random(
                3000,
                Event::Done {
                    node,
                    incarnation,
                    end,
                },
            );
            if is_load || self.random.is_hit(30) {
                return;
            }
        }
        let longest = if self.random.is_hit(10) { 5000 } else { 30 };
        let is_answered = !is_lost;
        self.at_random(
            longest,
            Event::Land {
                node,
                incarnation,
                step,
                is_answered,
            },
        );
    }

    fn land(&mut self, node: usize, incarnation: u64, step: &RangeStep, is_answered: bool) {
        let end = match step {
            _ if self.is_down => match step {
                RangeStep::Load { .. } => Done::Loaded(None),
                RangeStep::Commit(_) => Done::Committed(CommitResult::Unavailable),
            },
            RangeStep::Load { held } => Done::Loaded(Some(self.store.read(held))),
            RangeStep::Commit(commit) => Done::Committed(match self.store.write(commit) {
                Some(version) => CommitResult::Written(version),
                None => CommitResult::Conflict,
            }),
        };
        if is_answered {
            let longest = if self.random.is_hit(10) { 4000 } else { 30 };
            self.at_random(
                longest,
                Event::Done {
                    node,
                    incarnation,
                    end,
                },
            );
        }
    }

    fn begin(&mut self, call: usize, node: usize) {
        let (key, request) = (self.calls[call].key, self.calls[call].request);
        let (node, form) = match self.issued.get(&key) {
            None => (node, KeyForm::Chosen),
            Some((issuer, incarnation, seq)) => {
                if self.nodes[*issuer].incarnation != *incarnation {
                    return self.tell(call, Outcome::Unknown);
                }
                (*issuer, KeyForm::Issued(*seq))
            }
        };
        let present = &mut self.nodes[node];
        let attempt = present.next_attempt;
        present.next_attempt += 1;
        let waiter = (node, present.incarnation, attempt);
        self.calls[call].attempt = Some(waiter);
        let hash = key_hash(&key.to_string());
        match present
            .table
            .begin(hash, request, form, attempt, present.issued)
        {
            Begin::Run => self.start_run(call, waiter),
            Begin::Answer(answer) => self.tell_answer(call, *answer),
            Begin::Claim => {
                present.waiting.insert(attempt, call);
                let claim = present.table.claim(hash, request, attempt);
                let owner = self.believed_owner();
                self.send(Event::Claim {
                    owner,
                    claim,
                    waiter,
                });
                let patience = 300 + self.random.below(6000);
                self.push(self.now + patience, Event::GiveUp { waiter });
            }
        }
    }

    /// Daemons differ in whom they take for the owner.
    fn believed_owner(&mut self) -> usize {
        let any = self.random.below(NODES as u64) as usize;
        let mut nodes = 0..NODES;
        match nodes.find(|node| self.is_usual_owner(*node)) {
            Some(usual) if self.random.is_hit(70) => usual,
            _ => any,
        }
    }

    fn is_usual_owner(&self, node: usize) -> bool {
        node == (self.now / 10_000) as usize % NODES
    }

    fn take_waiting(&mut self, (node, incarnation, attempt): Waiter) -> Option<usize> {
        let node = &mut self.nodes[node];
        (node.incarnation == incarnation).then(|| node.waiting.remove(&attempt))?
    }

    fn take_verdict(&mut self, waiter: Waiter, verdict: &ClaimVerdict) {
        let Some(call) = self.take_waiting(waiter) else {
            return;
        };
        let Some(answer) = answer_to(verdict) else {
            return self.start_run(call, waiter);
        };
        let end = match verdict {
            ClaimVerdict::Unknown => OrderEnd::NotRun,
            _ => OrderEnd::NotClaimed,
        };
        if *verdict == ClaimVerdict::Unavailable {
            self.refused.insert(waiter);
        }
        self.finish(waiter, end);
        self.tell_answer(call, answer);
    }

    fn start_run(&mut self, call: usize, waiter: Waiter) {
        if self.random.is_hit(10) {
            self.finish(waiter, OrderEnd::NotRun);
            return self.tell(call, Outcome::NotRun);
        }
        let runs = self.runs.entry(self.calls[call].key).or_default();
        *runs += 1;
        if *runs > 1 {
            let key = self.calls[call].key;
            self.faults.push(format!("key {key} ran {runs} times"));
        }
        self.calls[call].has_run = true;
        self.nodes[waiter.0].running.insert(waiter.2, call);
        self.at_random(2000, Event::RunEnds { waiter });
    }

    fn end_run(&mut self, waiter: Waiter) {
        let node = &mut self.nodes[waiter.0];
        if node.incarnation != waiter.1 {
            return;
        }
        let Some(call) = node.running.remove(&waiter.2) else {
            return;
        };
        if self.random.is_hit(20) {
            self.finish(waiter, OrderEnd::Unknown);
            return self.tell(call, Outcome::Unknown);
        }
        let answer = answer_of(self.calls[call].key);
        self.finish(waiter, OrderEnd::Ran(answer.clone()));
        self.tell_answer(call, Ok(answer));
    }

    fn finish(&mut self, waiter: Waiter, end: OrderEnd) {
        let call = self
            .calls
            .iter()
            .find(|call| call.attempt == Some(waiter))
            .unwrap();
        let hash = key_hash(&call.key.to_string());
        let Some(record) = self.nodes[waiter.0].table.finish(hash, waiter.2, end) else {
            return;
        };
        for _ in 0..2 {
            let owner = self.believed_owner();
            let record = record.clone();
            self.send(Event::Record { owner, record });
        }
    }

    fn crash(&mut self, node: usize) {
        let incarnation = self.nodes[node].incarnation + 1;
        let fresh = self.start(node, incarnation);
        let old = std::mem::replace(&mut self.nodes[node], fresh);
        for call in old.waiting.into_values().chain(old.running.into_values()) {
            self.tell(call, Outcome::Unknown);
        }
    }

    fn tell_answer(&mut self, call: usize, answer: Result<CallAnswer, Error>) {
        let key = self.calls[call].key;
        if let Ok(answer) = &answer {
            let has_run = self.runs.get(&key) == Some(&1);
            if !has_run || answer.status != answer_of(key).status {
                self.faults
                    .push(format!("key {key}: a made-up outcome was told"));
            }
        }
        let told = answer.map_or_else(|err| err.kind().answer().outcome, |answer| answer.outcome);
        self.tell(call, told);
    }

    fn tell(&mut self, call: usize, outcome: Outcome) {
        self.calls[call].told = Some(outcome);
    }

    fn report(mut self) -> Report {
        for (at, call) in self.calls.iter().enumerate() {
            match call.told {
                Some(Outcome::NotRun) if call.has_run => {
                    self.faults
                        .push(format!("call {at} ran and was told not-run"));
                }
                Some(_) => {}
                None => self.faults.push(format!("call {at} got no answer")),
            }
        }
        for (node, incarnation, attempt) in &self.store.claimed {
            let waiter = (node[1..].parse().unwrap(), *incarnation, *attempt);
            if self.refused.contains(&waiter) && !self.doubled.contains(&waiter) {
                let text = format!("refused claim {waiter:?} took effect");
                self.faults.push(text);
            }
        }
        let keys: BTreeSet<u64> = self.calls.iter().map(|call| call.key).collect();
        Report {
            keys: keys.len(),
            keys_run: self.runs.len(),
            faults: self.faults,
        }
    }
}

/// What the back end answers to the order of a key.
fn answer_of(key: u64) -> CallAnswer {
    let outcome = lavenderhatch_decide::message::RecordedOutcome {
        status: 200 + key as u16,
        body_digest: Digest::of(b""),
    };
    let mut answer = recorded_answer(&outcome);
    answer.headers.clear();
    answer
}
