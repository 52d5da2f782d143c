//! The endpoints of each service.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::endpoint::Endpoint;

/// An immutable snapshot of the endpoints of each service.
#[derive(Clone, Debug, Default)]
pub struct EndpointSnapshot {
    services: HashMap<String, Vec<Arc<Endpoint>>>,
    /// Version that needs no order, of each service that has endpoints of another one.
    base_versions: HashMap<String, String>,
    /// Number of daemons that share the retry budget.
    pub daemon_count: usize,
    /// Peer addresses of all daemons with a record.
    daemons: Vec<SocketAddr>,
}

impl EndpointSnapshot {
    /// Builds a snapshot from `endpoints`.
    ///
    /// An endpoint that is also in `before`, with the same incarnation and address, keeps its
    /// statistics.
    pub fn rebuild(
        before: &EndpointSnapshot,
        endpoints: impl IntoIterator<Item = (String, Endpoint)>,
        daemon_count: usize,
    ) -> Self {
        let mut services: HashMap<String, Vec<Arc<Endpoint>>> = HashMap::new();
        for (service, mut endpoint) in endpoints {
            let known = before.of_service(&service).iter().find(|known| {
                known.id == endpoint.id
                    && known.incarnation == endpoint.incarnation
                    && known.addr == endpoint.addr
            });
            if let Some(known) = known {
                endpoint.stats = Arc::clone(&known.stats);
            }
            services
                .entry(service)
                .or_default()
                .push(Arc::new(endpoint));
        }
        Self {
            services,
            base_versions: HashMap::new(),
            daemon_count,
            daemons: Vec::new(),
        }
    }

    /// Sets the peer addresses of all daemons with a record, including those whose backend servers
    /// accept no requests. They share the limits of client accounts.
    pub fn with_daemons(self, daemons: impl IntoIterator<Item = SocketAddr>) -> Self {
        Self {
            daemons: daemons.into_iter().collect(),
            ..self
        }
    }

    /// Sets the version that needs no order, for the services that have endpoints of another one.
    pub fn with_base_versions(self, base_versions: HashMap<String, String>) -> Self {
        Self {
            base_versions,
            ..self
        }
    }

    /// Returns the peer addresses of all daemons with a record.
    pub fn daemons(&self) -> &[SocketAddr] {
        &self.daemons
    }

    /// Returns the version of a service that needs no order; `None` if all its endpoints have it.
    pub fn base_version(&self, service: &str) -> Option<&str> {
        if self.base_versions.is_empty() {
            return None;
        }
        self.base_versions.get(service).map(String::as_str)
    }

    /// Returns the endpoints of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Endpoint>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}
