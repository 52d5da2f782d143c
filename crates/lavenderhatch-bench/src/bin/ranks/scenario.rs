//! Loads and faults of the simulated service.

use std::collections::BTreeMap;

use lavenderhatch_core::RankName;
use lavenderhatch_core::mesh::Rank;
use lavenderhatch_decide::ranks::RankTable;

/// Number of backend servers of the service.
pub(crate) const SERVERS: usize = 5;
/// Slots of each backend server.
pub(crate) const SLOTS: u32 = 12;
/// Maximum queue length of one rank on one backend server.
pub(crate) const MAX_QUEUE: usize = 1000;
/// Mean of the exponentially distributed service times, in microseconds.
pub(crate) const SERVICE_US: f64 = 10_000.0;
/// Fraction of its guaranteed share that each rank but the flooding one offers.
const OFFERED_FRACTION_OF_SHARE: f64 = 0.8;

/// Returns the number of requests per second that the service can run.
pub(crate) fn capacity() -> f64 {
    SERVERS as f64 * f64::from(SLOTS) * 1e6 / SERVICE_US
}

/// Settings of a simulated rank.
pub(crate) struct RankLoad {
    pub(crate) name: &'static str,
    pub(crate) target_ms: u64,
    pub(crate) timeout_ms: u64,
    pub(crate) worth: u32,
    /// Guaranteed share of the capacity.
    pub(crate) share: f64,
}

/// Ranks with the values of `examples/mesh`, the most urgent first.
pub(crate) const RANKS: [RankLoad; 3] = [
    RankLoad {
        name: "urgent",
        target_ms: 50,
        timeout_ms: 1000,
        worth: 100,
        share: 0.4,
    },
    RankLoad {
        name: "normal",
        target_ms: 200,
        timeout_ms: 2000,
        worth: 20,
        share: 0.3,
    },
    RankLoad {
        name: "background",
        target_ms: 2000,
        timeout_ms: 5000,
        worth: 1,
        share: 0.1,
    },
];

/// Returns [`RANKS`] as the table that the decision code uses.
pub(crate) fn table() -> eyre::Result<RankTable> {
    let mut ranks = BTreeMap::new();
    for load in &RANKS {
        let rank = Rank {
            target_ms: load.target_ms,
            worth: load.worth,
            share: load.share,
        };
        ranks.insert(RankName::new(load.name)?, rank);
    }
    Ok(RankTable::new(&ranks))
}

/// Fault that is injected during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// A backend server is lost and does not come back.
    ServerLost,
    /// A backend server is lost and comes back after a second. Its first requests take longer.
    ColdStart,
    /// The back ends have half of the configured slots.
    HalfSlots,
}

impl Fault {
    pub(crate) const ALL: [Fault; 4] = [
        Fault::None,
        Fault::ServerLost,
        Fault::ColdStart,
        Fault::HalfSlots,
    ];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::ServerLost => "server lost",
            Fault::ColdStart => "cold start",
            Fault::HalfSlots => "half the slots",
        }
    }
}

/// A combination of load and fault.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// Offered load relative to the capacity.
    pub(crate) load: f64,
    /// Index of the rank that floods the service.
    pub(crate) flood: usize,
    pub(crate) fault: Fault,
}

impl Scenario {
    /// Returns the offered requests per second by rank.
    ///
    /// The flooding rank offers the part of the load that the others leave.
    pub(crate) fn rates(&self) -> [f64; RANKS.len()] {
        let mut rates = [0.0; RANKS.len()];
        for (rate, rank) in rates.iter_mut().zip(&RANKS) {
            *rate = rank.share * OFFERED_FRACTION_OF_SHARE * self.load.min(1.0) * capacity();
        }
        rates[self.flood] = 0.0;
        rates[self.flood] = self.load * capacity() - rates.iter().sum::<f64>();
        rates
    }
}
