//! Queue of requests that wait for a slot of a backend server.

use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::demand::Demand;
use super::rank_loads::RankLoads;
use super::rate_limiter::RateLimiter;
use super::service_times::ServiceTimes;

/// Slot time credited to the least urgent rank per slot time of more urgent requests that overtake
/// it. It gives that rank 15% of the total slot time, so that it is not starved.
const CREDIT_RATE: f64 = 0.15 / 0.85;
/// Minimum advised delay before a refused request is retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(u64);

/// Refusal of a request, which did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which a slot is expected to be free.
    pub retry_after: Duration,
}

#[derive(Debug)]
struct WaitingRequest<T> {
    ticket: Ticket,
    demand: Demand,
    item: T,
}

/// Priority queue of requests that wait for a slot of a backend server.
///
/// It handles arrivals above the capacity of the backend server. Requests that can still meet their
/// target go first, ordered by rank and then by target time. A request that is not expected to
/// start in time is refused on arrival, so that its caller does not wait in vain and can retry.
/// Long requests leave some slots free for short urgent ones.
#[derive(Debug)]
pub struct SlotQueue<T> {
    waiting: Vec<WaitingRequest<T>>,
    next_ticket: u64,
    service: ServiceTimes,
    loads: RankLoads,
    /// Slot time owed to the least urgent rank that waits. It is counted in time because long
    /// requests would take most of the slots if every few requests one of them went first.
    credit: Duration,
    /// Limit that the backend server has named, while it names one.
    rate: Option<RateLimiter>,
}

impl<T> Default for SlotQueue<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            next_ticket: 0,
            service: ServiceTimes::default(),
            loads: RankLoads::default(),
            credit: Duration::ZERO,
            rate: None,
        }
    }
}

impl<T> SlotQueue<T> {
    /// Queues a request for one of `slots` slots.
    ///
    /// # Errors
    ///
    /// Refuses the request if it is not expected to start in time.
    pub fn offer(
        &mut self,
        item: T,
        demand: Demand,
        slots: u32,
        now: Timestamp,
    ) -> Result<Ticket, Refusal> {
        self.check(&demand, slots, now)?;
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push(WaitingRequest {
            ticket,
            demand,
            item,
        });
        Ok(ticket)
    }

    /// Checks whether a request is expected to start in time.
    ///
    /// # Errors
    ///
    /// Returns the refusal that [`Self::offer`] would return.
    pub fn check(&self, demand: &Demand, slots: u32, now: Timestamp) -> Result<(), Refusal> {
        let wait = self.expected_wait(demand, slots, now);
        let service = self.service.of(demand.class);
        match slots == 0 || now + wait > demand.latest_start(service) {
            true => Err(self.refusal(slots, now)),
            false => Ok(()),
        }
    }

    /// Returns the position of the request that gets the next of `free` free slots out of `slots`,
    /// or `None` if no request waits, the rate limit is reached or the free slots are reserved for
    /// more urgent requests.
    pub fn next(&self, free: u32, slots: u32, now: Timestamp) -> Option<usize> {
        if !self.is_within_rate(now) {
            return None;
        }
        let may_start = |demand: &Demand| free > self.reserved(demand, slots, now);
        let lowest_rank = self.waiting.iter().map(|w| w.demand.priority).max()?;
        let is_credited = |demand: &Demand| {
            demand.priority == lowest_rank && self.credit >= self.service.of(demand.class)
        };
        if !self.credit.is_zero() && self.waiting.iter().any(|w| is_credited(&w.demand)) {
            return self.best(now, is_credited);
        }
        self.best(now, may_start)
    }

    /// Removes the request at a position that [`Self::next`] returned, and updates the credit.
    pub fn take(&mut self, at: usize) -> T {
        let WaitingRequest { demand, item, .. } = self.waiting.swap_remove(at);
        let service = self.service.of(demand.class);
        let is_less_urgent = |other: &WaitingRequest<T>| other.demand.priority > demand.priority;
        match self.waiting.iter().any(is_less_urgent) {
            true => self.credit += service.mul_f64(CREDIT_RATE),
            false => self.credit = self.credit.saturating_sub(service),
        }
        item
    }

