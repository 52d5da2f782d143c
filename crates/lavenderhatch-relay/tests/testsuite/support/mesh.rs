//! Daemons with their backend servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::header::HeaderName;
use lavenderhatch_core::routing::{
    AccountLimit, AccountTable, CallerLimits, ClientAccount, HostRoute, HostRouteTable,
    WeightedService,
};
use lavenderhatch_decide::relay::{
    BackendPhase, BackendReport, BackendState, ByteBudgetLimits, ConnectionLimits,
};
use lavenderhatch_relay::{
    Blackboard, Endpoint, EndpointSnapshot, EndpointStats, HeaderNames, Relay, RelayConfig,
    SectionWriters,
};

use super::backend::Backend;
use super::caller::Caller;
use super::free_addr;

/// Number of slots of each backend server.
const SLOTS: u32 = 4;

/// A route of the test host.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouteSpec {
    pub(crate) prefix: &'static str,
    pub(crate) is_idempotent: bool,
    pub(crate) timeout_ms: u64,
    pub(crate) allows_anonymous: bool,
}

impl RouteSpec {
    /// A route of idempotent requests.
    pub(crate) const SAFE: Self = Self {
        prefix: "/safe/",
        is_idempotent: true,
        timeout_ms: 4000,
        allows_anonymous: false,
    };
    /// A route of requests that may run only once.
    pub(crate) const ONCE: Self = Self {
        prefix: "/once/",
        is_idempotent: false,
        timeout_ms: 4000,
        allows_anonymous: false,
    };
    /// A route of idempotent requests with a short timeout.
    pub(crate) const SHORT: Self = Self {
        prefix: "/short/",
        is_idempotent: true,
        timeout_ms: 200,
        allows_anonymous: false,
    };

    fn route(&self) -> HostRoute {
        HostRoute {
            name: self.prefix.to_owned(),
            prefix: self.prefix.to_owned(),
            is_idempotent: self.is_idempotent,
            timeout: Duration::from_millis(self.timeout_ms),
            latency_target: Duration::from_millis(self.timeout_ms / 2),
            priority: 0,
            max_attempts: 2,
            allows_anonymous: self.allows_anonymous,
            services: vec![WeightedService {
                service: "orders".to_owned(),
                weight: 1,
            }],
        }
    }
}

/// One daemon with its backend server.
pub(crate) struct Daemon {
    pub(crate) relay: Relay,
    pub(crate) blackboard: Blackboard,
    pub(crate) writers: SectionWriters,
    pub(crate) cfg: RelayConfig,
    id: String,
    /// Whether the other daemons send packed headers to this one.
    accepts_packed_headers: bool,
}

impl Daemon {
    fn spawn(at: usize, backend: &Backend, configure: impl Fn(&mut RelayConfig)) -> Self {
        let (blackboard, writers) = Blackboard::new();
        let mut cfg = config(backend.addr);
        configure(&mut cfg);
        let relay = Relay::spawn(cfg.clone(), blackboard.clone()).unwrap();
        let daemon = Self {
            relay,
            blackboard,
            writers,
            cfg,
            id: format!("b{at}"),
            // Every test with two daemons covers one of the forms.
            accepts_packed_headers: at % 2 == 1,
        };
        daemon.report(BackendPhase::Ready, 1);
        daemon
    }

    /// Applies a report of the backend server, as the daemon's controller does.
    pub(crate) fn report(&self, phase: BackendPhase, sequence: u64) {
        self.apply_report(1, sequence, phase);
    }

    /// Applies the first report of an incarnation.
    pub(crate) fn report_incarnation(&self, incarnation: u64) {
        self.apply_report(incarnation, 1, BackendPhase::Ready);
    }

    fn apply_report(&self, incarnation: u64, sequence: u64, phase: BackendPhase) {
        let report = BackendReport {
            id: self.id.clone(),
            incarnation,
            sequence,
            slots: SLOTS,
            phase,
            version: String::new(),
        };
        let mut state = BackendState::clone(&self.writers.backend.load());
        state.apply_report(&report, self.relay.clock().now());
        self.writers.backend.publish(state);
        self.relay.gate().set_slots(SLOTS);
        if phase != BackendPhase::Ready {
            self.relay.gate().refuse_waiting();
        }
    }

    pub(crate) fn caller(&self) -> Caller {
        Caller::connect(self.cfg.caller_addr)
    }

    fn endpoint(&self, is_local: bool) -> (String, Endpoint) {
        let endpoint = Endpoint {
            id: self.id.clone(),
            incarnation: 1,
            addr: self.cfg.peer_addr,
            zone: "a".to_owned(),
            slots: SLOTS,
            accepts_packed_headers: self.accepts_packed_headers,
            version: String::new(),
            is_local,
            stats: Arc::new(EndpointStats::default()),
        };
        ("orders".to_owned(), endpoint)
    }
}

