//! The mesh configuration: services, routes, ranks, planned stops and limits.

mod changes;
mod limits;
mod rank;
mod route;
mod service;
mod spec;
mod stop;
mod validation_error;

use std::collections::BTreeMap;

pub use changes::MeshChanges;
pub use limits::Limits;
pub use rank::Rank;
pub use route::{KeyPolicy, Route};
pub use service::Service;
pub use spec::MeshSpec;
pub use stop::PlannedStop;
pub use validation_error::{MeshPath, ValidationError};

use crate::Digest;
use crate::names::{RankName, RouteName, ServiceName, StopName};

/// A validated mesh.
///
/// [`Mesh::validate`] is the only way to create a `Mesh`, so its users never see a dangling
/// reference or a limit that is out of range.
#[derive(Clone, Debug, PartialEq)]
pub struct Mesh {
    /// Invariant: `MeshSpec::validate` finds no errors.
    spec: MeshSpec,
    /// Invariant: digest of the canonical encoding of `spec`.
    digest: Digest,
}

impl Mesh {
    /// Validates `spec` as a whole. On failure, returns all errors.
    pub fn validate(spec: MeshSpec) -> Result<Mesh, Vec<ValidationError>> {
        let errors = spec.validate();
        if !errors.is_empty() {
            return Err(errors);
        }
        let digest = Digest::of(&spec.to_canonical());
        Ok(Mesh { spec, digest })
    }

    /// Digest of the canonical encoding.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The validated specification.
    pub fn spec(&self) -> &MeshSpec {
        &self.spec
    }

    /// Services by name.
    pub fn services(&self) -> &BTreeMap<ServiceName, Service> {
        &self.spec.services
    }

    /// Routes by name.
    pub fn routes(&self) -> &BTreeMap<RouteName, Route> {
        &self.spec.routes
    }

    /// Ranks by name.
    pub fn ranks(&self) -> &BTreeMap<RankName, Rank> {
        &self.spec.ranks
    }

    /// Planned stops by name.
    pub fn stops(&self) -> &BTreeMap<StopName, PlannedStop> {
        &self.spec.stops
    }

    /// Limits of the whole mesh.
    pub fn limits(&self) -> &Limits {
        &self.spec.limits
    }
}
