//! A process that runs only the event-driven request path.
//!
//! The process runs this program again with a hidden subcommand. Its routes and backend servers are
//! fixed, so that only the request path is measured and not the controllers that write to the
//! blackboard.

use std::io::{Read, stdin};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use clap::{Arg, ArgMatches, value_parser};
use eyre::{Result, eyre};
use hyper::header::HeaderName;
use lavenderhatch_bench::Fleet;
use lavenderhatch_core::routing::{CallerLimits, HostRoute, HostRouteTable, WeightedService};
use lavenderhatch_decide::relay::{BackendPhase, BackendReport, BackendState};
use lavenderhatch_relay::{
    Blackboard, Endpoint, EndpointSnapshot, EndpointStats, HeaderNames, Relay, RelayConfig,
    SectionWriters, init_logging,
};
use lavenderhatch_standin::{REQUEST_ID_HEADER, SIGNATURE_HEADER};

use crate::SLOTS;

/// Name of the subcommand that runs the process.
pub(crate) const SUBCOMMAND: &str = "relay-node";
/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Latency up to which an answer has its full worth.
const LATENCY_TARGET: Duration = Duration::from_millis(50);
const ZONE: &str = "zone-a";

/// Service and addresses of a relay process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayNode<'a> {
    pub(crate) service: &'a str,
    pub(crate) caller_addr: SocketAddr,
    pub(crate) peer_addr: SocketAddr,
    pub(crate) backend_addr: SocketAddr,
}

/// A running relay process.
///
/// Dropping it kills the process.
#[derive(Debug)]
pub(crate) struct RelayProcess(Child);

impl Drop for RelayProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl<'a> RelayNode<'a> {
    /// Describes a node with unused addresses.
    pub(crate) fn new(service: &'a str, backend_addr: SocketAddr) -> Self {
        Self {
            service,
            caller_addr: Fleet::free_addr(),
            peer_addr: Fleet::free_addr(),
            backend_addr,
        }
    }

    /// Starts the process.
    ///
    /// `others` are the nodes to which it forwards requests. With a `log_level`, it logs as the
    /// daemon does; otherwise it does not log.
    pub(crate) fn spawn(
        &self,
        others: &[RelayNode<'_>],
        log_level: Option<&str>,
    ) -> Result<RelayProcess> {
        let mut command = Command::new(std::env::current_exe()?);
        command.arg(SUBCOMMAND);
        if let Some(level) = log_level {
            command.args(["--log-level", level]);
        }
        command.arg(self.service);
        for addr in [self.caller_addr, self.peer_addr, self.backend_addr] {
            command.arg(addr.to_string());
        }
        for other in others {
            command.arg(format!("{}={}", other.service, other.peer_addr));
        }
        // The process exits when its standard input is closed.
        let command = command.stdin(Stdio::piped()).stdout(Stdio::null());
        Ok(RelayProcess(command.spawn()?))
    }
}

/// Defines the hidden subcommand.
pub(crate) fn subcommand() -> clap::Command {
    let addr = |name: &'static str| {
        Arg::new(name)
            .required(true)
            .value_parser(value_parser!(SocketAddr))
    };
    clap::Command::new(SUBCOMMAND)
        .about("Carries requests for another process of this program")
        .hide(true)
        .arg(Arg::new("log-level").long("log-level"))
        .arg(Arg::new("service").required(true))
        .arg(addr("caller"))
        .arg(addr("peer"))
        .arg(addr("backend"))
        .arg(Arg::new("others").num_args(0..).value_name("SERVICE=ADDR"))
}

