//! A backend server of the model: its gate, its slots and what it has finished.

use std::collections::VecDeque;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::ranks::LatencySample;

use crate::admission::{Admission, CallNumber};

/// Requests after a restart that take longer.
const COLD_REQUESTS: u32 = 300;
/// Factor by which they take longer.
const COLD_SLOWDOWN: f64 = 3.0;

/// A request that has passed the gate.
#[derive(Clone, Copy)]
pub(crate) struct Running {
    pub(crate) call: CallNumber,
    pub(crate) rank: usize,
    pub(crate) admitted_us: u64,
}

/// A backend server.
pub(crate) struct Server {
    pub(crate) admission: Admission,
    pub(crate) is_up: bool,
    /// Counts restarts, so that work begun before one is not finished after it.
    pub(crate) epoch: u32,
    /// Passed the gate.
    pub(crate) in_flight: Vec<Running>,
    /// Passed the gate while all slots were taken.
    pub(crate) backlog: VecDeque<Running>,
    /// Slots that the back end really has.
    slots: u32,
    busy: u32,
    cold_left: u32,
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

    /// Takes a request that has passed the gate. Returns it if a slot of the back end is free.
    pub(crate) fn admit(&mut self, running: Running) -> Option<Running> {
        self.in_flight.push(running);
        if self.busy == self.slots {
            self.backlog.push_back(running);
            return None;
        }
        self.busy += 1;
        Some(running)
    }

    /// Factor on the service time of the next request.
    pub(crate) fn next_slowdown(&mut self) -> f64 {
        match self.cold_left {
            0 => 1.0,
            _ => {
                self.cold_left -= 1;
                COLD_SLOWDOWN
            }
        }
    }

    /// Ends a request. Returns the next one of the back end's own backlog.
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

    /// Takes the server down. Returns the calls that run.
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
