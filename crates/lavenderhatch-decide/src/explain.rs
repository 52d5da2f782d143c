//! Explains routing decisions and answers of calls, using the code that makes the decisions.

use lavenderhatch_core::config::NamedRoute;
use lavenderhatch_core::endpoint::{Endpoint, Endpoints};
use lavenderhatch_core::error_kind::Outcome;
use lavenderhatch_core::mesh::{KeyPolicy, Route};
use lavenderhatch_core::{ConfigSnapshot, ErrorKind, NodeId, RouteName, Timestamp, Version, Zone};
use serde::{Deserialize, Serialize};

use crate::routing::choose_endpoint;

/// Method of the sample request for a route that matches all methods.
const SAMPLE_METHOD: &str = "GET";

/// A backend server as load balancing sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CandidateView {
    /// The backend server.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: Zone,
    /// Number of requests that its back end runs at the same time.
    pub slots: u32,
    /// Share of its full load that the server gets, in thousandths.
    pub weight: u32,
    /// Number of calls in flight to it from the daemon that gives the explanation.
    pub outstanding: u32,
    /// Whether it is chosen only if no regular backend server is left to try.
    pub is_last_resort: bool,
}

/// Explains which backend servers the calls of a route are sent to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteExplanation {
    /// Version in force on the daemon that gives the explanation.
    pub version: Version,
    /// Name of the route.
    pub name: RouteName,
    /// The route as configured.
    pub route: Route,
    /// The route that matches a request for this route's path, if it is another one.
    pub shadowed_by: Option<RouteName>,
    /// Backend servers that may be chosen now.
    pub candidates: Vec<CandidateView>,
    /// The backend server that is chosen for one random number.
    pub choice: Option<NodeId>,
    /// The error that a call would get now, if there is no backend server.
    pub refusal: Option<ErrorKind>,
    /// The explanation, one sentence each.
    pub reasons: Vec<String>,
}

/// The inputs to load balancing on the daemon that gives an explanation.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceView<'a> {
    /// Backend servers that may be chosen.
    pub endpoints: &'a Endpoints,
    /// Availability zone of the daemon.
    pub zone: &'a Zone,
    /// A random number, uniform over all values.
    pub random: u64,
}

/// Explains a route. Returns `None` if the version in force has no route of this name.
pub fn explain_route(
    config: &ConfigSnapshot,
    view: &ChoiceView<'_>,
    name: &str,
) -> Option<RouteExplanation> {
    let (name, route) = config.mesh.routes().get_key_value(name)?;
    let of_service = view.endpoints.for_service(route.service.as_str());
    let chosen = choose_endpoint(of_service, &[], view.zone, view.random);
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

/// Explains which route matches a request in the version in force.
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

/// Record of a call that a daemon has answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Id of the call.
    pub id: String,
    /// When the call was answered.
    pub at: Timestamp,
    /// Method in upper case.
    pub method: String,
    /// Path without query.
    pub path: String,
    /// The route that the call matched, if any.
    pub route: Option<RouteName>,
    /// Version in force when the call arrived.
    pub version: Version,
    /// HTTP status of the answer.
    pub status: u16,
    /// Whether the call ran.
    pub outcome: Outcome,
    /// Kind of the error, if the answer did not come from a back end.
    pub error: Option<ErrorKind>,
    /// Message of the error.
    pub message: String,
    /// Time from the arrival of the complete request to its answer, in microseconds.
    pub duration_us: u64,
}

/// Explains why a call got its answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallExplanation {
    /// Record of the call.
    pub record: CallRecord,
    /// The explanation, one sentence each.
    pub reasons: Vec<String>,
    /// The route that the call matched, as it is now.
    pub route: Option<RouteExplanation>,
}

/// Explains a call from its record and the configuration in force.
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
