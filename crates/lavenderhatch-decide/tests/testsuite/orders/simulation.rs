//! Simulates executors, range owners, callers and the platform, with faults drawn from a seed.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use lavenderhatch_core::call::CallResponse;
use lavenderhatch_core::error_kind::Outcome;
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{Error, Incarnation, MemberState, Timestamp};
use lavenderhatch_decide::message::ClaimVerdict;
use lavenderhatch_decide::orders::{
    AttemptResult, BeginResult, CommitResult, ExecutionTable, KeyOrigin, OwnerView, RangeStep,
    answer_for_verdict, key_hash, request_digest,
};

use super::members::{node_id, put_member};
use super::model::{Call, Event, IoResult, Node, Report, Waiter, answer_of, target};
use super::owner_under_test::{OwnerUnderTest, SeededFault};
use super::random::Random;
use super::store::Store;

const NODES: usize = 4;
const KEYS: u64 = 8;
const CALLS: usize = 60;
/// Time span in which calls arrive and faults happen, in milliseconds.
const SPAN_MS: u64 = 30_000;
const WAKE_INTERVAL_MS: u64 = 300;
const RETENTION: Duration = Duration::from_secs(24 * 3600);

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
    runs: HashMap<u64, u32>,
    /// Attempts whose claims were refused as not written.
    refused: BTreeSet<Waiter>,
    /// Attempts whose claim messages were duplicated.
    duplicated: BTreeSet<Waiter>,
    faults: Vec<String>,
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
            runs: HashMap::new(),
            refused: BTreeSet::new(),
            duplicated: BTreeSet::new(),
            faults: Vec::new(),
        };
        for node in 0..NODES {
            let fresh = simulation.start(node, 1);
            simulation.nodes.push(fresh);
        }
        simulation.schedule();
        simulation
    }

    fn start(&mut self, node: usize, incarnation: u64) -> Node {
        let id = format!("n{node}");
        put_member(&mut self.members, &id, incarnation, MemberState::Serving);
        Node {
            incarnation,
            table: ExecutionTable::new(node_id(&id), Incarnation(incarnation)),
            owner: OwnerUnderTest::open(node_id(&id), Incarnation(incarnation), self.fault),
            next_attempt: 1,
            waiting: HashMap::new(),
            running: HashMap::new(),
            paused_until: 0,
        }
    }

    fn schedule(&mut self) {
        for call in 0..CALLS {
            let body: &[u8] = if self.random.chance(10) { b"x" } else { b"y" };
            self.calls.push(Call {
                key: self.random.below(KEYS),
                request: request_digest("POST", "/orders", body),
                attempt: None,
                has_run: false,
                reported: None,
            });
            let node = self.any_node();
            self.push_at_random(SPAN_MS, Event::Call(call, node));
        }
        for _ in 0..self.random.below(5) {
            let (crashed, paused) = (self.any_node(), self.any_node());
            let until = self.random.below(SPAN_MS);
            self.push_at_random(SPAN_MS, Event::Crash(crashed));
            self.push_at_random(SPAN_MS, Event::Pause(paused, until));
        }
        for _ in 0..self.random.below(3) {
            let start = self.random.below(SPAN_MS);
            let length = self.random.below(8000);
            self.push(start, Event::Outage(true));
            self.push(start + length, Event::Outage(false));
        }
    }

    fn any_node(&mut self) -> usize {
        self.random.below(NODES as u64) as usize
    }

    fn push(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.events.insert((at, self.seq), event);
    }

    fn push_at_random(&mut self, within: u64, event: Event) {
        let at = self.now + self.random.below(within);
        self.push(at, event);
    }

    /// Schedules an event after a random delay, which is much longer in one of ten cases.
    fn push_delayed(&mut self, event: Event) {
        let longest = if self.random.chance(10) { 6000 } else { 50 };
        self.push_at_random(longest, event);
    }

    /// Sends a message that may be delayed, duplicated or lost.
    fn send(&mut self, event: Event) {
        let copies = match self.random.below(100) {
            0..10 => 0,
            10..20 => 2,
            _ => 1,
        };
        if let (Event::Claim(_, _, waiter), 2) = (&event, copies) {
            // The second copy may be written after the first was refused. Its order does not run
            // then.
            self.duplicated.insert(*waiter);
        }
        for _ in 0..copies {
            self.push_delayed(event.clone());
        }
    }

    pub(super) fn run(mut self) -> Report {
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = self.now.max(at);
            let paused = target(&event).map_or(0, |node| self.nodes[node].paused_until);
            match paused > self.now {
                true => self.push(paused, event),
                false => self.handle(event),
            }
        }
        self.report()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Call(call, node) => self.begin(call, node),
            Event::Claim(node, claim, waiter) => {
                self.with_owner(node, |owner, cx| owner.claim(claim, waiter, cx));
            }
            Event::Record(node, record) => {
                self.with_owner(node, |owner, cx| owner.record_outcome(&record, cx));
            }
            Event::Wake(node) => self.with_owner(node, |_, _| ()),
            Event::IoDone(node, incarnation, _) if self.nodes[node].incarnation != incarnation => {}
            Event::IoDone(node, _, end) => self.with_owner(node, |owner, cx| match end {
                IoResult::Loaded(snapshot) => owner.handle_load_result(snapshot, cx),
                IoResult::Committed(result) => owner.handle_commit_result(result, cx),
            }),
            Event::Verdict(waiter, verdict) => self.take_verdict(waiter, &verdict),
            Event::GiveUp(waiter) => {
                if let Some(call) = self.take_waiting(waiter) {
                    self.finish(call, AttemptResult::NotRun);
                    self.calls[call].reported = Some(Outcome::Unknown);
                }
            }
            Event::RunEnds(waiter) => self.end_run(waiter),
            Event::ReachPlatform(exchange) => self.reach_platform(*exchange),
            Event::Crash(node) => self.crash(node),
            Event::Pause(node, until) => {
                let paused = &mut self.nodes[node].paused_until;
                *paused = (*paused).max(until);
            }
            Event::Outage(is_down) => self.is_down = is_down,
        }
    }

    fn with_owner(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut OwnerUnderTest<Waiter>, &OwnerView<'_>),
    ) {
        let view = OwnerView {
            now: Timestamp(self.now),
            retention: RETENTION,
            members: &self.members,
            owned_since: self.is_owner(node).then(Timestamp::default),
        };
        let owner = &mut self.nodes[node].owner;
        act(owner, &view);
        let step = owner.next_step(&view);
        for (waiter, verdict) in owner.take_verdicts() {
            self.send(Event::Verdict(waiter, verdict));
        }
        if let Some(step) = step {
            self.exchange(node, step);
        }
        let mut later = self.events.range((self.now + 1, 0)..);
        let is_woken = later.any(|(_, event)| matches!(event, Event::Wake(at) if *at == node));
        if self.now < SPAN_MS * 2 && !is_woken {
            self.push(self.now + WAKE_INTERVAL_MS, Event::Wake(node));
        }
    }

    /// Sends a request to the platform. If the answer is lost, the owner may notice that before or
    /// after the write takes effect.
    fn exchange(&mut self, node: usize, step: RangeStep) {
        let incarnation = self.nodes[node].incarnation;
        let is_load = matches!(step, RangeStep::Load { .. });
        let is_lost = self.random.chance(12);
        if is_lost {
            let end = match is_load {
                true => IoResult::Loaded(None),
                false => IoResult::Committed(CommitResult::AnswerLost),
            };
            self.push_at_random(3000, Event::IoDone(node, incarnation, end));
            if is_load || self.random.chance(30) {
                return;
            }
        }
        self.push_delayed(Event::ReachPlatform(Box::new((
            node,
            incarnation,
            step,
            !is_lost,
        ))));
    }

    fn reach_platform(
        &mut self,
        (node, incarnation, step, is_answered): (usize, u64, RangeStep, bool),
    ) {
        let end = match step {
            RangeStep::Load { .. } if self.is_down => IoResult::Loaded(None),
            RangeStep::Load { held } => IoResult::Loaded(Some(self.store.read(&held))),
            RangeStep::Commit(_) if self.is_down => IoResult::Committed(CommitResult::Unavailable),
            RangeStep::Commit(commit) => IoResult::Committed(self.store.write(&commit)),
        };
        if is_answered {
            self.push_delayed(Event::IoDone(node, incarnation, end));
        }
    }

    /// The node that issued a key. `None` for keys chosen by callers, which are all but the first
    /// few.
    fn issuer(key: u64) -> Option<usize> {
        (key < KEYS / 4).then_some(key as usize % NODES)
    }

    fn begin(&mut self, call: usize, node: usize) {
        let (key, request) = (self.calls[call].key, self.calls[call].request);
        let (node, origin) = match Self::issuer(key) {
            None => (node, KeyOrigin::CallerChosen),
            // Issued keys belong to the first incarnation of their node.
            Some(issuer) if self.nodes[issuer].incarnation > 1 => {
                self.calls[call].reported = Some(Outcome::Unknown);
                return;
            }
            Some(issuer) => (issuer, KeyOrigin::Issued(key)),
        };
        let present = &mut self.nodes[node];
        let attempt = present.next_attempt;
        present.next_attempt += 1;
        let waiter = (node, present.incarnation, attempt);
        self.calls[call].attempt = Some(waiter);
        let hash = key_hash(&key.to_string());
        match present.table.begin(hash, request, origin, attempt, KEYS) {
            BeginResult::Run => self.start_run(call, waiter),
            BeginResult::Answer(answer) => self.report_answer(call, *answer),
            BeginResult::Claim => {
                present.waiting.insert(attempt, call);
                let claim = present.table.claim(hash, request, attempt);
                let owner = self.presumed_owner();
                self.send(Event::Claim(owner, claim, waiter));
                let claim_timeout_ms = 300 + self.random.below(6000);
                self.push(self.now + claim_timeout_ms, Event::GiveUp(waiter));
            }
        }
    }

    /// The node that a daemon believes to be the owner, which may be the wrong one.
    fn presumed_owner(&mut self) -> usize {
        let any = self.any_node();
        let usual = (0..NODES).find(|node| self.is_owner(*node));
        usual.filter(|_| self.random.chance(70)).unwrap_or(any)
    }

    fn is_owner(&self, node: usize) -> bool {
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
        let Some(answer) = answer_for_verdict(verdict) else {
            return self.start_run(call, waiter);
        };
        let is_unknown = *verdict == ClaimVerdict::Unknown;
        if *verdict == ClaimVerdict::Unavailable {
            self.refused.insert(waiter);
        }
        let end =
            [AttemptResult::NotClaimed, AttemptResult::NotRun][usize::from(is_unknown)].clone();
        self.finish(call, end);
        self.report_answer(call, answer);
    }

    fn start_run(&mut self, call: usize, waiter: Waiter) {
        if self.random.chance(10) {
            self.finish(call, AttemptResult::NotRun);
            self.calls[call].reported = Some(Outcome::NotRun);
            return;
        }
        let key = self.calls[call].key;
        let runs = self.runs.entry(key).or_default();
        *runs += 1;
        if *runs > 1 {
            self.faults.push(format!("key {key} ran {runs} times"));
        }
        self.calls[call].has_run = true;
        self.nodes[waiter.0].running.insert(waiter.2, call);
        self.push_at_random(2000, Event::RunEnds(waiter));
    }

    fn end_run(&mut self, (node, incarnation, attempt): Waiter) {
        let node = &mut self.nodes[node];
        let is_same = node.incarnation == incarnation;
        let Some(call) = is_same.then(|| node.running.remove(&attempt)).flatten() else {
            return;
        };
        if self.random.chance(20) {
            self.finish(call, AttemptResult::Unknown);
            self.calls[call].reported = Some(Outcome::Unknown);
            return;
        }
        let answer = answer_of(self.calls[call].key);
        self.finish(call, AttemptResult::Ran(answer.clone()));
        self.report_answer(call, Ok(answer));
    }

    fn finish(&mut self, call: usize, end: AttemptResult) {
        let (node, _, attempt) = self.calls[call].attempt.unwrap();
        let hash = key_hash(&self.calls[call].key.to_string());
        let Some(record) = self.nodes[node].table.finish(hash, attempt, end) else {
            return;
        };
        for _ in 0..2 {
            let owner = self.presumed_owner();
            self.send(Event::Record(owner, record.clone()));
        }
    }

    fn crash(&mut self, node: usize) {
        let fresh = self.start(node, self.nodes[node].incarnation + 1);
        let old = std::mem::replace(&mut self.nodes[node], fresh);
        for call in old.waiting.into_values().chain(old.running.into_values()) {
            self.calls[call].reported = Some(Outcome::Unknown);
        }
    }

    fn report_answer(&mut self, call: usize, answer: Result<CallResponse, Error>) {
        let key = self.calls[call].key;
        let outcome = match answer {
            Err(err) => err.kind().response().outcome,
            Ok(answer) => {
                let has_run = self.runs.contains_key(&key);
                if !has_run || answer.status != answer_of(key).status {
                    let text = format!("key {key}: an answer reported an outcome that no run had");
                    self.faults.push(text);
                }
                answer.outcome
            }
        };
        self.calls[call].reported = Some(outcome);
    }

    fn report(mut self) -> Report {
        for (at, call) in self.calls.iter().enumerate() {
            match call.reported {
                Some(Outcome::NotRun) if call.has_run => {
                    self.faults
                        .push(format!("call {at} ran but was reported as not-run"));
                }
                Some(_) => {}
                None => self.faults.push(format!("call {at} got no answer")),
            }
        }
        for waiter in self.refused.difference(&self.duplicated) {
            if self.store.claimed.contains(waiter) {
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
