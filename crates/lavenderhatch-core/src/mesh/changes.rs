//! The difference between two meshes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{Limits, Mesh, MeshSpec, PlannedStop, Rank, Route, Service};
use crate::names::{RankName, RouteName, ServiceName, StopName};

/// The changes from one mesh to another: objects by name, `None` for a removed object.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MeshChanges {
    /// Changed and removed services.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub services: BTreeMap<ServiceName, Option<Service>>,
    /// Changed and removed routes.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub routes: BTreeMap<RouteName, Option<Route>>,
    /// Changed and removed ranks.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub ranks: BTreeMap<RankName, Option<Rank>>,
    /// Changed and removed planned stops.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub stops: BTreeMap<StopName, Option<PlannedStop>>,
    /// New limits, if they changed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<Limits>,
}

impl MeshChanges {
    /// Computes the changes that lead from `from` to `to`.
    pub fn between(from: &Mesh, to: &Mesh) -> Self {
        let limits = (from.limits() != to.limits()).then(|| to.limits().clone());
        Self {
            services: changed(from.services(), to.services()),
            routes: changed(from.routes(), to.routes()),
            ranks: changed(from.ranks(), to.ranks()),
            stops: changed(from.stops(), to.stops()),
            limits,
        }
    }

    /// Applies the changes to a copy of `base`. The result is not validated.
    pub fn apply_to(&self, base: &Mesh) -> MeshSpec {
        let mut spec = base.spec().clone();
        merge(&mut spec.services, &self.services);
        merge(&mut spec.routes, &self.routes);
        merge(&mut spec.ranks, &self.ranks);
        merge(&mut spec.stops, &self.stops);
        if let Some(limits) = &self.limits {
            spec.limits = limits.clone();
        }
        spec
    }

    /// Adds the changes of a later step, which override earlier changes of the same object.
    pub fn merge_later(&mut self, later: &MeshChanges) {
        let Self {
            services,
            routes,
            ranks,
            stops,
            limits,
        } = later.clone();
        self.services.extend(services);
        self.routes.extend(routes);
        self.ranks.extend(ranks);
        self.stops.extend(stops);
        self.limits = limits.or(self.limits.take());
    }

    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

fn changed<K, V>(from: &BTreeMap<K, V>, to: &BTreeMap<K, V>) -> BTreeMap<K, Option<V>>
where
    K: Ord + Clone,
    V: PartialEq + Clone,
{
    let removed = from.keys().filter(|key| !to.contains_key(*key));
    let mut changes: BTreeMap<K, Option<V>> = removed.map(|key| (key.clone(), None)).collect();
    for (key, value) in to {
        if from.get(key) != Some(value) {
            changes.insert(key.clone(), Some(value.clone()));
        }
    }
    changes
}

fn merge<K, V>(values: &mut BTreeMap<K, V>, changes: &BTreeMap<K, Option<V>>)
where
    K: Ord + Clone,
    V: Clone,
{
    for (key, change) in changes {
        match change {
            Some(value) => values.insert(key.clone(), value.clone()),
            None => values.remove(key),
        };
    }
}
