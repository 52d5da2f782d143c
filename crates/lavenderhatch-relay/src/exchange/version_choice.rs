//! Which versions of a service an attempt may be sent to.

use std::sync::Arc;

use lavenderhatch_core::Timestamp;

use super::call::Call;
use crate::blackboard::{Blackboard, Endpoint, EndpointSnapshot, KnownRule};

/// What is known of an attempt before it is placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    /// Whether it is the first one of its request.
    pub(super) is_first: bool,
    /// Whether an earlier one has reached a backend server.
    pub(super) has_arrived: bool,
}

/// Which versions of a service an attempt may be sent to.
#[derive(Debug)]
pub(super) struct VersionChoice {
    version: String,
    /// Rule that has sent the attempt to the new version before all requests go there. It may get
    /// the request in the first attempt only.
    trial: Option<Arc<KnownRule>>,
}

impl VersionChoice {
    /// Makes the choice for an attempt; `None` if the service has one version only. `draw` returns
    /// a random number, 0 to 1.
    pub(super) fn make(
        call: &mut Call,
        attempt: Attempt,
        blackboard: &Blackboard,
        endpoints: &EndpointSnapshot,
        now: Timestamp,
        draw: impl FnOnce() -> f64,
    ) -> Option<Self> {
        let rules = &blackboard.version_rules;
        let base = endpoints.base_version(&call.service);
        if base.is_none() && !rules.is_any_running() {
            return None;
        }
        let Some(known) = rules.find(&call.service) else {
            return base.map(Self::only);
        };
        let age = known.age(now);
        let was_sent_back = !attempt.is_first && !attempt.has_arrived && !call.is_version_chosen;
        let is_known = known.rule.is_known(age);
        let draw = match attempt.is_first {
            true => draw(),
            false if was_sent_back && is_known => 0.0,
            // After the new version, the request takes the one that needs no trial.
            false => 1.0,
        };
        call.is_version_chosen = is_known;
        let version = known.rule.choose(age, draw).to_owned();
        let is_trial = known.rule.stage.is_trial() && version == known.rule.target;
        Some(Self {
            version,
            trial: is_trial.then_some(known),
        })
    }

    fn only(version: &str) -> Self {
        Self {
            version: version.to_owned(),
            trial: None,
        }
    }

    /// Returns the choice if the backend servers of this one cannot take the request.
    pub(super) fn fallback(&self) -> Option<Self> {
        let trial = self.trial.as_ref()?;
        Some(Self::only(&trial.rule.base))
    }

    /// Whether an attempt may be sent to an endpoint.
    pub(super) fn allows(&self, endpoint: &Endpoint) -> bool {
        let focus = self.trial.as_ref().and_then(|known| known.rule.focus);
        endpoint.runs(&self.version) && focus.is_none_or(|focus| focus == endpoint.addr)
    }
}
