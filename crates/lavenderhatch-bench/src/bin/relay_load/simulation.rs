//! Discrete-event simulation of a fleet under load.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::{
    AttemptEnd, Attempts, Candidate, Demand, FirstAttemptEstimator, Need, NextStep, RetryBudget,
    ServiceTimes, choose_backend, may_wait, next_step,
};
use lavenderhatch_relay::EndpointStats;
use rand::{Rng, RngExt, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::outcome::Outcome;
use crate::pattern::{CALL_KIND, EXTRA_DELAY_MS, KINDS, Pattern, Service};
use crate::policy::{Placement, Policy, QueueDiscipline};
use crate::request::{Request, Stage};
use crate::server::{Admission, SLOTS, Server};

/// Time over which requests arrive, in milliseconds.
pub(crate) const DURATION_MS: u64 = 30_000;
/// One-way delay between two machines of the same zone, in milliseconds.
const SAME_ZONE_DELAY_MS: u64 = 1;
/// One-way delay between two machines of different zones, in milliseconds.
const CROSS_ZONE_DELAY_MS: u64 = 2;
const ZONES: usize = 3;
/// Speeds assigned to the backend servers in turn.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Factor on the service times of a slowed backend server.
const SLOWDOWN_FACTOR: f64 = 4.0;
/// Time for which a daemon sends nothing to a backend server that accepts no requests.
///
/// After a refusal of a request that was allowed to wait, it sends no requests of its rank or less
/// urgent ones for half of that time.
const SUSPENSION: Duration = Duration::from_millis(100);
/// Advised delay before a retry when no backend server accepts requests.
const NO_BACKEND_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Callers wait at most the time left divided by this before they retry.
const MAX_WAIT_DIVISOR: u32 = 3;
/// Deposit to the retry budget for each request.
const RETRY_RATIO: f64 = 0.1;

/// Factor on the service time of a request that starts with this many in progress, at a backend
/// server that slows down from 0.6 of its slots on.
fn early_slowdown(in_progress: u32) -> f64 {
    let knee = 0.6 * f64::from(SLOTS);
    1.0 + (f64::from(in_progress) - knee).max(0.0) / (f64::from(SLOTS) - knee)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a new request of this kind.
    Arrive(usize),
    /// A caller retries after a refusal.
    CallerRetry {
        kind: usize,
        daemon: usize,
        first_sent: u64,
        caller_retries: u32,
    },
    /// A request reaches its backend server.
    ArriveAtServer(usize),
    /// A request reaches the latest time for its start, in the queue of the n-th attempt.
    LeaveQueue(usize, u32),
    /// The n-th attempt of a request has run.
    Finish(usize, u32),
    /// The outcome of an attempt reaches the daemon that placed it.
    OutcomeReported(usize, AttemptOutcome),
    /// A request reaches its timeout.
    Expire(usize),
}

/// Outcome of an attempt as reported to the daemon that placed it.
///
/// Times are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum AttemptOutcome {
    Ran { took: u64, mean: u64, load: u32 },
    Failed,
    Refused { retry_after: u64, load: u32 },
    NoBackend,
}

/// State of one daemon.
struct Daemon {
    stats: Vec<EndpointStats>,
    service_times: ServiceTimes,
    first_attempts: FirstAttemptEstimator,
    budget: RetryBudget,
    /// Counter for round-robin placement.
    next_server: usize,
}

/// A simulation of one pattern under one policy.
pub(crate) struct Simulation<'a> {
    pattern: &'a Pattern,
    policy: &'a Policy,
    /// Simulated time, in milliseconds.
    now: u64,
    /// Pending events with their time and sequence number.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    servers: Vec<Server>,
    daemons: Vec<Daemon>,
    requests: Vec<Request>,
    random: Pcg64Mcg,
    outcome: Outcome,
}

