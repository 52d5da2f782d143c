//! The mesh that operators describe: services, routes, ranks, planned stops and limits.

mod changes;
mod fault;
mod limits;
mod parts;
mod rank;
mod route;
mod service;
mod stop;

use std::collections::BTreeMap;

pub use changes::MeshChanges;
pub use fault::{MeshFault, MeshPath};
pub use limits::Limits;
pub use parts::MeshParts;
pub use rank::Rank;
pub use route::{KeyPolicy, Route};
pub use service::Service;
pub use stop::Stop;

use crate::Digest;
use crate::names::{RankName, RouteName, ServiceName, StopName};

/// A checked mesh.
///
/// The only way to a `Mesh` is [`Mesh::check`], so that no holder of a mesh meets a dangling
/// reference or an impossible limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Mesh {
    /// Invariant: `MeshParts::faults` finds nothing in these parts.
    parts: MeshParts,
    /// Invariant: digest of the canonical encoding of `parts`.
    digest: Digest,
}

impl Mesh {
    /// Checks the parts as a whole. On failure all faults are listed.
    pub fn check(parts: MeshParts) -> Result<Mesh, Vec<MeshFault>> {
        let faults = parts.faults();
        if !faults.is_empty() {
            return Err(faults);
        }
        let digest = Digest::of(&parts.to_canonical());
        Ok(Mesh { parts, digest })
    }

    /// Digest of the canonical encoding.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The checked parts.
    pub fn parts(&self) -> &MeshParts {
        &self.parts
    }

    /// Services by name.
    pub fn services(&self) -> &BTreeMap<ServiceName, Service> {
        &self.parts.services
    }

    /// Routes by name.
    pub fn routes(&self) -> &BTreeMap<RouteName, Route> {
        &self.parts.routes
    }

    /// Ranks by name.
    pub fn ranks(&self) -> &BTreeMap<RankName, Rank> {
        &self.parts.ranks
    }

    /// Planned stops by name.
    pub fn stops(&self) -> &BTreeMap<StopName, Stop> {
        &self.parts.stops
    }

    /// Limits of the whole mesh.
    pub fn limits(&self) -> &Limits {
        &self.parts.limits
    }
}
