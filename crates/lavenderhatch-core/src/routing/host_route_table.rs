//! Route lookup by host and path prefix.

use std::collections::HashMap;
use std::sync::Arc;

use super::{AccountTable, CallerLimits, HostRoute};

/// The routes of all hosts in one configuration version.
#[derive(Clone, Debug, Default)]
pub struct HostRouteTable {
    /// Configuration version of the table.
    pub version: u64,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    /// Routes by host name in lower case. Invariant: the routes of a host are sorted by descending
    /// prefix length.
    hosts: HashMap<String, Vec<Arc<HostRoute>>>,
    /// Path of the health check of each service that has one.
    health_check_paths: HashMap<String, String>,
    /// Client accounts; `None` if requests need no API key.
    accounts: Option<AccountTable>,
}

impl HostRouteTable {
    /// Builds a table from pairs of a host name and a route. Host names are case-insensitive.
    pub fn new(
        version: u64,
        limits: CallerLimits,
        routes: impl IntoIterator<Item = (String, HostRoute)>,
    ) -> Self {
        let mut hosts: HashMap<String, Vec<Arc<HostRoute>>> = HashMap::new();
        for (host, route) in routes {
            let host_routes = hosts.entry(host.to_ascii_lowercase()).or_default();
            host_routes.push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self {
            version,
            limits,
            hosts,
            health_check_paths: HashMap::new(),
            accounts: None,
        }
    }

    /// Sets the paths of health checks, as pairs of a service and a path.
    pub fn with_health_check_paths(
        self,
        paths: impl IntoIterator<Item = (String, String)>,
    ) -> Self {
        Self {
            health_check_paths: paths.into_iter().collect(),
            ..self
        }
    }

    /// Sets the client accounts.
    pub fn with_accounts(self, accounts: Option<AccountTable>) -> Self {
        Self { accounts, ..self }
    }

    /// Returns the client accounts, if requests need an API key.
    pub fn accounts(&self) -> Option<&AccountTable> {
        self.accounts.as_ref()
    }

    /// Returns the path of the health check of a service.
    pub fn health_check_path(&self, service: &str) -> Option<&str> {
        self.health_check_paths.get(service).map(String::as_str)
    }

    /// Finds the route of `host` with the longest prefix of `path`. The host may include a port.
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
