//! The specification of a mesh before it is validated as a whole.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::validation_error::MeshPath;
use super::{Limits, PlannedStop, Rank, Route, Service, ValidationError};
use crate::names::{RankName, RouteName, ServiceName, StopName};

/// Maximum sum of the guaranteed shares of all ranks. The excess over 1 allows for rounding.
const SHARE_SUM_LIMIT: f64 = 1.0 + 1e-9;

/// Specification of a mesh, as read from files or received from a peer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MeshSpec {
    /// Services by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Route>,
    /// Ranks by name.
    pub ranks: BTreeMap<RankName, Rank>,
    /// Planned stops by name.
    pub stops: BTreeMap<StopName, PlannedStop>,
    /// Limits of the whole mesh.
    pub limits: Limits,
}

impl MeshSpec {
    /// Canonical encoding: JSON with ordered keys and without whitespace.
    pub fn to_canonical(&self) -> Vec<u8> {
        // Serialization of these types cannot fail: all map keys are strings, and all numbers are
        // finite once validated.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Parses the canonical encoding. The result is not validated.
    pub fn from_canonical(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Validates the specification as a whole and returns all errors.
    pub fn validate(&self) -> Vec<ValidationError> {
        let mut errors = Vec::new();
        self.check_ranks(&mut errors);
        self.check_services(&mut errors);
        self.check_routes(&mut errors);
        self.check_stops(&mut errors);
        self.limits.check(&mut errors);
        errors
    }

    fn check_ranks(&self, errors: &mut Vec<ValidationError>) {
        for (name, rank) in &self.ranks {
            rank.check(name, errors);
        }
        let sum: f64 = self.ranks.values().map(|rank| rank.share).sum();
        if sum > SHARE_SUM_LIMIT {
            for name in self.ranks.keys() {
                errors.push(ValidationError::new(
                    MeshPath::key("ranks", name.as_str(), "share"),
                    format!("the shares of all ranks add up to {sum:.3}"),
                    "lower the shares until their sum is at most 1",
                ));
            }
        }
    }

    fn check_services(&self, errors: &mut Vec<ValidationError>) {
        for (name, service) in &self.services {
            service.check(name, errors);
        }
    }

    fn check_routes(&self, errors: &mut Vec<ValidationError>) {
        for (name, route) in &self.routes {
            route.check(name, errors);
            if !self.services.contains_key(&route.service) {
                errors.push(ValidationError::new(
                    MeshPath::key("routes", name.as_str(), "service"),
                    format!("service {:?} is not defined", route.service),
                    "define the service or name one that is defined",
                ));
            }
            if !self.ranks.contains_key(&route.rank) {
                errors.push(ValidationError::new(
                    MeshPath::key("routes", name.as_str(), "rank"),
                    format!("rank {:?} is not defined", route.rank),
                    "define the rank or name one that is defined",
                ));
            }
        }
        self.check_route_overlap(errors);
    }

    fn check_route_overlap(&self, errors: &mut Vec<ValidationError>) {
        let mut seen: BTreeMap<(&str, &str), &RouteName> = BTreeMap::new();
        for (name, route) in &self.routes {
            for method in route.method_names() {
                let Some(other) = seen.insert((route.path.as_str(), method), name) else {
                    continue;
                };
                errors.push(ValidationError::new(
                    MeshPath::key("routes", name.as_str(), "path"),
                    format!("route {other:?} has the same path and method {method}"),
                    "change the path or the methods of one of the two routes",
                ));
            }
        }
    }

    fn check_stops(&self, errors: &mut Vec<ValidationError>) {
        for (name, stop) in &self.stops {
            stop.check(name, errors);
        }
    }
}
