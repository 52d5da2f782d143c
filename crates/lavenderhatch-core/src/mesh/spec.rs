//! Parts of a mesh before they are checked as a whole.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::validation_error::MeshPath;
use super::{Limits, PlannedStop, Rank, Route, Service, ValidationError};
use crate::names::{RankName, RouteName, ServiceName, StopName};

/// Sum of the guaranteed shares of all ranks may not exceed one; the slack covers rounding.
const SHARE_SUM_LIMIT: f64 = 1.0 + 1e-9;

/// Parts of a mesh, as read from files or received from a peer.
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
    /// Canonical encoding: JSON with keys in order and without white space.
    pub fn to_canonical(&self) -> Vec<u8> {
        // Serialization of these types has no failing case: all map keys are strings and all
        // numbers are finite once checked.
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads the canonical encoding.
    pub fn from_canonical(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// All faults of the whole set.
    pub fn validate(&self) -> Vec<ValidationError> {
        let mut faults = Vec::new();
        self.check_ranks(&mut faults);
        self.check_services(&mut faults);
        self.check_routes(&mut faults);
        self.check_stops(&mut faults);
        self.limits.check(&mut faults);
        faults
    }

    fn check_ranks(&self, faults: &mut Vec<ValidationError>) {
        for (name, rank) in &self.ranks {
            rank.check(name, faults);
        }
        let sum: f64 = self.ranks.values().map(|rank| rank.share).sum();
        if sum > SHARE_SUM_LIMIT {
            for name in self.ranks.keys() {
                faults.push(ValidationError::new(
                    MeshPath::key("ranks", name.as_str(), "share"),
                    format!("the shares of all ranks add up to {sum:.3}"),
                    "lower the shares until their sum is at most 1",
                ));
            }
        }
    }

    fn check_services(&self, faults: &mut Vec<ValidationError>) {
        for (name, service) in &self.services {
            service.check(name, faults);
        }
    }

    fn check_routes(&self, faults: &mut Vec<ValidationError>) {
        for (name, route) in &self.routes {
            route.check(name, faults);
            if !self.services.contains_key(&route.service) {
                faults.push(ValidationError::new(
                    MeshPath::key("routes", name.as_str(), "service"),
                    format!("service {:?} is not described", route.service),
                    "describe the service or name one that is described",
                ));
            }
            if !self.ranks.contains_key(&route.rank) {
                faults.push(ValidationError::new(
                    MeshPath::key("routes", name.as_str(), "rank"),
                    format!("rank {:?} is not described", route.rank),
                    "describe the rank or name one that is described",
                ));
            }
        }
        self.check_route_overlap(faults);
    }

    fn check_route_overlap(&self, faults: &mut Vec<ValidationError>) {
        let mut seen: BTreeMap<(&str, &str), &RouteName> = BTreeMap::new();
        for (name, route) in &self.routes {
            for method in route.method_names() {
                let Some(other) = seen.insert((route.path.as_str(), method), name) else {
                    continue;
                };
                faults.push(ValidationError::new(
                    MeshPath::key("routes", name.as_str(), "path"),
                    format!("route {other:?} has the same path and method {method}"),
                    "change the path or the methods of one of the two routes",
                ));
            }
        }
    }

    fn check_stops(&self, faults: &mut Vec<ValidationError>) {
        for (name, stop) in &self.stops {
            stop.check(name, faults);
        }
    }
}
