//! The routes in force.

use std::collections::HashMap;
use std::sync::Arc;

use super::{CallerLimits, HostRoute};

/// One version of the routes.
#[derive(Clone, Debug, Default)]
pub struct HostRouteTable {
    /// Version that this table puts in force.
    pub version: u64,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Invariant: the routes of a host are in the order of falling prefix lengths.
    hosts: HashMap<String, Vec<Arc<HostRoute>>>,
}

impl HostRouteTable {
    /// A table of the routes of each host. Host names are compared without regard to case.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: impl IntoIterator<Item = (String, HostRoute)>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<HostRoute>>> = HashMap::new();
        for (host, route) in routes {
            let of_host = hosts.entry(host.to_ascii_lowercase()).or_default();
            of_host.push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            hosts,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`, which may name a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<HostRoute>> {
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => {
                let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
                self.hosts.get(&name.to_ascii_lowercase())?
            }
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Number of routes.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }
}
