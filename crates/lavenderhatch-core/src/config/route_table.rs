//! Routes in the form in which the request path looks them up.

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

/// Routes by path prefix.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Invariant: keys have no trailing `/`, except that the root is the empty text.
    by_prefix: HashMap<String, Vec<NamedRoute>>,
}

impl RouteTable {
    /// Builds the table of a mesh.
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

    /// The route with the longest prefix of whole segments that takes the method.
    ///
    /// Takes one look-up a segment of `path`, which must not contain a query.
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
