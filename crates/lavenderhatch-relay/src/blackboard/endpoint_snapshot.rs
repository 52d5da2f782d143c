//! Backend servers by service.

use std::collections::HashMap;
use std::sync::Arc;

use super::endpoint::Endpoint;

/// Backend servers by service.
#[derive(Clone, Debug, Default)]
pub struct EndpointSnapshot {
    services: HashMap<String, Vec<Arc<Endpoint>>>,
    /// Daemons that share the retry budget.
    pub daemon_count: usize,
}

impl EndpointSnapshot {
    /// The backend servers of each service. What was seen of those that `before` held is kept.
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
            daemon_count,
        }
    }

    /// Backend servers of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Endpoint>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }
}
