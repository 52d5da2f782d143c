//! A simulated backend server: its admission control, its slots and the latencies it reports.

use std::collections::VecDeque;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::ranks::LatencySample;

use crate::admission::{Admission, CallNumber};

/// Number of requests that take longer after a restart.
const COLD_REQUESTS: u32 = 300;
/// Factor on the service times of requests after a restart.
const COLD_SLOWDOWN: f64 = 3.0;

/// A request that has been admitted.
#[derive(Clone, Copy)]
pub(crate) struct Running {
    pub(crate) call: CallNumber,
    pub(crate) rank: usize,
    pub(crate) admitted_us: u64,
}

/// A simulated backend server.
pub(crate) struct Server {
    pub(crate) admission: Admission,
    pub(crate) is_up: bool,
    /// Number of failures. A request that started in an earlier epoch is lost, and its end is
    /// ignored.
    pub(crate) epoch: u32,
    /// Requests that have been admitted.
    pub(crate) in_flight: Vec<Running>,
    /// Admitted requests that wait in the back end because its slots are taken.
    pub(crate) backlog: VecDeque<Running>,
    /// Slots of the back end, which may be fewer than configured.
    slots: u32,
    busy: u32,
    /// Requests that still take longer after the restart.
    cold_left: u32,
    /// Latencies since the last tick, by rank.
    samples: Vec<LatencySample>,
}

impl Server {
    pub(crate) fn new(admission: Admission, slots: u32, ranks: usize) -> Self {
        Self {
            admission,
            is_up: true,
            epoch: 0,
            in_flight: Vec::new(),
            backlog: VecDeque::new(),
            slots,
            busy: 0,
            cold_left: 0,
            samples: vec![LatencySample::default(); ranks],
        }
    }

    pub(crate) fn is_below_limit(&self) -> bool {
        (self.in_flight.len() as u32) < self.admission.limit()
    }

    /// Takes an admitted request. Returns it if a slot of the back end is free, so that it starts
    /// now.
    pub(crate) fn admit(&mut self, running: Running) -> Option<Running> {
        self.in_flight.push(running);
        if self.busy == self.slots {
            self.backlog.push_back(running);
            return None;
        }
        self.busy += 1;
        Some(running)
    }

    /// Returns the factor on the service time of the next request.
    pub(crate) fn next_slowdown(&mut self) -> f64 {
        match self.cold_left {
            0 => 1.0,
            _ => {
                self.cold_left -= 1;
                COLD_SLOWDOWN
            }
        }
    }

    /// Ends a request. Returns the next one from the backlog of the back end, which starts now.
    pub(crate) fn finish(&mut self, running: Running, now_us: u64) -> Option<Running> {
        self.in_flight.retain(|other| other.call != running.call);
        let sample = &mut self.samples[running.rank];
        sample.finished += 1;
        sample.latency_sum_us += now_us - running.admitted_us;
        let next = self.backlog.pop_front();
        if next.is_none() {
            self.busy -= 1;
        }
        next
    }

    /// Takes the server down. Returns the requests that were in flight.
    pub(crate) fn fail(&mut self) -> Vec<Running> {
        self.is_up = false;
        self.epoch += 1;
        self.busy = 0;
        self.backlog.clear();
        std::mem::take(&mut self.in_flight)
    }

    pub(crate) fn restart(&mut self, admission: Admission) {
        self.admission = admission;
        self.is_up = true;
        self.cold_left = COLD_REQUESTS;
    }

    pub(crate) fn tick(&mut self, now: Timestamp) {
        let in_flight = self.in_flight.len() as u32;
        self.admission.tick(&self.samples, in_flight, now);
        self.samples.fill(LatencySample::default());
    }
}