impl<'a> Simulation<'a> {
    /// Simulates a pattern under a policy until all requests have ended.
    pub(crate) fn run(pattern: &'a Pattern, policy: &'a Policy, seed: u64) -> Outcome {
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
                policy,
            )
        };
        let daemon = |_| Daemon {
            stats: (0..count).map(|_| EndpointStats::default()).collect(),
            service_times: ServiceTimes::default(),
            first_attempts: FirstAttemptEstimator::default(),
            budget: RetryBudget::new(RETRY_RATIO, 2.0),
            next_server: 0,
        };
        let mut simulation = Self {
            pattern,
            policy,
            now: 0,
            events: BinaryHeap::new(),
            event_count: 0,
            servers: (0..count).map(server).collect(),
            daemons: (0..count).map(daemon).collect(),
            requests: Vec::new(),
            random: Pcg64Mcg::seed_from_u64(seed),
            outcome: Outcome::default(),
        };
        (0..CALL_KIND).for_each(|kind| simulation.schedule_arrival(kind));
        while let Some(Reverse((at, _, event))) = simulation.events.pop() {
            simulation.now = at;
            simulation.handle(event);
        }
        simulation.outcome
    }

    fn timestamp(&self) -> Timestamp {
        Timestamp(self.now)
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.event_count += 1;
        self.events
            .push(Reverse((self.now + after, self.event_count, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(kind) => {
                self.schedule_arrival(kind);
                let daemon = self.random.random_range(0..self.daemons.len());
                self.outcome.kinds[kind].asked += 1;
                self.start_request(kind, daemon, self.now, 0, None);
            }
            Event::CallerRetry {
                kind,
                daemon,
                first_sent,
                caller_retries,
            } => {
                self.start_request(kind, daemon, first_sent, caller_retries, None);
            }
            Event::ArriveAtServer(request) => self.arrive_at_server(request),
            Event::LeaveQueue(request, attempt) => self.leave_queue(request, attempt),
            Event::Finish(request, attempt) => self.finish(request, attempt),
            Event::OutcomeReported(request, outcome) => self.handle_outcome(request, outcome),
            Event::Expire(request) => self.expire(request),
        }
    }

    fn is_middle_third(&self) -> bool {
        (DURATION_MS / 3..DURATION_MS * 2 / 3).contains(&self.now)
    }

    fn schedule_arrival(&mut self, kind: usize) {
        let burst = match self.pattern.burst {
            Some((of, factor)) if of == kind && self.is_middle_third() => factor,
            _ => 1.0,
        };
        let rate =
            KINDS[kind].rate * self.pattern.relative_load * burst * self.daemons.len() as f64;
        let gap = Exp::new(rate / 1000.0).map_or(0.0, |exp| exp.sample(&mut self.random));
        // The clock counts whole milliseconds. Rounding at random keeps the mean rate.
        let gap = gap.floor() as u64 + u64::from(self.random.random_bool(gap.fract()));
        if self.now + gap < DURATION_MS {
            self.schedule(gap, Event::Arrive(kind));
        }
    }

    fn start_request(
        &mut self,
        kind: usize,
        daemon: usize,
        first_sent: u64,
        caller_retries: u32,
        parent: Option<usize>,
    ) -> usize {
        let spec = &KINDS[kind];
        let elapsed_since_first = Duration::from_millis(self.now - first_sent);
        let mut time_left = spec.deadline.saturating_sub(elapsed_since_first);
        if let Some(parent) = parent {
            let left = self.requests[parent]
                .demand
                .deadline
                .since(self.timestamp());
            time_left = time_left.min(left);
        }
        let entry_daemon = &mut self.daemons[daemon];
        entry_daemon.budget.deposit();
        let elapsed = match self.policy.targets_from_first_attempt && parent.is_none() {
            true => entry_daemon.first_attempts.elapsed(kind as u64, time_left),
            false => Duration::ZERO,
        };
        let now = Timestamp(self.now);
        let demand = Demand {
            class: kind as u64,
            priority: spec.priority,
            arrived: now,
            target_at: now + spec.target.saturating_sub(elapsed),
            deadline: now + time_left.min(spec.timeout),
        };
        let request = self.requests.len();
        self.requests.push(Request {
            kind,
            daemon,
            first_sent,
            caller_retries,
            parent,
            demand,
            attempts: Attempts::default(),
            tried_servers: Vec::new(),
            full_servers: Vec::new(),
            may_wait: true,
            server: 0,
            placed_at: 0,
            stage: Stage::InTransit,
            started_at: 0,
            in_progress: 0,
            calls_left: spec.calls,
            current_call: None,
        });
        self.schedule(
            time_left.min(spec.timeout).as_millis() as u64,
            Event::Expire(request),
        );
        self.place(request);
        request
    }

    fn place(&mut self, request: usize) {
        let req = &mut self.requests[request];
        req.may_wait = !self.policy.probes_free_slots || may_wait(req.attempts.placed);
        if req.may_wait {
            req.full_servers.clear();
        }
        let mut chosen = self.choose(request);
        if chosen.is_none() && !self.requests[request].full_servers.is_empty() {
            let req = &mut self.requests[request];
            req.may_wait = true;
            req.full_servers.clear();
            chosen = self.choose(request);
        }
        let Some(server) = chosen else {
            return self.refuse(request, NO_BACKEND_RETRY_AFTER);
        };
        let req = &mut self.requests[request];
        req.attempts.placed += 1;
        req.server = server;
        req.stage = Stage::InTransit;
        req.placed_at = self.now;
        self.daemons[req.daemon].stats[server].begin_request();
        let delay = self.delay(self.requests[request].daemon, server);
        self.schedule(delay, Event::ArriveAtServer(request));
    }

    fn choose(&mut self, request: usize) -> Option<usize> {
        let req = &self.requests[request];
        let now = Timestamp(self.now);
        let kind = &KINDS[req.kind];
        let servers: Vec<usize> = (0..self.servers.len())
            .filter(|at| self.servers[*at].service == kind.service)
            .collect();
        let daemon = &mut self.daemons[req.daemon];
        let is_usable = |at: usize| {
            let is_excluded = req.tried_servers.contains(&at) || req.full_servers.contains(&at);
            !is_excluded && daemon.stats[at].is_available(kind.priority, now)
        };
        let available: Vec<usize> = servers
            .iter()
            .copied()
            .filter(|at| is_usable(*at))
            .collect();
        if available.is_empty() {
            return None;
        }
        match self.policy.placement {
            Placement::Random => Some(available[self.random.random_range(0..available.len())]),
            Placement::RoundRobin => {
                daemon.next_server += 1;
                Some(available[daemon.next_server % available.len()])
            }
            Placement::ByCost => {
                let zone = req.daemon % ZONES;
                let service = daemon.service_times.of(req.demand.class).as_secs_f64();
                let delay = |at: usize| match self.policy.accounts_for_delay && service > 0.0 {
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
                let candidates: Vec<Candidate> = available.iter().map(candidate).collect();
                let target = req.demand.target_at.since(now).as_secs_f64();
                let random = &mut self.random;
                let need = Need {
                    service_share: service / target,
                    bytes: KINDS[req.kind].bytes,
                };
                choose_backend(&candidates, &need, || random.next_u64()).map(|at| available[at])
            }
        }
    }

    fn delay(&self, daemon: usize, server: usize) -> u64 {
        let extra = match self.is_affected(server, self.pattern.delayed) {
            true if daemon != server => EXTRA_DELAY_MS,
            _ => 0,
        };
        extra
            + match (
                daemon == server,
                self.servers[server].zone == daemon % ZONES,
            ) {
                (true, _) => 0,
                (_, true) => SAME_ZONE_DELAY_MS,
                (_, false) => CROSS_ZONE_DELAY_MS,
            }
    }

    /// Returns whether a fault that affects `share` of the backend servers affects this one now.
    fn is_affected(&self, server: usize, share: f64) -> bool {
        self.is_middle_third() && (server as f64 * 0.618).fract() < share
    }

    fn arrive_at_server(&mut self, request: usize) {
        let req = &self.requests[request];
        if req.stage == Stage::Ended {
            return;
        }
        let (server, demand) = (req.server, req.demand);
        if self.is_affected(server, self.pattern.unavailable) {
            return self.report_outcome(request, AttemptOutcome::NoBackend);
        }
        let now = self.timestamp();
        let may_wait = req.may_wait;
        match self.servers[server].offer(request, demand, may_wait, now) {
            Admission::Started => self.start(request),
            Admission::Queued(ticket) => {
                self.requests[request].stage = Stage::Waiting(ticket);
                let latest = self.servers[server].latest_start(&demand);
                let attempt = self.requests[request].attempts.placed;
                let after = latest.since(now).as_millis() as u64;
                self.schedule(after, Event::LeaveQueue(request, attempt));
                self.start_next(server);
            }
            Admission::Refused(refusal) => {
                let retry_after = refusal.retry_after.as_micros() as u64;
                let load = self.servers[server].load();
                self.report_outcome(request, AttemptOutcome::Refused { retry_after, load });
            }
        }
    }

    fn leave_queue(&mut self, request: usize, attempt: u32) {
        let req = &self.requests[request];
        let Stage::Waiting(ticket) = req.stage else {
            return;
        };
        if req.attempts.placed != attempt {
            return;
        }
        let now = self.timestamp();
        let server = &mut self.servers[req.server];
        server.remove(request, ticket);
        let refusal = server.refusal(now);
        let outcome = AttemptOutcome::Refused {
            retry_after: refusal.retry_after.as_micros() as u64,
            load: server.load(),
        };
        self.report_outcome(request, outcome);
    }

    fn start(&mut self, request: usize) {
        let req = &mut self.requests[request];
        req.stage = Stage::Running;
        req.started_at = self.now;
        req.in_progress = self.servers[req.server].in_use();
        req.calls_left = KINDS[req.kind].calls;
        self.continue_running(request);
    }

    /// Makes the next call of a running request, or starts its own work after the last call.
    fn continue_running(&mut self, request: usize) {
        let req = &mut self.requests[request];
        if req.calls_left > 0 {
            req.calls_left -= 1;
            // The daemon on the machine of the backend server places the call.
            let server = req.server;
            let call = self.start_request(CALL_KIND, server, self.now, 0, Some(request));
            self.requests[request].current_call = Some(call);
            return;
        }
        let (kind, server) = (&KINDS[req.kind], req.server);
        let slowed = match self.is_affected(server, self.pattern.slowed) {
            true => SLOWDOWN_FACTOR,
            false => 1.0,
        };
        let log_mean = kind.work_ms.ln() - kind.work_log_std_dev * kind.work_log_std_dev / 2.0;
        let work = LogNormal::new(log_mean, kind.work_log_std_dev)
            .map_or(kind.work_ms, |work| work.sample(&mut self.random));
        let crowding = match self.pattern.slows_down_early {
            true => early_slowdown(self.requests[request].in_progress),
            false => 1.0,
        };
        let work = work * slowed * crowding / self.servers[server].speed;
        let attempt = self.requests[request].attempts.placed;
        self.schedule(work.max(1.0) as u64, Event::Finish(request, attempt));
    }

    fn finish(&mut self, request: usize, attempt: u32) {
        let req = &self.requests[request];
        if req.stage != Stage::Running || req.attempts.placed != attempt {
            return;
        }
        let (server, demand, in_progress) = (req.server, req.demand, req.in_progress);
        let took = Duration::from_millis(self.now - req.started_at);
        let now = self.timestamp();
        let mean = self.servers[server].record(&demand, in_progress, took, now);
        let mean = if self.policy.reports_mean_service_time {
            mean
        } else {
            took
        };
        self.servers[server].release_slot();
        self.report_outcome(
            request,
            AttemptOutcome::Ran {
                took: took.as_micros() as u64,
                mean: mean.as_micros() as u64,
                load: self.servers[server].load(),
            },
        );
        self.start_next(server);
    }

    fn start_next(&mut self, server: usize) {
        let now = self.timestamp();
        while let Some(next) = self.servers[server].start_next(now) {
            self.start(next);
        }
    }

    /// Sends the outcome of an attempt to the daemon that placed it.
    fn report_outcome(&mut self, request: usize, outcome: AttemptOutcome) {
        let req = &mut self.requests[request];
        req.stage = Stage::InTransit;
        let delay = self.delay(self.requests[request].daemon, self.requests[request].server);
        self.schedule(delay, Event::OutcomeReported(request, outcome));
    }

    fn handle_outcome(&mut self, request: usize, outcome: AttemptOutcome) {
        let req = &self.requests[request];
        if req.stage == Stage::Ended {
            return;
        }
        let (daemon, server) = (req.daemon, req.server);
        let transit = self.delay(daemon, server);
        let req = &mut self.requests[request];
        let now = Timestamp(self.now);
        let daemon = &mut self.daemons[req.daemon];
        let stats = &daemon.stats[req.server];
        let mut had_no_free_slot = false;
        let (end, retry_after) = match outcome {
            AttemptOutcome::Ran { took, mean, load } => {
                stats.record_load(load, now);
                stats.record_result(false, now);
                // The request and its answer each take one way.
                stats.record_delay(Duration::from_millis(2 * transit), now);
                daemon
                    .service_times
                    .record(req.demand.class, Duration::from_micros(took));
                let overall = daemon.service_times.of(req.demand.class);
                stats.record_service_time(Duration::from_micros(mean), overall);
                (
                    AttemptEnd::Answered {
                        is_server_error: false,
                    },
                    Duration::ZERO,
                )
            }
            AttemptOutcome::Failed => {
                stats.record_result(true, now);
                (
                    AttemptEnd::Answered {
                        is_server_error: true,
                    },
                    Duration::ZERO,
                )
            }
            AttemptOutcome::Refused { retry_after, load } => {
                stats.record_load(load, now);
                had_no_free_slot = !req.may_wait;
                if !had_no_free_slot && self.policy.queue_discipline == QueueDiscipline::ByRank {
                    stats.suspend_for_rank(req.demand.priority, now + SUSPENSION / 2);
                }
                let retry_after = Duration::from_micros(retry_after);
                (AttemptEnd::NotRun { has_arrived: false }, retry_after)
            }
            AttemptOutcome::NoBackend => {
                stats.suspend(now + SUSPENSION);
                (
                    AttemptEnd::NotRun { has_arrived: false },
                    NO_BACKEND_RETRY_AFTER,
                )
            }
        };
        stats.end_request();
        match had_no_free_slot {
            true => req.full_servers.push(req.server),
            false => req.tried_servers.push(req.server),
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
            AttemptEnd::NotRun { .. } => self.refuse(request, retry_after),
            _ => self.fail(request),
        }
    }

    fn succeed(&mut self, request: usize) {
        let req = &mut self.requests[request];
        req.stage = Stage::Ended;
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

    /// Ends a request that did not run. Its caller may retry.
    fn refuse(&mut self, request: usize, retry_after: Duration) {
        let req = &mut self.requests[request];
        req.stage = Stage::Ended;
        if let Some(parent) = req.parent {
            return self.return_call(parent, false);
        }
        let (kind, daemon, first_sent) = (req.kind, req.daemon, req.first_sent);
        let deadline = Timestamp(first_sent) + KINDS[kind].deadline;
        let left = deadline.since(Timestamp(self.now));
        if req.caller_retries >= self.pattern.max_caller_retries || left.is_zero() {
            return;
        }
        let caller_retries = req.caller_retries + 1;
        let spread = self.random.random_range(0.5..1.5);
        let wait = retry_after.mul_f64(spread).min(left / MAX_WAIT_DIVISOR);
        self.schedule(
            wait.as_millis() as u64,
            Event::CallerRetry {
                kind,
                daemon,
                first_sent,
                caller_retries,
            },
        );
    }

    fn fail(&mut self, request: usize) {
        let req = &mut self.requests[request];
        req.stage = Stage::Ended;
        if let Some(parent) = req.parent {
            self.return_call(parent, false);
        }
    }

    /// Continues a request when its call ends. The request fails if its call failed.
    fn return_call(&mut self, parent: usize, is_served: bool) {
        let req = &mut self.requests[parent];
        req.current_call = None;
        if req.stage != Stage::Running {
            return;
        }
        if is_served {
            return self.continue_running(parent);
        }
        let server = req.server;
        self.servers[server].release_slot();
        self.report_outcome(parent, AttemptOutcome::Failed);
        self.start_next(server);
    }

    /// Ends a request at its timeout, together with its call in progress.
    fn expire(&mut self, request: usize) {
        let req = &mut self.requests[request];
        let stage = std::mem::replace(&mut req.stage, Stage::Ended);
        if stage == Stage::Ended {
            return;
        }
        let (daemon, server, parent, call) =
            (req.daemon, req.server, req.parent, req.current_call.take());
        let waited = Duration::from_millis(self.now - req.placed_at);
        let now = Timestamp(self.now);
        let stats = &self.daemons[daemon].stats[server];
        stats.end_request();
        stats.record_delay(waited, now);
        match stage {
            Stage::Running => {
                self.servers[server].release_slot();
                self.start_next(server);
            }
            Stage::Waiting(ticket) => self.servers[server].remove(request, ticket),
            Stage::InTransit | Stage::Ended => {}
        }
        if let Some(call) = call {
            self.expire(call);
        }
        if let Some(parent) = parent {
            self.return_call(parent, false);
        }
    }
}
