//! The blackboard sections that the request path reads.

mod announced_departure;
mod config_freshness;
mod endpoint;
mod endpoint_snapshot;
mod endpoint_stats;
mod local_version;
mod newest_version;
mod quarantine;
mod version_rules;

use std::sync::Arc;

use lavenderhatch_core::blackboard::{SectionReader, SectionWriter, section};
use lavenderhatch_core::routing::HostRouteTable;
use lavenderhatch_decide::relay::BackendState;

use crate::lifecycle::Lifecycle;

pub use announced_departure::AnnouncedDeparture;
pub use config_freshness::ConfigFreshness;
pub use endpoint::Endpoint;
pub use endpoint_snapshot::EndpointSnapshot;
pub use endpoint_stats::EndpointStats;
pub use local_version::LocalVersion;
pub use newest_version::NewestVersion;
pub use quarantine::Quarantine;
pub use version_rules::{KnownRule, VersionRules};

/// Read access to every section.
///
/// Each section has exactly one writer, which is in [`SectionWriters`].
#[derive(Clone, Debug)]
pub struct Blackboard {
    /// Routing table in force, `None` until the first version arrives.
    pub routing: SectionReader<Option<HostRouteTable>>,
    /// Endpoints of each service.
    pub endpoints: SectionReader<EndpointSnapshot>,
    /// State of the local backend server.
    pub backend: SectionReader<BackendState>,
    /// Drain state of the daemon and its count of requests in flight.
    pub lifecycle: Arc<Lifecycle>,
    /// Departure that answers of the local backend server announce.
    pub announced_departure: Arc<AnnouncedDeparture>,
    /// Newest configuration version that other daemons have in force.
    pub newest_version: Arc<NewestVersion>,
    /// Until when the configuration in force is known to be current.
    pub config_freshness: Arc<ConfigFreshness>,
    /// Rules of the rollouts that this daemon has learnt of.
    pub version_rules: Arc<VersionRules>,
    /// Requests that must not run because they have crashed backend servers.
    pub quarantine: Arc<Quarantine>,
    /// Requests of the local backend server that rollouts limit and count.
    pub local_version: Arc<LocalVersion>,
}

/// The writer of each section.
#[derive(Debug)]
pub struct SectionWriters {
    /// Routing table in force.
    pub routing: SectionWriter<Option<HostRouteTable>>,
    /// Endpoints of each service.
    pub endpoints: SectionWriter<EndpointSnapshot>,
    /// State of the local backend server.
    pub backend: SectionWriter<BackendState>,
}

impl Blackboard {
    /// Returns the configuration version in force, zero before the first one.
    pub fn version(&self) -> u64 {
        let routing = self.routing.load();
        routing.as_ref().as_ref().map_or(0, |table| table.version)
    }

    /// Creates an empty blackboard and the writers of its sections.
    pub fn new() -> (Self, SectionWriters) {
        let (routing, routing_reader) = section(None);
        let (endpoints, endpoints_reader) = section(EndpointSnapshot::default());
        let (backend, backend_reader) = section(BackendState::default());
        let blackboard = Self {
            routing: routing_reader,
            endpoints: endpoints_reader,
            backend: backend_reader,
            lifecycle: Arc::default(),
            announced_departure: Arc::default(),
            newest_version: Arc::default(),
            config_freshness: Arc::default(),
            version_rules: Arc::default(),
            quarantine: Arc::default(),
            local_version: Arc::default(),
        };
        let writers = SectionWriters {
            routing,
            endpoints,
            backend,
        };
        (blackboard, writers)
    }
}
