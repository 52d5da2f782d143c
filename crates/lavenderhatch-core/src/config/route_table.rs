//! Route lookup by path prefix, for the request path.

use std::collections::HashMap;

use crate::mesh::{Mesh, Route};
use crate::names::RouteName;

/// A route with its name.
#[derive(Clone, Debug)]
pub struct NamedRoute {
    /// Name of the route.
    pub name: RouteName,
    /// The route.
    pub route: Route,
}

/// Routes of a mesh by path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Routes by prefix. Invariant: keys have no trailing `/`; the key of the root is empty.
    by_prefix: HashMap<String, Vec<NamedRoute>>,
}

impl RouteTable {
    /// Builds the table of the routes of `mesh`.
    pub fn new(mesh: &Mesh) -> Self {
        let mut by_prefix: HashMap<String, Vec<NamedRoute>> = HashMap::new();
        for (name, route) in mesh.routes() {
            let prefix = route.path.trim_end_matches('/').to_owned();
            let entry = NamedRoute {
                name: name.clone(),
                route: route.clone(),
            };
            by_prefix.entry(prefix).or_default().push(entry);
        }
        Self { by_prefix }
    }

    /// Finds the route that accepts `method` and has the longest prefix of whole segments of `path`.
    ///
    /// Does one lookup per segment of `path`, which must not contain a query.
    pub fn find(&self, method: &str, path: &str) -> Option<&NamedRoute> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            let entries = self.by_prefix.get(prefix).map_or(&[][..], Vec::as_slice);
            let entry = entries
                .iter()
                .find(|entry| entry.route.accepts_method(method));
            if entry.is_some() || prefix.is_empty() {
                return entry;
            }
            prefix = prefix.rfind('/').map_or("", |at| &prefix[..at]);
        }
    }
}
