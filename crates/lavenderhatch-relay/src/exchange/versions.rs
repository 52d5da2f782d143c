//! Messages about rollouts on the port for other daemons.
//!
//! The leader of a rollout asks the daemons beside the backend servers at [`VERSIONS_PATH`]. Its
//! question carries the rule in force. They add the rule to their answers to other daemons, which
//! learn the share in this way without a call to the store.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Request, Response, StatusCode};
use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::rollout::{VersionLease, VersionReport, VersionRule};
use serde::{Deserialize, Serialize};

use super::local_backend::LocalBackend;
use crate::blackboard::VersionRules;

/// Path at which daemons tell the leader of a rollout about the version of their backend server.
pub const VERSIONS_PATH: &str = "/lavenderhatch/versions";
/// Question of the leader of a rollout.
const QUESTION: &str = "lavenderhatch-versions";
/// Rule that a daemon passes on with an answer.
const RULE: &str = "lavenderhatch-rollout";

/// Question of the leader of a rollout to a daemon of the service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct VersionsQuestion {
    /// Service of the rollout.
    pub service: String,
    /// Rule that the daemon must follow.
    pub rule: VersionRule,
    /// Requests that its backend server may run, if the rule limits them.
    pub lease: Option<VersionLease>,
}

impl VersionsQuestion {
    /// Encodes the question; `None` if a version has characters that no header may have.
    pub fn to_request(&self) -> Option<Request<Full<Bytes>>> {
        let value = serde_json::to_string(self).ok()?;
        let mut req = Request::new(Full::default());
        *req.uri_mut() = VERSIONS_PATH.parse().ok()?;
        let value = HeaderValue::from_str(&value).ok()?;
        req.headers_mut().insert(QUESTION, value);
        Some(req)
    }
}

/// A rule that a daemon passes on with an answer, borrowed to write it and owned once read.
#[derive(Serialize, Deserialize)]
struct PassedRule<S, R> {
    service: S,
    rule: R,
    /// Time since the leader confirmed the rule, in milliseconds.
    age_ms: u64,
}

/// Whether a request is a question of the leader of a rollout. One of a caller with the same path
/// has no such header, because daemons remove it.
pub(super) fn is_question(head: &HeaderMap) -> bool {
    head.contains_key(QUESTION)
}

/// Applies the question of the leader of a rollout and answers it.
pub(super) fn answer_question(head: &HeaderMap, backend: &LocalBackend) -> Response<Full<Bytes>> {
    let question = head.get(QUESTION).and_then(|value| value.to_str().ok());
    let question: Option<VersionsQuestion> =
        question.and_then(|text| serde_json::from_str(text).ok());
    let question = question.filter(|question| question.service == backend.service());
    let body = question.and_then(|question| serde_json::to_vec(&apply(&question, backend)).ok());
    let mut res = Response::new(Full::default());
    match body {
        Some(body) => *res.body_mut() = Full::from(body),
        None => *res.status_mut() = StatusCode::BAD_REQUEST,
    }
    res
}

fn apply(question: &VersionsQuestion, backend: &LocalBackend) -> VersionReport {
    let now = backend.clock.now();
    let blackboard = &backend.blackboard;
    let (rules, local) = (&blackboard.version_rules, &blackboard.local_version);
    if rules.learn(&question.service, &question.rule, now) {
        local.set_lease(question.lease);
        match question.rule.stage.is_final() {
            true => local.stop_counting(),
            false => local.start_counting(question.rule.id.order),
        }
    }
    // The requests are counted after the rule is in force, so none that it excludes is missed.
    let state = blackboard.backend.load();
    VersionReport {
        epoch: local.epoch(),
        now: local.lease_time(),
        version: state.last().map_or("", |last| &last.version).to_owned(),
        is_serving: backend.is_serving(),
        lease: local.lease(),
        admitted: local.admitted(),
        in_flight: backend.gate.in_flight(),
        rule: rules
            .find(&question.service)
            .map(|known| known.rule.clone()),
        routes: local.routes(),
    }
}

/// Passes on the rule of the service of this daemon, while its rollout runs or if the request was
/// refused. Nothing is added otherwise.
pub(super) fn write_rule(headers: &mut HeaderMap, backend: &LocalBackend, is_refusal: bool) {
    let rules = &backend.blackboard.version_rules;
    if !rules.is_any_running() && !is_refusal {
        return;
    }
    let Some(known) = rules.find(backend.service()) else {
        return;
    };
    let passed = PassedRule {
        service: backend.service(),
        rule: &known.rule,
        age_ms: known.age(backend.clock.now()).as_millis() as u64,
    };
    let value = serde_json::to_string(&passed).ok();
    if let Some(value) = value.and_then(|text| HeaderValue::from_str(&text).ok()) {
        headers.insert(RULE, value);
    }
}

/// Learns the rule that the answer of another daemon passes on.
pub(super) fn read_rule(headers: &HeaderMap, rules: &VersionRules, now: Timestamp) {
    let passed = headers.get(RULE).and_then(|value| value.to_str().ok());
    let passed: Option<PassedRule<String, VersionRule>> =
        passed.and_then(|text| serde_json::from_str(text).ok());
    if let Some(passed) = passed {
        let confirmed_at = now - Duration::from_millis(passed.age_ms);
        rules.learn(&passed.service, &passed.rule, confirmed_at);
    }
}
