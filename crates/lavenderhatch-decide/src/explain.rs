//! Why a call goes where it goes, from the code that decides it.

use lavenderhatch_core::config::NamedRoute;
use lavenderhatch_core::endpoint::{Endpoint, Endpoints};
use lavenderhatch_core::error_kind::Outcome;
use lavenderhatch_core::mesh::{KeyPolicy, Route};
use lavenderhatch_core::{ConfigSnapshot, ErrorKind, NodeId, RouteName, Timestamp, Version, Zone};
use serde::{Deserialize, Serialize};

use crate::routing::choose;

/// Method of the sample request for a route that takes all methods.
const SAMPLE_METHOD: &str = "GET";

/// A backend server as the choice sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateView {
    /// The backend server.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: Zone,
    /// Slots of its back end.
    pub slots: u32,
    /// Part of the load that it takes, in thousandths.
    pub weight: u32,
    /// Calls in flight from the daemon that explains.
    pub outstanding: u32,
    /// Whether it is chosen only where all others have failed.
    pub is_last_resort: bool,
}

/// Why the calls of a route go where they go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// Version in force on the daemon that explains.
    pub version: Version,
    /// The route.
    pub name: RouteName,
    /// The route as described.
    pub route: Route,
    /// The route that takes a request for this route's own path, if it is another one.
    pub shadowed_by: Option<RouteName>,
    /// Backend servers that may be chosen now.
    pub candidates: Vec<CandidateView>,
    /// The backend server that the choice gives for one random number.
    pub choice: Option<NodeId>,
    /// The error of a call now, if there is no backend server.
    pub refusal: Option<ErrorKind>,
    /// What the explanation comes to, one sentence each.
    pub reasons: Vec<String>,
}

/// What a daemon chooses from when it explains.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceView<'a> {
    /// Backend servers that may be chosen.
    pub endpoints: &'a Endpoints,
    /// Availability zone of the daemon.
    pub zone: &'a Zone,
    /// A uniformly distributed number.
    pub random: u64,
}

/// Explains a route on this daemon. `None` if the version in force has no such route.
pub fn explain_route(
    config: &ConfigSnapshot,
    view: &ChoiceView<'_>,
    name: &str,
) -> Option<RouteExplanation> {
    let (name, route) = config.mesh.routes().get_key_value(name)?;
    let of_service = view.endpoints.for_service(route.service.as_str());
    let chosen = choose(of_service, &[], view.zone, view.random);
    let choice = chosen.map(|at| of_service[at].node.clone());
    let method = route.methods.first().map_or(SAMPLE_METHOD, String::as_str);
    let shadowed_by = config
        .routes
        .find(method, &route.path)
        .filter(|entry| entry.name != *name)
        .map(|entry| entry.name.clone());
    let refusal = choice.is_none().then_some(ErrorKind::NoBackend);
    let mut reasons = route_reasons(route);
    reasons.push(candidates_reason(route, of_service));
    Some(RouteExplanation {
        version: config.version,
        name: name.clone(),
        route: route.clone(),
        shadowed_by,
        candidates: of_service.iter().map(candidate).collect(),
        choice,
        refusal,
        reasons,
    })
}

/// Explains which route takes a request now.
pub fn explain_match(config: &ConfigSnapshot, method: &str, path: &str) -> String {
    match config.routes.find(method, path) {
        Some(NamedRoute { name, route }) => format!(
            "route {name} takes it: {:?} is the longest described prefix of {path:?} for {method}",
            route.path
        ),
        None => format!("no route takes {method} {path:?}"),
    }
}

fn candidate(endpoint: &Endpoint) -> CandidateView {
    CandidateView {
        node: endpoint.node.clone(),
        zone: endpoint.zone.clone(),
        slots: endpoint.slots,
        weight: endpoint.weight,
        outstanding: endpoint.counters.outstanding(),
        is_last_resort: endpoint.is_last_resort,
    }
}

fn route_reasons(route: &Route) -> Vec<String> {
    let mut reasons = vec![format!(
        "calls run on service {} in rank {}, for at most {} ms",
        route.service, route.rank, route.timeout_ms
    )];
    reasons.push(
        match (route.idempotent, route.key) {
            (true, _) => "the route is idempotent: a call may be tried on another backend server",
            (false, KeyPolicy::Required) => {
                "an order runs at most once and needs an idempotency key"
            }
            (false, KeyPolicy::Optional) => "an order runs at most once; a key is optional",
        }
        .to_owned(),
    );
    reasons
}

fn candidates_reason(route: &Route, endpoints: &[Endpoint]) -> String {
    match endpoints.len() {
        0 => format!("no backend server of service {} is known", route.service),
        1 => "one backend server may be chosen".to_owned(),
        count => format!(
            "{count} backend servers may be chosen; of two random ones the one with less work wins"
        ),
    }
}

/// What a daemon keeps of a call that a caller sent to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Identifies the call.
    pub id: String,
    /// When it was answered.
    pub at: Timestamp,
    /// Method in upper case.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// Route that took it, if one did.
    pub route: Option<RouteName>,
    /// Version in force when it arrived.
    pub version: Version,
    /// HTTP status of the answer.
    pub status: u16,
    /// Whether it ran.
    pub outcome: Outcome,
    /// The error kind of an answer that no back end gave.
    pub error: Option<ErrorKind>,
    /// Message of the error.
    pub message: String,
    /// From the arrival of the whole request to its answer, in microseconds.
    pub duration_us: u64,
}

/// Why a call was answered as it was.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallExplanation {
    /// The call.
    pub record: CallRecord,
    /// What the explanation comes to, one sentence each.
    pub reasons: Vec<String>,
    /// The route that took it, as it is now.
    pub route: Option<RouteExplanation>,
}

/// Explains a call on this daemon.
pub fn explain_call(
    record: &CallRecord,
    config: Option<&ConfigSnapshot>,
    view: &ChoiceView<'_>,
) -> CallExplanation {
    let mut reasons = vec![match &record.route {
        Some(name) => format!(
            "version {} sent {} {:?} to route {name}",
            record.version, record.method, record.path
        ),
        None => format!(
            "version {} has no route for {} {:?}",
            record.version, record.method, record.path
        ),
    }];
    reasons.push(answer_reason(record));
    if let Some(config) = config.filter(|config| config.version != record.version) {
        reasons.push(format!(
            "version {} is in force now: {}",
            config.version,
            explain_match(config, &record.method, &record.path)
        ));
    }
    let name = record.route.as_ref().map(RouteName::as_str);
    let route = config
        .zip(name)
        .and_then(|(config, name)| explain_route(config, view, name));
    CallExplanation {
        record: record.clone(),
        reasons,
        route,
    }
}

fn answer_reason(record: &CallRecord) -> String {
    let Some(kind) = record.error else {
        return format!("the back end answered it with status {}", record.status);
    };
    let what = match kind.response().outcome {
        Outcome::NotRun => "it did not run",
        Outcome::Ran => "it ran",
        Outcome::Unknown => "it may have run",
    };
    format!("it ended in {kind}: {}; {what}", record.message)
}
