//! Load patterns.

use std::time::Duration;

/// A service of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    /// Runs what callers ask for.
    Orders,
    /// Runs what callers ask for, and calls of `Orders`.
    Catalogue,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) service: Service,
    pub(crate) is_idempotent: bool,
    pub(crate) priority: u8,
    /// Mean work at a backend server of speed 1, in milliseconds. It is distributed log-normally.
    pub(crate) work_ms: f64,
    /// Standard deviation of the logarithm of the work.
    pub(crate) work_log_std_dev: f64,
    pub(crate) target: Duration,
    pub(crate) deadline: Duration,
    pub(crate) timeout: Duration,
    /// Worth of an answer within the target, and of a later one.
    pub(crate) worth: f64,
    pub(crate) late_worth: f64,
    /// Calls of the kind [`CALL_KIND`] that it makes while it holds its slot.
    pub(crate) calls: u32,
    /// Requests a second and backend server, zero for calls.
    pub(crate) rate: f64,
}

/// Position of the kind of the calls that other requests make.
pub(crate) const CALL_KIND: usize = 3;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The kinds of request. The first two go to `Orders`, the others to `Catalogue`.
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
        calls: 0,
        rate: 0.0,
    },
];

/// Time that a slow daemon adds to a request and to its answer, in milliseconds.
pub(crate) const EXTRA_DELAY_MS: u64 = 150;

/// A load over time on a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pattern {
    pub(crate) name: &'static str,
    /// Machines. Three in five have a backend server of `Orders`.
    pub(crate) machines: usize,
    /// Load relative to [`Kind::rate`].
    pub(crate) relative_load: f64,
    /// Kind whose load is multiplied in the middle third, and by how much.
    pub(crate) burst: Option<(usize, f64)>,
    /// Share of the backend servers that are four times slower in the middle third.
    pub(crate) slowed: f64,
    /// Share of the machines whose daemons take [`EXTRA_DELAY_MS`] longer in the middle third.
    pub(crate) delayed: f64,
    /// Share of the backend servers that take nothing in the middle third.
    pub(crate) unavailable: f64,
    /// Times that a caller comes back after a refusal.
    pub(crate) max_caller_retries: u32,
}

impl Pattern {
    const QUIET: Self = Self {
        name: "quiet",
        machines: 50,
        relative_load: 0.75,
        burst: None,
        slowed: 0.0,
        delayed: 0.0,
        unavailable: 0.0,
        max_caller_retries: 1,
    };

    /// All patterns.
    pub(crate) const ALL: [Self; 8] = [
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
