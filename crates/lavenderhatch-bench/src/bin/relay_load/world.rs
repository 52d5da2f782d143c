//! A fleet under load, in simulated time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::{
    AttemptEnd, Attempts, Candidate, Demand, FirstAttemptEstimator, NextStep, RetryBudget,
    ServiceTimes, choose_backend, may_wait, next_step,
};
use lavenderhatch_relay::EndpointStats;
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::outcome::Outcome;
use crate::pattern::{CALL, KINDS, LATE_MS, Pattern, Service};
use crate::policy::{Placing, Policy, Waiting};
use crate::request::{Request, Stage};
use crate::server::{Admission, SLOTS, Server};

/// Simulated time, in milliseconds.
pub(crate) const LENGTH_MS: u64 = 30_000;
/// One way between machines of a zone and of two zones, in milliseconds.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 2;
const ZONES: usize = 3;
/// Speeds of the backend servers, in turn.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Factor by which a slowed backend server is slower.
const SLOWED: f64 = 4.0;
/// Time for which a daemon leaves a backend server alone that takes nothing or is full.
const CLOSED: Duration = Duration::from_millis(100);
/// Advised time when no backend server takes requests.
const NO_BACKEND_ADVICE: Duration = Duration::from_millis(300);
/// Part of the time left for which callers follow the advice.
const ADVICE_SHARE: u32 = 3;
const RETRY_RATIO: f64 = 0.1;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a request of this kind.
    Arrive(usize),
    /// A refused caller comes back.
    Return {
        kind: usize,
        daemon: usize,
        first_sent: u64,
        returns: u32,
    },
    /// A request reaches its backend server.
    Reach(usize),
    /// A request has waited long enough in the queue of the n-th attempt.
    GiveUp(usize, u32),
    /// A request has run.
    Finish(usize, u32),
    /// The daemon learns the end of an attempt.
    Learn(usize, End),
    /// A request has reached its timeout.
    Expire(usize),
}

/// The end of an attempt as the daemon learns it. Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum End {
    Ran { took: u64, mean: u64, load: u32 },
    Failed,
    Refused { retry_after: u64, load: u32 },
    NoBackend,
}

/// What one daemon knows.
struct Daemon {
    stats: Vec<EndpointStats>,
    service: ServiceTimes,
    spans: FirstAttemptEstimator,
    budget: RetryBudget,
    turn: usize,
}

/// A fleet under load, in simulated time.
pub(crate) struct World<'a> {
    pattern: &'a Pattern,
    policy: &'a Policy,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    servers: Vec<Server>,
    daemons: Vec<Daemon>,
    requests: Vec<Request>,
    random: Pcg64Mcg,
    outcome: Outcome,
}

impl<'a> World<'a> {
    /// Plays a pattern under a policy.
    pub(crate) fn play(pattern: &'a Pattern, policy: &'a Policy, seed: u64) -> Outcome {
        let count = pattern.machines;
        let server = |at: usize| {
            let is_orders = at * 3 % 5 < 3;
            let service = if is_orders {
                Service::Orders
            } else {
                Service::Catalogue
            };
            Server::new(
                service,
                at % ZONES,
                SPEEDS[at / ZONES % SPEEDS.len()],
                policy.waiting,
            )
        };
        let daemon = |_| Daemon {
            stats: (0..count).map(|_| EndpointStats::default()).collect(),
            service: ServiceTimes::default(),
            spans: FirstAttemptEstimator::default(),
            budget: RetryBudget::new(RETRY_RATIO, 2.0),
            turn: 0,
        };
        let mut world = Self {
            pattern,
            policy,
            now: 0,
            events: BinaryHeap::new(),
            number: 0,
            servers: (0..count).map(server).collect(),
            daemons: (0..count).map(daemon).collect(),
            requests: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            outcome: Outcome::default(),
        };
        (0..CALL).for_each(|kind| world.schedule_arrival(kind));
        while let Some(Reverse((at, _, event))) = world.events.pop() {
            world.now = at;
            world.handle(event);
        }
        world.outcome
    }

