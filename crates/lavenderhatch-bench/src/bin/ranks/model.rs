//! Discrete-event queueing model of one service, in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lavenderhatch_core::{ErrorKind, Timestamp};
use lavenderhatch_decide::ranks::{RankTable, Request};
use lavenderhatch_decide::retry::{FailedAttempt, RetryCost, retry_cost};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::admission::{Admission, CallNumber, Variant};
use crate::entry_daemon::{EntryDaemon, ZONES};
use crate::outcome::Outcome;
use crate::scenario::{Fault, RANKS, SERVERS, SERVICE_US, SLOTS, Scenario};
use crate::server::{Running, Server};

const SECOND_US: u64 = 1_000_000;
/// Time between two runs of the load controller, in microseconds.
const TICK_US: u64 = 20_000;
/// Time between two updates of availability and weights at the daemons, in microseconds. It is the
/// longest time in which a lost backend server goes unnoticed.
const DETECTION_US: u64 = 100_000;
/// Downtime of a backend server that comes back, in microseconds.
const DOWN_US: u64 = SECOND_US;
/// Maximum number of backend servers tried for one call.
const MAX_ATTEMPTS: usize = 3;
/// Deposit to the retry budget for each call.
const RETRY_RATIO: f64 = 0.1;
/// Index of the backend server that fails.
const FAILING: usize = 1;

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a call of this rank.
    Arrive {
        rank: usize,
    },
    /// An attempt reaches its backend server.
    ArriveAtServer {
        call: CallNumber,
        server: usize,
    },
    /// A backend server has run an attempt.
    Finish {
        server: usize,
        epoch: u32,
        call: CallNumber,
        rank: usize,
        admitted_us: u64,
    },
    /// The answer to an attempt reaches the daemon at which the call entered.
    Answer {
        call: CallNumber,
        server: usize,
        error: Option<ErrorCode>,
    },
    Tick,
    Heartbeat,
    UpdateWeights,
    Fail,
    Restart,
}

/// Code of an [`ErrorKind`]. Events need an order, and the code has one.
type ErrorCode = u16;

struct Call {
    rank: usize,
    zone: usize,
    start_us: u64,
    tried: Vec<usize>,
}

/// A simulation of one variant under one scenario.
pub(crate) struct Model<'a> {
    scenario: Scenario,
    variant: Variant,
    table: &'a RankTable,
    rng: Pcg64Mcg,
    now_us: u64,
    end_us: u64,
    warm_up_us: u64,
    /// Pending events with their time and sequence number.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    event_count: u64,
    calls: Vec<Call>,
    servers: Vec<Server>,
    daemons: Vec<EntryDaemon>,
    outcome: Outcome,
}

impl<'a> Model<'a> {
    pub(crate) fn new(
        scenario: Scenario,
        variant: Variant,
        table: &'a RankTable,
        rng: Pcg64Mcg,
        seconds: u64,
    ) -> eyre::Result<Self> {
        let slots = match scenario.fault {
            Fault::HalfSlots => SLOTS / 2,
            _ => SLOTS,
        };
        let server = || Server::new(Admission::new(variant, table), slots, table.ranks().len());
        let daemons: eyre::Result<Vec<EntryDaemon>> = (0..ZONES).map(EntryDaemon::new).collect();
        let warm_up_us = 2 * SECOND_US;
        let mut model = Self {
            scenario,
            variant,
            table,
            rng,
            now_us: 0,
            end_us: warm_up_us + seconds * SECOND_US,
            warm_up_us,
            events: BinaryHeap::new(),
            event_count: 0,
            calls: Vec::new(),
            servers: (0..SERVERS).map(|_| server()).collect(),
            daemons: daemons?,
            outcome: Outcome::new(seconds),
        };
        model.schedule_initial_events();
        Ok(model)
    }

