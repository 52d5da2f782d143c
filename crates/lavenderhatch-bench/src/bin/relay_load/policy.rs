//! Policies for placing and queueing requests.

/// How a daemon chooses the backend server of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// Picks an available one at random.
    Random,
    /// Picks the available ones in turn.
    RoundRobin,
    /// Picks by cost with [`lavenderhatch_decide::relay::choose_backend`].
    ByCost,
}

/// How requests wait for a slot of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueDiscipline {
    /// Requests start in the order of their arrival and wait until their deadline.
    Fifo,
    /// Requests start in the order of their arrival. At most this many wait, others are refused.
    BoundedFifo(usize),
    /// Requests wait in a [`lavenderhatch_decide::relay::SlotQueue`].
    ByRank,
}

/// A combination of decisions to compare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Policy {
    pub(crate) name: &'static str,
    pub(crate) placement: Placement,
    pub(crate) queue_discipline: QueueDiscipline,
    /// Whether a request first tries backend servers without queueing, to find a free slot.
    pub(crate) probes_free_slots: bool,
    /// Whether an answer reports the mean service time of its kind instead of its own.
    pub(crate) reports_mean_service_time: bool,
    /// Whether the cost of a backend server includes the measured delay on the way to it and back.
    pub(crate) accounts_for_delay: bool,
    /// Whether the latency target is measured from the caller's first attempt, not the latest one.
    pub(crate) targets_from_first_attempt: bool,
    /// Whether the number of requests in progress is limited by
    /// [`lavenderhatch_decide::relay::ConcurrencyLimit`] instead of the slots alone.
    pub(crate) learns_limit: bool,
}

impl Policy {
    /// The policy of the daemon.
    const CURRENT: Self = Self {
        name: "present",
        placement: Placement::ByCost,
        queue_discipline: QueueDiscipline::ByRank,
        probes_free_slots: true,
        reports_mean_service_time: true,
        accounts_for_delay: true,
        targets_from_first_attempt: true,
        learns_limit: true,
    };

    /// All policies, that of the daemon last.
    pub(crate) const ALL: [Self; 10] = [
        Self {
            name: "random, in order",
            learns_limit: false,
            placement: Placement::Random,
            queue_discipline: QueueDiscipline::Fifo,
            probes_free_slots: false,
            ..Self::CURRENT
        },
        Self {
            name: "round robin, in order",
            learns_limit: false,
            placement: Placement::RoundRobin,
            queue_discipline: QueueDiscipline::Fifo,
            probes_free_slots: false,
            ..Self::CURRENT
        },
        Self {
            name: "random, fixed limit",
            learns_limit: false,
            placement: Placement::Random,
            queue_discipline: QueueDiscipline::BoundedFifo(6),
            probes_free_slots: false,
            ..Self::CURRENT
        },
        Self {
            name: "by cost, in order",
            learns_limit: false,
            queue_discipline: QueueDiscipline::Fifo,
            probes_free_slots: false,
            ..Self::CURRENT
        },
        Self {
            name: "no look",
            probes_free_slots: false,
            ..Self::CURRENT
        },
        Self {
            name: "single service times",
            reports_mean_service_time: false,
            ..Self::CURRENT
        },
        Self {
            name: "blind to delays",
            accounts_for_delay: false,
            ..Self::CURRENT
        },
        Self {
            name: "fixed slots",
            learns_limit: false,
            ..Self::CURRENT
        },
        Self {
            name: "last attempt only",
            targets_from_first_attempt: false,
            ..Self::CURRENT
        },
        Self::CURRENT,
    ];
}