/// Daemons that have each other's backend servers as endpoints.
pub(crate) struct Mesh {
    pub(crate) daemons: Vec<Daemon>,
}

impl Mesh {
    /// Starts a daemon for each backend server, with the routes in force on all of them.
    pub(crate) fn spawn(backends: &[&Backend], routes: &[RouteSpec]) -> Self {
        Self::spawn_with(backends, routes, |_| ())
    }

    /// Like [`Self::spawn`], with changes to the configuration of each daemon.
    pub(crate) fn spawn_with(
        backends: &[&Backend],
        routes: &[RouteSpec],
        configure: impl Fn(&mut RelayConfig),
    ) -> Self {
        let mesh = Self::spawn_configured(backends, configure);
        for daemon in &mesh.daemons {
            let routes = routes.iter();
            let routes = routes.map(|spec| ("shop.example".to_owned(), spec.route()));
            let table = HostRouteTable::new(1, CallerLimits::default(), routes);
            daemon.writers.routing.publish(Some(table));
        }
        mesh
    }

    /// Sets the limit of the account `shop`, whose API key is `key`.
    pub(crate) fn set_limit(&self, routes: &[RouteSpec], limit: Option<AccountLimit>) {
        for daemon in &self.daemons {
            let account = ClientAccount {
                name: "shop".to_owned(),
                priority: None,
                limit,
            };
            let accounts = AccountTable::new([(account, ["key"])]).unwrap();
            let routes = routes.iter();
            let routes = routes.map(|spec| ("shop.example".to_owned(), spec.route()));
            let table = HostRouteTable::new(2, CallerLimits::default(), routes);
            let table = table.with_accounts(Some(accounts));
            daemon.writers.routing.publish(Some(table));
        }
    }

    /// Starts a daemon for each backend server, without a routing table.
    pub(crate) fn spawn_without_routes(backends: &[&Backend]) -> Self {
        Self::spawn_configured(backends, |_| ())
    }

    fn spawn_configured(backends: &[&Backend], configure: impl Fn(&mut RelayConfig)) -> Self {
        let daemons = backends.iter().enumerate();
        let daemons: Vec<Daemon> = daemons
            .map(|(at, backend)| Daemon::spawn(at, backend, &configure))
            .collect();
        for local in 0..daemons.len() {
            let endpoints = daemons.iter().enumerate();
            let endpoints = endpoints.map(|(at, daemon)| daemon.endpoint(at == local));
            let before = EndpointSnapshot::default();
            let snapshot = EndpointSnapshot::rebuild(&before, endpoints, daemons.len());
            let addrs = daemons.iter().map(|daemon| daemon.cfg.peer_addr);
            let snapshot = snapshot.with_daemons(addrs);
            daemons[local].writers.endpoints.publish(snapshot);
        }
        Self { daemons }
    }

    /// Starts one daemon with the routes [`RouteSpec::SAFE`], [`RouteSpec::ONCE`] and
    /// [`RouteSpec::SHORT`].
    pub(crate) fn single(backend: &Backend) -> Self {
        let routes = [RouteSpec::SAFE, RouteSpec::ONCE, RouteSpec::SHORT];
        Self::spawn(&[backend], &routes)
    }

    /// Drains the backend server of the first daemon, which then forwards all requests to the
    /// others.
    pub(crate) fn drain_first_backend(&self) {
        self.drain_backend(0);
    }

    /// Drains the backend server of one daemon, which then forwards all requests to the others.
    pub(crate) fn drain_backend(&self, at: usize) {
        self.daemons[at].report(BackendPhase::Draining, 2);
    }
}

fn config(backend_addr: SocketAddr) -> RelayConfig {
    RelayConfig {
        zone: "a".to_owned(),
        service: "orders".to_owned(),
        caller_addr: free_addr(),
        peer_addr: free_addr(),
        backend_addr,
        headers: HeaderNames {
            request_id: HeaderName::from_static("request-id"),
            time_left: HeaderName::from_static("time-left"),
            signature: HeaderName::from_static("signature"),
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
        backend_report_timeout: Duration::from_secs(60),
        key_withdrawal: None,
        byte_limits: Some(ByteBudgetLimits::of_memory(160).unwrap()),
        connection_limits: Some(ConnectionLimits::of_descriptors(4100).unwrap()),
        link_bytes_per_second: None,
        max_header_lines: 1024,
        enforces_account_limits: true,
    }
}