    fn schedule_initial_events(&mut self) {
        for rank in 0..RANKS.len() {
            self.schedule_at(0, Event::Arrive { rank });
        }
        self.schedule_at(TICK_US, Event::Tick);
        self.schedule_at(SECOND_US, Event::Heartbeat);
        self.schedule_at(DETECTION_US, Event::UpdateWeights);
        if matches!(self.scenario.fault, Fault::ServerLost | Fault::ColdStart) {
            self.schedule_at(self.warm_up_us + SECOND_US, Event::Fail);
        }
        if self.scenario.fault == Fault::ColdStart {
            self.schedule_at(self.warm_up_us + SECOND_US + DOWN_US, Event::Restart);
        }
    }

    /// Runs the simulation and returns its results.
    pub(crate) fn run(mut self) -> Outcome {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > self.end_us {
                break;
            }
            self.now_us = time;
            self.handle(event);
        }
        self.outcome
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { rank } => self.arrive(rank),
            Event::ArriveAtServer { call, server } => self.arrive_at_server(call, server),
            Event::Finish {
                server,
                epoch,
                call,
                rank,
                admitted_us,
            } => {
                if self.servers[server].epoch == epoch {
                    self.finish(
                        server,
                        Running {
                            call,
                            rank,
                            admitted_us,
                        },
                    );
                }
            }
            Event::Answer {
                call,
                server,
                error,
            } => self.handle_answer(call, server, error),
            Event::Tick => self.tick(),
            Event::Heartbeat => {
                let servers = &self.servers;
                let load = |at: usize| servers[at].in_flight.len() as u32;
                self.daemons
                    .iter()
                    .for_each(|daemon| daemon.set_reported_load(load));
                self.schedule_after(SECOND_US, Event::Heartbeat);
            }
            Event::UpdateWeights => {
                let (servers, now_us) = (&self.servers, self.now_us);
                let is_up = |at: usize| servers[at].is_up;
                self.daemons
                    .iter_mut()
                    .for_each(|daemon| daemon.update_availability(is_up, now_us));
                self.schedule_after(DETECTION_US, Event::UpdateWeights);
            }
            Event::Fail => self.fail_server(),
            Event::Restart => {
                let admission = Admission::new(self.variant, self.table);
                self.servers[FAILING].restart(admission);
            }
        }
    }

    fn arrive(&mut self, rank: usize) {
        let gap = self.exponential(1e6 / self.scenario.rates()[rank]);
        self.schedule_after(gap, Event::Arrive { rank });
        let zone = self.rng.random_range(0..ZONES);
        let call = self.calls.len();
        self.calls.push(Call {
            rank,
            zone,
            start_us: self.now_us,
            tried: Vec::new(),
        });
        if self.is_measured(call) {
            self.outcome.offer(rank);
        }
        self.daemons[zone].deposit(RETRY_RATIO);
        self.try_next_server(call);
    }

    /// Sends a call to the next backend server. Returns `false` if there is none left.
    fn try_next_server(&mut self, call: CallNumber) -> bool {
        let random = self.rng.random();
        let Call { zone, tried, .. } = &self.calls[call];
        let is_random = self.variant == Variant::RandomChoice;
        let Some(server) = self.daemons[*zone].choose(tried, random, is_random) else {
            return false;
        };
        let delay = self.daemons[*zone].start(server);
        self.calls[call].tried.push(server);
        self.schedule_after(delay, Event::ArriveAtServer { call, server });
        true
    }

    fn arrive_at_server(&mut self, call: CallNumber, server: usize) {
        if !self.servers[server].is_up {
            return self.send_answer(call, server, Some(ErrorKind::NoBackend));
        }
        let (now, rank) = (self.now(), self.calls[call].rank);
        let target = &mut self.servers[server];
        if target.is_below_limit() && target.admission.queue_length() == 0 {
            target.admission.charge_unqueued(rank, now);
            return self.admit(server, call, rank);
        }
        let left_us = RANKS[rank].timeout_ms * 1000;
        let deadline = Timestamp((self.calls[call].start_us + left_us) / 1000);
        let request = Request {
            item: call,
            rank,
            arrived: now,
            deadline,
        };
        target.admission.offer(request, now);
        self.dispatch(server);
    }

    fn dispatch(&mut self, server: usize) {
        let now = self.now();
        while self.servers[server].is_below_limit() {
            let Some(granted) = self.servers[server].admission.next(now) else {
                break;
            };
            self.admit(server, granted.item, granted.rank);
        }
        for refused in self.servers[server].admission.take_refused() {
            self.send_answer(refused.item, server, Some(refused.kind));
        }
    }

    fn admit(&mut self, server: usize, call: CallNumber, rank: usize) {
        let running = Running {
            call,
            rank,
            admitted_us: self.now_us,
        };
        if let Some(running) = self.servers[server].admit(running) {
            self.start_service(server, running);
        }
    }

    fn start_service(&mut self, server: usize, running: Running) {
        let slowdown = self.servers[server].next_slowdown();
        let time = self.exponential(SERVICE_US * slowdown);
        let Running {
            call,
            rank,
            admitted_us,
        } = running;
        let epoch = self.servers[server].epoch;
        self.schedule_after(
            time,
            Event::Finish {
                server,
                epoch,
                call,
                rank,
                admitted_us,
            },
        );
    }

    fn finish(&mut self, server: usize, running: Running) {
        self.send_answer(running.call, server, None);
        if let Some(next) = self.servers[server].finish(running, self.now_us) {
            self.start_service(server, next);
        }
        self.dispatch(server);
    }

    /// Sends an answer back to the daemon at which the call entered.
    fn send_answer(&mut self, call: CallNumber, server: usize, error: Option<ErrorKind>) {
        let delay = self.daemons[self.calls[call].zone].delay_us(server);
        let error = error.map(ErrorKind::code);
        self.schedule_after(
            delay,
            Event::Answer {
                call,
                server,
                error,
            },
        );
    }

    fn handle_answer(&mut self, call: CallNumber, server: usize, error: Option<ErrorCode>) {
        let Call {
            zone,
            rank,
            start_us,
            ref tried,
        } = self.calls[call];
        self.daemons[zone].finish(server);
        let latency_us = self.now_us - start_us;
        let Some(code) = error else {
            if self.is_measured(call) {
                self.outcome.answer(rank, latency_us);
            }
            return;
        };
        let failure = FailedAttempt::from_error(ErrorKind::from_code(code), true, false);
        let is_in_time = latency_us < RANKS[rank].timeout_ms * 1000 && tried.len() < MAX_ATTEMPTS;
        let is_retried = is_in_time
            && match retry_cost(&failure) {
                Some(RetryCost::Token) => self.daemons[zone].withdraw(),
                Some(RetryCost::Free) => true,
                None => false,
            };
        if (!is_retried || !self.try_next_server(call)) && self.is_measured(call) {
            self.outcome.refuse(rank);
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        for server in 0..SERVERS {
            if self.servers[server].is_up {
                self.servers[server].tick(now);
                self.dispatch(server);
            }
        }
        self.schedule_after(TICK_US, Event::Tick);
    }

    fn fail_server(&mut self) {
        for running in self.servers[FAILING].fail() {
            self.send_answer(running.call, FAILING, Some(ErrorKind::BackendFailed));
        }
        // Requests in the queue of the lost daemon fail with it.
        let now = self.now();
        while let Some(granted) = self.servers[FAILING].admission.next(now) {
            self.send_answer(granted.item, FAILING, Some(ErrorKind::BackendFailed));
        }
        for refused in self.servers[FAILING].admission.take_refused() {
            self.send_answer(refused.item, FAILING, Some(ErrorKind::BackendFailed));
        }
    }

    /// Returns whether a call is measured: it arrived after the warm-up, and more than a second
    /// before the end so that it can still be answered.
    fn is_measured(&self, call: CallNumber) -> bool {
        let start = self.calls[call].start_us;
        start >= self.warm_up_us && start + SECOND_US < self.end_us
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.now_us / 1000)
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let uniform: f64 = self.rng.random();
        (-(1.0 - uniform).ln() * mean) as u64
    }

    fn schedule_after(&mut self, delay_us: u64, event: Event) {
        self.schedule_at(self.now_us + delay_us, event);
    }

    fn schedule_at(&mut self, time_us: u64, event: Event) {
        // Events at the same time are handled in the order in which they were scheduled.
        self.event_count += 1;
        self.events
            .push(Reverse((time_us, self.event_count, event)));
    }
}
