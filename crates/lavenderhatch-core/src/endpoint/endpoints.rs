//! Snapshot of the eligible backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::counters::EndpointCounters;
use crate::Incarnation;
use crate::names::{NodeId, ServiceName, Zone};

/// Weight of a backend server that takes its full portion of the load, in thousandths.
pub const FULL_WEIGHT: u32 = 1000;

/// A backend server that is eligible for calls.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name of the backend server.
    pub node: NodeId,
    /// Incarnation of its daemon.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: Zone,
    /// Address at which its daemon accepts calls from other daemons.
    pub peer_addr: SocketAddr,
    /// Requests that its back end runs at the same time. Invariant: at least 1.
    pub slots: u32,
    /// Portion of the load that it takes, in thousandths. Invariant: 1 to 1000.
    pub weight: u32,
    /// Whether it is chosen only if no regular backend server is left to try.
    pub is_last_resort: bool,
    /// Call counters, shared with the request path.
    pub counters: Arc<EndpointCounters>,
}

/// The backend servers of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceEndpoints {
    /// Backend servers, ordered by name.
    pub endpoints: Vec<Endpoint>,
}

/// The backend servers of all services.
#[derive(Clone, Debug, Default)]
pub struct Endpoints {
    /// Backend servers by service.
    pub by_service: HashMap<ServiceName, ServiceEndpoints>,
}

impl Endpoints {
    /// The backend servers of `service`; empty if none is known.
    pub fn for_service(&self, service: &str) -> &[Endpoint] {
        self.by_service
            .get(service)
            .map_or(&[], |s| s.endpoints.as_slice())
    }
}
