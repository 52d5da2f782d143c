//! Ways to place requests and to let them wait, to compare.

/// How a daemon chooses the backend server of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placing {
    /// Any one that takes requests.
    Random,
    /// One after the other.
    RoundRobin,
    /// By [`lavenderhatch_decide::relay::choose_backend`].
    ByCost,
}

/// How requests wait for a slot of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Waiting {
    /// In the order of their arrival, until their deadline.
    InOrder,
    /// In the order of their arrival, at most this many; others are refused.
    Limited(usize),
    /// In [`lavenderhatch_decide::relay::SlotQueue`].
    ByRank,
}

/// A combination of decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Policy {
    pub(crate) name: &'static str,
    pub(crate) placing: Placing,
    pub(crate) waiting: Waiting,
    /// Whether a request looks for a free slot before it waits.
    pub(crate) looks: bool,
    /// Whether an answer tells the mean service time of its kind, and not only its own.
    pub(crate) tells_means: bool,
    /// Whether the time of an attempt beyond its time at the daemon counts.
    pub(crate) sees_delays: bool,
    /// Whether the target counts from the caller's first attempt.
    pub(crate) counts_first_attempts: bool,
}

impl Policy {
    /// What the daemon does.
    const PRESENT: Self = Self {
        name: "present",
        placing: Placing::ByCost,
        waiting: Waiting::ByRank,
        looks: true,
        tells_means: true,
        sees_delays: true,
        counts_first_attempts: true,
    };

    /// All that are compared, the present one last.
    pub(crate) const ALL: [Self; 9] = [
        Self {
            name: "random, in order",
            placing: Placing::Random,
            waiting: Waiting::InOrder,
            looks: false,
            ..Self::PRESENT
        },
        Self {
            name: "round robin, in order",
            placing: Placing::RoundRobin,
            waiting: Waiting::InOrder,
            looks: false,
            ..Self::PRESENT
        },
        Self {
            name: "random, fixed limit",
            placing: Placing::Random,
            waiting: Waiting::Limited(6),
            looks: false,
            ..Self::PRESENT
        },
        Self {
            name: "by cost, in order",
            waiting: Waiting::InOrder,
            looks: false,
            ..Self::PRESENT
        },
        Self {
            name: "no look",
            looks: false,
            ..Self::PRESENT
        },
        Self {
            name: "single service times",
            tells_means: false,
            ..Self::PRESENT
        },
        Self {
            name: "blind to delays",
            sees_delays: false,
            ..Self::PRESENT
        },
        Self {
            name: "last attempt only",
            counts_first_attempts: false,
            ..Self::PRESENT
        },
        Self::PRESENT,
    ];
}
