//! The `config` section: the accepted configuration in force.

mod route_table;

use std::sync::Arc;

pub use route_table::{NamedRoute, RouteTable};

use crate::{Digest, Mesh, Timestamp, Version};

/// The accepted configuration in force on this daemon.
///
/// Version, mesh and route table change together, in one publication.
#[derive(Clone, Debug)]
pub struct ConfigSnapshot {
    /// Version of the configuration. Invariant: greater than that of each earlier snapshot.
    pub version: Version,
    /// The validated mesh.
    pub mesh: Arc<Mesh>,
    /// Route lookup table. Invariant: built from `mesh`.
    pub routes: RouteTable,
    /// Time at which this daemon put the version in force.
    pub applied_at: Timestamp,
}

impl ConfigSnapshot {
    /// Creates a snapshot of `mesh` and builds its route table.
    pub fn new(version: Version, mesh: Arc<Mesh>, applied_at: Timestamp) -> Self {
        let routes = RouteTable::new(&mesh);
        Self {
            version,
            mesh,
            routes,
            applied_at,
        }
    }

    /// Digest of the mesh.
    pub fn digest(&self) -> Digest {
        self.mesh.digest()
    }
}