/// Runs the relay until standard input is closed.
pub(crate) fn run(args: &ArgMatches) -> Result<()> {
    let addr = |name: &str| {
        let addr = args.get_one::<SocketAddr>(name).copied();
        addr.ok_or_else(|| eyre!("missing address: {name}"))
    };
    let level = args.get_one::<String>("log-level");
    let _log = level.map(|level| init_logging(level)).transpose()?;
    let service = args.get_one::<String>("service");
    let service = service.ok_or_else(|| eyre!("missing service"))?;
    let cfg = config(service, addr("caller")?, addr("peer")?, addr("backend")?);
    let mut endpoints = vec![endpoint(service, cfg.peer_addr, true)];
    for other in args.get_many::<String>("others").unwrap_or_default() {
        let (service, addr) = other
            .split_once('=')
            .ok_or_else(|| eyre!("{other:?} does not have the form SERVICE=ADDR"))?;
        endpoints.push(endpoint(service, addr.parse()?, false));
    }
    let (board, writers) = Blackboard::new();
    let relay = Relay::spawn(cfg.clone(), board)?;
    publish_snapshots(&writers, &relay, &cfg, endpoints);
    stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}

fn config(
    service: &str,
    caller_addr: SocketAddr,
    peer_addr: SocketAddr,
    backend_addr: SocketAddr,
) -> RelayConfig {
    RelayConfig {
        zone: ZONE.to_owned(),
        service: service.to_owned(),
        caller_addr,
        peer_addr,
        backend_addr,
        headers: HeaderNames {
            request_id: HeaderName::from_static(REQUEST_ID_HEADER),
            time_left: HeaderName::from_static("time-left"),
            signature: HeaderName::from_static(SIGNATURE_HEADER),
            expected_backend: HeaderName::from_static("expected-backend"),
            not_run: HeaderName::from_static("not-run"),
            caller_service: HeaderName::from_static("caller-service"),
            rate_limit: HeaderName::from_static("rate-limit"),
            leaving: HeaderName::from_static("leaving"),
            credential: HeaderName::from_static("credential"),
            account: HeaderName::from_static("account"),
        },
        retry_ratio: 0.2,
        retry_burst: 20.0,
        backend_report_timeout: Duration::from_secs(24 * 3600),
        key_withdrawal: None,
        byte_limits: None,
        connection_limits: None,
        link_bytes_per_second: None,
        max_header_lines: 1024,
        enforces_account_limits: false,
    }
}

fn endpoint(service: &str, addr: SocketAddr, is_local: bool) -> (String, Endpoint) {
    let endpoint = Endpoint {
        id: service.to_owned(),
        incarnation: 1,
        addr,
        zone: ZONE.to_owned(),
        slots: SLOTS,
        accepts_packed_headers: true,
        version: String::new(),
        is_local,
        stats: Arc::new(EndpointStats::default()),
    };
    (service.to_owned(), endpoint)
}

fn publish_snapshots(
    writers: &SectionWriters,
    relay: &Relay,
    cfg: &RelayConfig,
    endpoints: Vec<(String, Endpoint)>,
) {
    let host = cfg.caller_addr.ip().to_string();
    let routes = endpoints
        .iter()
        .map(|(service, _)| (host.clone(), route(service)));
    let table = HostRouteTable::new(1, CallerLimits::default(), routes);
    writers.routing.publish(Some(table));
    let daemons = endpoints.len();
    let view = EndpointSnapshot::rebuild(&EndpointSnapshot::default(), endpoints, daemons);
    writers.endpoints.publish(view);
    let report = BackendReport {
        id: cfg.service.clone(),
        incarnation: 1,
        sequence: 1,
        slots: SLOTS,
        phase: BackendPhase::Ready,
        version: String::new(),
    };
    let mut state = BackendState::default();
    state.apply_report(&report, relay.clock().now());
    writers.backend.publish(state);
    relay.gate().set_slots(SLOTS);
}

fn route(service: &str) -> HostRoute {
    HostRoute {
        name: service.to_owned(),
        prefix: format!("/{service}"),
        is_idempotent: true,
        timeout: REQUEST_TIMEOUT,
        latency_target: LATENCY_TARGET,
        priority: 0,
        max_attempts: 2,
        allows_anonymous: false,
        services: vec![WeightedService {
            service: service.to_owned(),
            weight: 1,
        }],
    }
}
