//! The sections of the blackboard that the path of a request reads.

mod endpoint;
mod endpoint_stats;
mod endpoint_view;

use std::sync::Arc;

use lavenderhatch_core::blackboard::{SectionReader, SectionWriter, section};
use lavenderhatch_core::routing::HostRouteTable;
use lavenderhatch_decide::relay::BackendState;

use crate::lifecycle::Lifecycle;

pub use endpoint::Endpoint;
pub use endpoint_stats::EndpointStats;
pub use endpoint_view::EndpointView;

/// Readers of all sections. Each section has one writer, in [`Writers`].
#[derive(Clone, Debug)]
pub struct Board {
    /// Routes in force, `None` before the first version.
    pub routing: SectionReader<Option<HostRouteTable>>,
    /// Backend servers by service.
    pub endpoints: SectionReader<EndpointView>,
    /// The backend server beside this daemon.
    pub backend: SectionReader<BackendState>,
    /// Whether the daemon leaves.
    pub lifecycle: Arc<Lifecycle>,
}

/// The writers of the sections.
#[derive(Debug)]
pub struct Writers {
    /// Routes in force.
    pub routing: SectionWriter<Option<HostRouteTable>>,
    /// Backend servers by service.
    pub endpoints: SectionWriter<EndpointView>,
    /// The backend server beside this daemon.
    pub backend: SectionWriter<BackendState>,
}

impl Board {
    /// Opens an empty blackboard.
    pub fn open() -> (Self, Writers) {
        let (routing, routing_reader) = section(None);
        let (endpoints, endpoints_reader) = section(EndpointView::default());
        let (backend, backend_reader) = section(BackendState::default());
        let board = Self {
            routing: routing_reader,
            endpoints: endpoints_reader,
            backend: backend_reader,
            lifecycle: Arc::default(),
        };
        let writers = Writers {
            routing,
            endpoints,
            backend,
        };
        (board, writers)
    }
}