    /// Sets the requests per second that the backend server takes, or no limit.
    pub fn set_rate(&mut self, rate: Option<f64>, now: Timestamp) {
        match (&mut self.rate, rate) {
            (Some(limiter), Some(rate)) => limiter.set_rate(rate, now),
            (_, rate) => self.rate = rate.map(|rate| RateLimiter::new(rate, now)),
        }
    }

    /// Whether another request may start without exceeding the rate limit.
    pub fn is_within_rate(&self, now: Timestamp) -> bool {
        self.rate.is_none_or(|limiter| limiter.has_token(now))
    }

    /// Records the start of a request, which counts towards the rate limit.
    pub fn record_start(&mut self, now: Timestamp) {
        if let Some(limiter) = &mut self.rate {
            limiter.record_start(now);
        }
    }

    /// Returns the time after which the rate limit lets the next waiting request start; `None` if
    /// no request waits for it.
    pub fn time_to_next_start(&self, now: Timestamp) -> Option<Duration> {
        let wait = self.rate.map(|limiter| limiter.time_to_start(1, now));
        wait.filter(|wait| !wait.is_zero() && !self.waiting.is_empty())
    }

    /// Returns the number of slots that a request must leave free for more urgent ones.
    pub fn reserved(&self, demand: &Demand, slots: u32, now: Timestamp) -> u32 {
        let service = self.service.of(demand.class);
        self.loads.reserved(demand.priority, service, slots, now)
    }

    /// Removes a request that no longer waits. Returns whether it was queued.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        let at = self.waiting.iter().position(|w| w.ticket == ticket);
        at.map(|at| self.waiting.swap_remove(at)).is_some()
    }

    /// Removes all requests, when the backend server accepts no more.
    pub fn drain(&mut self) -> Vec<T> {
        self.waiting.drain(..).map(|waiting| waiting.item).collect()
    }

    /// Records the time for which a request held its slot, for its class and its rank.
    pub fn record(&mut self, class: u64, priority: u8, took: Duration, now: Timestamp) {
        self.service.record(class, took);
        self.loads.record(priority, took, now);
    }

    /// Returns the mean service time of a request class.
    pub fn service_time(&self, class: u64) -> Duration {
        self.service.of(class)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the refusal for a request that gets no slot.
    pub fn refusal(&self, slots: u32, now: Timestamp) -> Refusal {
        let position = self.waiting.len() as u32 + 1;
        let wait = self.service.overall() * position / slots.max(1);
        Refusal {
            retry_after: wait.max(self.rate_wait(position, now)).max(MIN_RETRY_AFTER),
        }
    }

    /// Expected time until a request starts, after those that go ahead of it.
    fn expected_wait(&self, demand: &Demand, slots: u32, now: Timestamp) -> Duration {
        let goes_ahead = |other: &&WaitingRequest<T>| other.demand.priority <= demand.priority;
        let ahead = self.waiting.iter().filter(goes_ahead);
        let position = ahead.clone().count() as u32 + 1;
        let work: Duration = ahead.map(|w| self.service.of(w.demand.class)).sum();
        // On average, a slot becomes free every service time divided by the number of slots.
        let slot_wait = (work + self.service.overall()) / slots.max(1);
        slot_wait.max(self.rate_wait(position, now))
    }

    /// Time until the rate limit lets the request at a position of the queue start.
    fn rate_wait(&self, position: u32, now: Timestamp) -> Duration {
        let limiter = self.rate.as_ref();
        limiter.map_or(Duration::ZERO, |limiter| {
            limiter.time_to_start(position, now)
        })
    }

    fn best(&self, now: Timestamp, is_eligible: impl Fn(&Demand) -> bool) -> Option<usize> {
        let key = |at: &usize| {
            let demand = &self.waiting[*at].demand;
            let service = self.service.of(demand.class);
            let is_late = !demand.is_on_time(service, now);
            (is_late, demand.priority, demand.target_at)
        };
        (0..self.waiting.len())
            .filter(|at| is_eligible(&self.waiting[*at].demand))
            .min_by_key(key)
    }
}
