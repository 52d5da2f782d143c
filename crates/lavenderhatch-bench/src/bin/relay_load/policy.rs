//! Ways to place requests and to let them wait, to compare.

/// How a daemon chooses the backend server of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Placement {
    /// Any one that takes requests.
    Random,
    /// One after the other.
    RoundRobin,
    /// By [`lavenderhatch_decide::relay::choose_backend`].
    ByCost,
}

/// How requests wait for a slot of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueDiscipline {
    /// In the order of their arrival, until their deadline.
    Fifo,
    /// In the order of their arrival, at most this many; others are refused.
    BoundedFifo(usize),
    /// In [`lavenderhatch_decide::relay::SlotQueue`].
    ByRank,
}

/// A combination of decisions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Policy {
    pub(crate) name: &'static str,
    pub(crate) placement: Placement,
    pub(crate) queue_discipline: QueueDiscipline,
    /// Whether a request looks for a free slot before it waits.
    pub(crate) probes_free_slots: bool,
    /// Whether an answer tells the mean service time of its kind, and not only its own.
    pub(crate) reports_mean_service_time: bool,
    /// Whether the time of an attempt beyond its time at the daemon counts.
    pub(crate) accounts_for_delay: bool,
    /// Whether the target counts from the caller's first attempt.
    pub(crate) targets_from_first_attempt: bool,
}

impl Policy {
    /// What the daemon does.
    const CURRENT: Self = Self {
        name: "present",
        placement: Placement::ByCost,
        queue_discipline: QueueDiscipline::ByRank,
        probes_free_slots: true,
        reports_mean_service_time: true,
        accounts_for_delay: true,
        targets_from_first_attempt: true,
    };

    /// All that are compared, the present one last.
    pub(crate) const ALL: [Self; 9] = [
        Self {
            name: "random, in order",
            placement: Placement::Random,
            queue_discipline: QueueDiscipline::Fifo,
            probes_free_slots: false,
            ..Self::CURRENT
        },
        Self {
            name: "round robin, in order",
            placement: Placement::RoundRobin,
            queue_discipline: QueueDiscipline::Fifo,
            probes_free_slots: false,
            ..Self::CURRENT
        },
        Self {
            name: "random, fixed limit",
            placement: Placement::Random,
            queue_discipline: QueueDiscipline::BoundedFifo(6),
            probes_free_slots: false,
            ..Self::CURRENT
        },
        Self {
            name: "by cost, in order",
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
            name: "last attempt only",
            targets_from_first_attempt: false,
            ..Self::CURRENT
        },
        Self::CURRENT,
    ];
}
