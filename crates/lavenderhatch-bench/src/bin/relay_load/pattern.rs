//! Kinds of request and load patterns.

use std::time::Duration;

/// A service of the simulated fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    /// Serves requests of callers.
    Orders,
    /// Serves requests of callers, and calls that `Orders` makes.
    Catalogue,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) service: Service,
    pub(crate) is_idempotent: bool,
    pub(crate) priority: u8,
    /// Mean service time at a backend server of speed 1, in milliseconds, log-normally distributed.
    pub(crate) work_ms: f64,
    /// Standard deviation of the logarithm of the service time.
    pub(crate) work_log_std_dev: f64,
    /// Latency up to which an answer has its full worth.
    pub(crate) target: Duration,
    /// Time limit over all attempts of a caller.
    pub(crate) deadline: Duration,
    /// Time limit of a single attempt of a caller.
    pub(crate) timeout: Duration,
    /// Worth of an answer within the target.
    pub(crate) worth: f64,
    /// Worth of an answer after the target.
    pub(crate) late_worth: f64,
    /// Bytes of a request and its answer.
    pub(crate) bytes: f64,
    /// Number of calls of the kind [`CALL_KIND`] that the request makes while it holds its slot.
    pub(crate) calls: u32,
    /// Requests per second and backend server, zero for calls.
    pub(crate) rate: f64,
}

/// Index in [`KINDS`] of the calls that other requests make.
pub(crate) const CALL_KIND: usize = 3;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// All kinds of request.
///
/// The first two go to `Orders`, the others to `Catalogue`.
pub(crate) const KINDS: [Kind; 4] = [
    Kind {
        name: "check",
        service: Service::Orders,
        is_idempotent: true,
        priority: 0,
        work_ms: 200.0,
        work_log_std_dev: 0.8,
        target: ms(500),
        deadline: ms(2500),
        timeout: ms(1200),
        worth: 1.4,
        late_worth: 0.28,
        bytes: 6000.0,
        calls: 2,
        rate: 11.0,
    },
    Kind {
        name: "order",
        service: Service::Orders,
        is_idempotent: false,
        priority: 1,
        work_ms: 260.0,
        work_log_std_dev: 0.8,
        target: ms(800),
        deadline: ms(3000),
        timeout: ms(1500),
        worth: 1.5,
        late_worth: 0.75,
        bytes: 5400.0,
        calls: 0,
        rate: 4.5,
    },
    Kind {
        name: "list",
        service: Service::Catalogue,
        is_idempotent: true,
        priority: 2,
        work_ms: 510.0,
        work_log_std_dev: 0.3,
        target: ms(3000),
        deadline: ms(6000),
        timeout: ms(3000),
        worth: 0.37,
        late_worth: 0.28,
        bytes: 6000.0,
        calls: 0,
        rate: 3.8,
    },
    Kind {
        name: "call",
        service: Service::Catalogue,
        is_idempotent: true,
        priority: 1,
        work_ms: 51.0,
        work_log_std_dev: 0.5,
        target: ms(200),
        deadline: ms(600),
        timeout: ms(600),
        worth: 0.0,
        late_worth: 0.0,
        bytes: 1000.0,
        calls: 0,
        rate: 0.0,
    },
];

/// Delay that a slow daemon adds to a request and again to its answer, in milliseconds.
pub(crate) const EXTRA_DELAY_MS: u64 = 150;

/// The load on a fleet over time, with faults.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pattern {
    pub(crate) name: &'static str,
    /// Number of machines. Three in five run a backend server of `Orders`.
    pub(crate) machines: usize,
    /// Factor on [`Kind::rate`].
    pub(crate) relative_load: f64,
    /// Index of the kind whose rate is multiplied in the middle third, and the factor.
    pub(crate) burst: Option<(usize, f64)>,
    /// Share of the backend servers that are four times slower in the middle third.
    pub(crate) slowed: f64,
    /// Whether backend servers slow down from 0.6 of their slots on, to half of their speed with all
    /// slots in use, as measured on one deployment.
    pub(crate) slows_down_early: bool,
    /// Share of the machines whose daemons add [`EXTRA_DELAY_MS`] in the middle third.
    pub(crate) delayed: f64,
    /// Share of the backend servers that accept no requests in the middle third.
    pub(crate) unavailable: f64,
    /// Number of times that a caller retries after a refusal.
    pub(crate) max_caller_retries: u32,
}

impl Pattern {
    const QUIET: Self = Self {
        name: "quiet",
        machines: 50,
        relative_load: 0.75,
        burst: None,
        slowed: 0.0,
        slows_down_early: false,
        delayed: 0.0,
        unavailable: 0.0,
        max_caller_retries: 1,
    };

    /// All patterns.
    pub(crate) const ALL: [Self; 10] = [
        Self::QUIET,
        Self {
            name: "few machines, busy",
            machines: 10,
            relative_load: 1.2,
            ..Self::QUIET
        },
        Self {
            name: "busy",
            relative_load: 1.2,
            ..Self::QUIET
        },
        Self {
            name: "twice the capacity",
            relative_load: 3.2,
            ..Self::QUIET
        },
        Self {
            name: "flood of lists",
            relative_load: 1.0,
            burst: Some((2, 4.0)),
            ..Self::QUIET
        },
        Self {
            name: "slowed servers",
            relative_load: 1.0,
            slowed: 0.2,
            ..Self::QUIET
        },
        Self {
            name: "early slowdown",
            relative_load: 0.9,
            slows_down_early: true,
            ..Self::QUIET
        },
        Self {
            name: "early slowdown, busy",
            relative_load: 1.2,
            slows_down_early: true,
            ..Self::QUIET
        },
        Self {
            name: "slow daemons",
            relative_load: 1.0,
            delayed: 0.2,
            ..Self::QUIET
        },
        Self {
            name: "half of the servers lost",
            relative_load: 1.0,
            unavailable: 0.5,
            max_caller_retries: 2,
            ..Self::QUIET
        },
    ];
}
