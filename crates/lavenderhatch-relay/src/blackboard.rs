//! The sections of the blackboard that the path of a request reads.

mod endpoint;
mod endpoint_snapshot;
mod endpoint_stats;

use std::sync::Arc;

use lavenderhatch_core::blackboard::{SectionReader, SectionWriter, section};
use lavenderhatch_core::routing::HostRouteTable;
use lavenderhatch_decide::relay::BackendState;

use crate::lifecycle::Lifecycle;

pub use endpoint::Endpoint;
pub use endpoint_snapshot::EndpointSnapshot;
pub use endpoint_stats::EndpointStats;

/// Readers of all sections. Each section has one writer, in [`SectionWriters`].
#[derive(Clone, Debug)]
pub struct Blackboard {
    /// Routes in force, `None` before the first version.
    pub routing: SectionReader<Option<HostRouteTable>>,
    /// Backend servers by service.
    pub endpoints: SectionReader<EndpointSnapshot>,
    /// The backend server beside this daemon.
    pub backend: SectionReader<BackendState>,
    /// Whether the daemon leaves.
    pub lifecycle: Arc<Lifecycle>,
}

/// The writers of the sections.
#[derive(Debug)]
pub struct SectionWriters {
    /// Routes in force.
    pub routing: SectionWriter<Option<HostRouteTable>>,
    /// Backend servers by service.
    pub endpoints: SectionWriter<EndpointSnapshot>,
    /// The backend server beside this daemon.
    pub backend: SectionWriter<BackendState>,
}

impl Blackboard {
    /// Opens an empty blackboard.
    pub fn new() -> (Self, SectionWriters) {
        let (routing, routing_reader) = section(None);
        let (endpoints, endpoints_reader) = section(EndpointSnapshot::default());
        let (backend, backend_reader) = section(BackendState::default());
        let blackboard = Self {
            routing: routing_reader,
            endpoints: endpoints_reader,
            backend: backend_reader,
            lifecycle: Arc::default(),
        };
        let writers = SectionWriters {
            routing,
            endpoints,
            backend,
        };
        (blackboard, writers)
    }
}