    fn at(&self) -> Timestamp {
        Timestamp(self.now)
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.number += 1;
        self.events
            .push(Reverse((self.now + after, self.number, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(kind) => {
                self.schedule_arrival(kind);
                let daemon = self.random.random_range(0..self.daemons.len());
                self.outcome.kinds[kind].asked += 1;
                self.arrive(kind, daemon, self.now, 0, None);
            }
            Event::Return {
                kind,
                daemon,
                first_sent,
                returns,
            } => {
                self.arrive(kind, daemon, first_sent, returns, None);
            }
            Event::Reach(request) => self.reach(request),
            Event::GiveUp(request, attempt) => self.give_up(request, attempt),
            Event::Finish(request, attempt) => self.finish(request, attempt),
            Event::Learn(request, end) => self.learn(request, end),
            Event::Expire(request) => self.expire(request),
        }
    }

    fn is_middle(&self) -> bool {
        (LENGTH_MS / 3..LENGTH_MS * 2 / 3).contains(&self.now)
    }

    fn schedule_arrival(&mut self, kind: usize) {
        let burst = match self.pattern.burst {
            Some((of, factor)) if of == kind && self.is_middle() => factor,
            _ => 1.0,
        };
        let rate = KINDS[kind].rate * self.pattern.load * burst * self.daemons.len() as f64;
        let gap = Exp::new(rate / 1000.0).map_or(0.0, |exp| exp.sample(&mut self.random));
        // The clock of the model has whole milliseconds; a carry keeps the rate.
        let gap = gap.floor() as u64 + u64::from(self.random.random_bool(gap.fract()));
        if self.now + gap < LENGTH_MS {
            self.schedule(gap, Event::Arrive(kind));
        }
    }

    fn arrive(
        &mut self,
        kind: usize,
        daemon: usize,
        first_sent: u64,
        returns: u32,
        parent: Option<usize>,
    ) -> usize {
        let spec = &KINDS[kind];
        let passed = Duration::from_millis(self.now - first_sent);
        let mut allowed = spec.deadline.saturating_sub(passed);
        if let Some(parent) = parent {
            let left = self.requests[parent].demand.deadline.since(self.at());
            allowed = allowed.min(left);
        }
        let known = &mut self.daemons[daemon];
        known.budget.deposit();
        let elapsed = match self.policy.counts_first_attempts && parent.is_none() {
            true => known.spans.elapsed(kind as u64, allowed),
            false => Duration::ZERO,
        };
        let now = Timestamp(self.now);
        let demand = Demand {
            class: kind as u64,
            priority: spec.priority,
            arrived: now,
            target_at: now + spec.target.saturating_sub(elapsed),
            deadline: now + allowed.min(spec.timeout),
        };
        let request = self.requests.len();
        self.requests.push(Request {
            kind,
            daemon,
            first_sent,
            returns,
            parent,
            demand,
            attempts: Attempts::default(),
            tried: Vec::new(),
            full: Vec::new(),
            may_wait: true,
            server: 0,
            placed_at: 0,
            stage: Stage::Underway,
            started: 0,
            calls_left: spec.calls,
            call: None,
        });
        self.schedule(
            allowed.min(spec.timeout).as_millis() as u64,
            Event::Expire(request),
        );
        self.place(request);
        request
    }

    fn place(&mut self, request: usize) {
        let req = &mut self.requests[request];
        req.may_wait = !self.policy.looks || may_wait(req.attempts.placed);
        if req.may_wait {
            req.full.clear();
        }
        let mut chosen = self.choose(request);
        if chosen.is_none() && !self.requests[request].full.is_empty() {
            let req = &mut self.requests[request];
            req.may_wait = true;
            req.full.clear();
            chosen = self.choose(request);
        }
        let Some(server) = chosen else {
            return self.refuse(request, NO_BACKEND_ADVICE);
        };
        let req = &mut self.requests[request];
        req.attempts.placed += 1;
        req.server = server;
        req.stage = Stage::Underway;
        req.placed_at = self.now;
        self.daemons[req.daemon].stats[server].begin_request();
        let delay = self.delay(self.requests[request].daemon, server);
        self.schedule(delay, Event::Reach(request));
    }

    fn choose(&mut self, request: usize) -> Option<usize> {
        let req = &self.requests[request];
        let now = Timestamp(self.now);
        let kind = &KINDS[req.kind];
        let servers: Vec<usize> = (0..self.servers.len())
            .filter(|at| self.servers[*at].service == kind.service)
            .collect();
        let daemon = &mut self.daemons[req.daemon];
        let is_open = |at: usize| {
            let is_known = req.tried.contains(&at) || req.full.contains(&at);
            !is_known && daemon.stats[at].is_available(kind.priority, now)
        };
        let open: Vec<usize> = servers.iter().copied().filter(|at| is_open(*at)).collect();
        if open.is_empty() {
            return None;
        }
        match self.policy.placing {
            Placing::Random => Some(open[self.random.random_range(0..open.len())]),
            Placing::RoundRobin => {
                daemon.turn += 1;
                Some(open[daemon.turn % open.len()])
            }
            Placing::ByCost => {
                let zone = req.daemon % ZONES;
                let service = daemon.service.of(req.demand.class).as_secs_f64();
                let delay = |at: usize| match self.policy.sees_delays && service > 0.0 {
                    true => daemon.stats[at].delay(now).as_secs_f64() / service,
                    false => 0.0,
                };
                let candidate = |at: &usize| Candidate {
                    load: match *at == req.daemon {
                        true => self.servers[*at].load(),
                        false => daemon.stats[*at].load(now),
                    },
                    slots: SLOTS,
                    relative_service_time: daemon.stats[*at].relative_service_time(),
                    relative_delay: delay(*at),
                    failure_rate: daemon.stats[*at].failure_rate(now),
                    is_in_local_zone: self.servers[*at].zone == zone,
                    is_available: true,
                };
                let candidates: Vec<Candidate> = open.iter().map(candidate).collect();
                let target = req.demand.target_at.since(now).as_secs_f64();
                let random = &mut self.random;
                choose_backend(&candidates, service / target, || random.next_u64())
                    .map(|at| open[at])
            }
        }
    }

    fn delay(&self, daemon: usize, server: usize) -> u64 {
        let late = match self.is_among(server, self.pattern.late) {
            true if daemon != server => LATE_MS,
            _ => 0,
        };
        late + match (
            daemon == server,
            self.servers[server].zone == daemon % ZONES,
        ) {
            (true, _) => 0,
            (_, true) => NEAR_MS,
            (_, false) => FAR_MS,
        }
    }

    /// Whether a share of the backend servers includes this one.
    fn is_among(&self, server: usize, share: f64) -> bool {
        self.is_middle() && (server as f64 * 0.618).fract() < share
    }

    fn reach(&mut self, request: usize) {
        let req = &self.requests[request];
        if req.stage == Stage::Done {
            return;
        }
        let (server, demand) = (req.server, req.demand);
        if self.is_among(server, self.pattern.lost) {
            return self.report(request, End::NoBackend);
        }
        let now = self.at();
        let may_wait = req.may_wait;
        match self.servers[server].offer(request, demand, may_wait, now) {
            Admission::Started => self.start(request),
            Admission::Waits(ticket) => {
                self.requests[request].stage = Stage::Waiting(ticket);
                let latest = self.servers[server].latest_start(&demand);
                let attempt = self.requests[request].attempts.placed;
                let after = latest.since(now).as_millis() as u64;
                self.schedule(after, Event::GiveUp(request, attempt));
                self.start_next(server);
            }
            Admission::Refused(refusal) => {
                let retry_after = refusal.retry_after.as_micros() as u64;
                let load = self.servers[server].load();
                self.report(request, End::Refused { retry_after, load });
            }
        }
    }

    fn give_up(&mut self, request: usize, attempt: u32) {
        let req = &self.requests[request];
        let Stage::Waiting(ticket) = req.stage else {
            return;
        };
        if req.attempts.placed != attempt {
            return;
        }
        let server = &mut self.servers[req.server];
        server.remove(request, ticket);
        let refusal = server.refusal();
        let end = End::Refused {
            retry_after: refusal.retry_after.as_micros() as u64,
            load: server.load(),
        };
        self.report(request, end);
    }

    fn start(&mut self, request: usize) {
        let req = &mut self.requests[request];
        req.stage = Stage::Running;
        req.started = self.now;
        req.calls_left = KINDS[req.kind].calls;
        self.go_on(request);
    }

    /// Makes the next call of a running request, or does its own work after the last one.
    fn go_on(&mut self, request: usize) {
        let req = &mut self.requests[request];
        if req.calls_left > 0 {
            req.calls_left -= 1;
            // The daemon beside the backend server places its calls.
            let server = req.server;
            let call = self.arrive(CALL, server, self.now, 0, Some(request));
            self.requests[request].call = Some(call);
            return;
        }
        let (kind, server) = (&KINDS[req.kind], req.server);
        let slowed = match self.is_among(server, self.pattern.slowed) {
            true => SLOWED,
            false => 1.0,
        };
        let median = kind.work_ms.ln() - kind.spread * kind.spread / 2.0;
        let work = LogNormal::new(median, kind.spread)
            .map_or(kind.work_ms, |work| work.sample(&mut self.random));
        let work = work * slowed / self.servers[server].speed;
        let attempt = self.requests[request].attempts.placed;
        self.schedule(work.max(1.0) as u64, Event::Finish(request, attempt));
    }

    fn finish(&mut self, request: usize, attempt: u32) {
        let req = &self.requests[request];
        if req.stage != Stage::Running || req.attempts.placed != attempt {
            return;
        }
        let (server, demand) = (req.server, req.demand);
        let took = Duration::from_millis(self.now - req.started);
        let now = self.at();
        let mean = self.servers[server].record(&demand, took, now);
        let mean = if self.policy.tells_means { mean } else { took };
        self.servers[server].leave();
        self.report(
            request,
            End::Ran {
                took: took.as_micros() as u64,
                mean: mean.as_micros() as u64,
                load: self.servers[server].load(),
            },
        );
        self.start_next(server);
    }

    fn start_next(&mut self, server: usize) {
        let now = self.at();
        while let Some(next) = self.servers[server].start_next(now) {
            self.start(next);
        }
    }

    /// Sends the end of an attempt to the daemon.
    fn report(&mut self, request: usize, end: End) {
        let req = &mut self.requests[request];
        req.stage = Stage::Underway;
        let delay = self.delay(self.requests[request].daemon, self.requests[request].server);
        self.schedule(delay, Event::Learn(request, end));
    }

    fn learn(&mut self, request: usize, end: End) {
        let req = &self.requests[request];
        if req.stage == Stage::Done {
            return;
        }
        let (daemon, server) = (req.daemon, req.server);
        let transit = self.delay(daemon, server);
        let req = &mut self.requests[request];
        let now = Timestamp(self.now);
        let daemon = &mut self.daemons[req.daemon];
        let stats = &daemon.stats[req.server];
        stats.end_request();
        let mut is_full = false;
        let (end, advice) = match end {
            End::Ran { took, mean, load } => {
                stats.record_load(load, now);
                stats.record_result(false, now);
                // One way there and one back.
                stats.record_delay(Duration::from_millis(2 * transit), now);
                daemon
                    .service
                    .record(req.demand.class, Duration::from_micros(took));
                let overall = daemon.service.of(req.demand.class);
                stats.record_service_time(Duration::from_micros(mean), overall);
                (
                    AttemptEnd::Answered {
                        is_server_error: false,
                    },
                    Duration::ZERO,
                )
            }
            End::Failed => {
                stats.record_result(true, now);
                (
                    AttemptEnd::Answered {
                        is_server_error: true,
                    },
                    Duration::ZERO,
                )
            }
            End::Refused { retry_after, load } => {
                stats.record_load(load, now);
                is_full = !req.may_wait;
                if !is_full && self.policy.waiting == Waiting::ByRank {
                    stats.suspend_for_rank(req.demand.priority, now + CLOSED / 2);
                }
                let retry_after = Duration::from_micros(retry_after);
                (AttemptEnd::NotRun { has_arrived: false }, retry_after)
            }
            End::NoBackend => {
                stats.suspend(now + CLOSED);
                (AttemptEnd::NotRun { has_arrived: false }, NO_BACKEND_ADVICE)
            }
        };
        match is_full {
            true => req.full.push(req.server),
            false => req.tried.push(req.server),
        }
        let is_refusal = matches!(end, AttemptEnd::NotRun { .. });
        req.attempts.arrived += u32::from(!is_refusal);
        let left = req.demand.deadline.since(now);
        let is_idempotent = KINDS[req.kind].is_idempotent;
        match next_step(end, req.attempts, is_idempotent, 2, left) {
            NextStep::PlaceElsewhere => return self.place(request),
            NextStep::Retry if daemon.budget.withdraw() => return self.place(request),
            _ => {}
        }
        match end {
            AttemptEnd::Answered {
                is_server_error: false,
            } => self.succeed(request),
            AttemptEnd::NotRun { .. } => self.refuse(request, advice),
            _ => self.fail(request),
        }
    }

    fn succeed(&mut self, request: usize) {
        let req = &mut self.requests[request];
        req.stage = Stage::Done;
        if let Some(parent) = req.parent {
            return self.return_call(parent, true);
        }
        let took = Duration::from_millis(self.now - req.first_sent);
        let counts = &mut self.outcome.kinds[req.kind];
        match took <= KINDS[req.kind].target {
            true => counts.on_time += 1,
            false => counts.late += 1,
        }
    }

    /// Ends a request that did not run. Its caller may come back.
    fn refuse(&mut self, request: usize, advice: Duration) {
        let req = &mut self.requests[request];
        req.stage = Stage::Done;
        if let Some(parent) = req.parent {
            return self.return_call(parent, false);
        }
        let (kind, daemon, first_sent) = (req.kind, req.daemon, req.first_sent);
        let deadline = Timestamp(first_sent) + KINDS[kind].deadline;
        let left = deadline.since(Timestamp(self.now));
        if req.returns >= self.pattern.returns || left.is_zero() {
            return;
        }
        let returns = req.returns + 1;
        let spread = self.random.random_range(0.5..1.5);
        let wait = advice.mul_f64(spread).min(left / ADVICE_SHARE);
        self.schedule(
            wait.as_millis() as u64,
            Event::Return {
                kind,
                daemon,
                first_sent,
                returns,
            },
        );
    }

    fn fail(&mut self, request: usize) {
        let req = &mut self.requests[request];
        req.stage = Stage::Done;
        if let Some(parent) = req.parent {
            self.return_call(parent, false);
        }
    }

    /// Takes in the end of a call. A request whose call fails, fails.
    fn return_call(&mut self, parent: usize, is_served: bool) {
        let req = &mut self.requests[parent];
        req.call = None;
        if req.stage != Stage::Running {
            return;
        }
        if is_served {
            return self.go_on(parent);
        }
        let server = req.server;
        self.servers[server].leave();
        self.report(parent, End::Failed);
        self.start_next(server);
    }

    /// Ends a request at its timeout, and what runs for it.
    fn expire(&mut self, request: usize) {
        let req = &mut self.requests[request];
        let stage = std::mem::replace(&mut req.stage, Stage::Done);
        if stage == Stage::Done {
            return;
        }
        let (daemon, server, parent, call) = (req.daemon, req.server, req.parent, req.call.take());
        let waited = Duration::from_millis(self.now - req.placed_at);
        let now = Timestamp(self.now);
        let stats = &self.daemons[daemon].stats[server];
        stats.end_request();
        stats.record_delay(waited, now);
        match stage {
            Stage::Running => {
                self.servers[server].leave();
                self.start_next(server);
            }
            Stage::Waiting(ticket) => self.servers[server].remove(request, ticket),
            Stage::Underway | Stage::Done => {}
        }
        if let Some(call) = call {
            self.expire(call);
        }
        if let Some(parent) = parent {
            self.return_call(parent, false);
        }
    }
}
