//! The threads that serve callers and other daemons.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::thread;

use eyre::{Result, WrapErr};
use tokio::runtime::Builder;
use tokio::task::LocalSet;
use tracing::error;

use crate::admission_gate::AdmissionGate;
use crate::blackboard::Blackboard;
use crate::byte_holding::SharedByteBudget;
use crate::config::RelayConfig;
use crate::connections::Connections;
use crate::exchange::{CallerPort, LocalBackend, PeerPort, Router, serve_port};
use crate::io::bind_listener;
use crate::metrics::Metrics;
use crate::monotonic_clock::MonotonicClock;

/// Stack size of a thread that serves connections, in bytes.
const STACK_BYTES: usize = 512 * 1024;

/// The running ports for callers and for other daemons.
///
/// The threads of the ports run until the process exits.
#[derive(Debug)]
pub struct Relay {
    gate: Arc<AdmissionGate>,
    clock: MonotonicClock,
    metrics: Metrics,
}

impl Relay {
    /// Binds the ports and starts a thread for each of them.
    pub fn spawn(cfg: RelayConfig, blackboard: Blackboard) -> Result<Self> {
        let clock = MonotonicClock::start();
        let gate = AdmissionGate::new(clock);
        let metrics = Metrics::new()?;
        let caller_listener = bind_listener(cfg.caller_addr)
            .wrap_err_with(|| format!("cannot listen on {}", cfg.caller_addr))?;
        let peer_listener = bind_listener(cfg.peer_addr)
            .wrap_err_with(|| format!("cannot listen on {}", cfg.peer_addr))?;
        let relay = Self {
            gate: Arc::clone(&gate),
            clock,
            metrics: metrics.clone(),
        };
        let budget = SharedByteBudget::new(cfg.byte_limits, clock, metrics.clone());
        let new_backend = {
            let cfg = cfg.clone();
            move || {
                let (blackboard, gate) = (blackboard.clone(), Arc::clone(&gate));
                LocalBackend::new(blackboard, gate, clock, &cfg, budget.clone())
            }
        };
        let caller_backend = new_backend.clone();
        let peer_cfg = cfg.clone();
        let peer_metrics = metrics.clone();
        let limits = cfg.connection_limits;
        spawn_port_thread("callers", move || {
            let max = limits.map(|limits| limits.callers);
            let connections = Connections::new("callers", max, clock, metrics.clone());
            let router = Router::new(caller_backend(), &cfg, metrics);
            serve_port(CallerPort::new(router), caller_listener, connections)
        })?;
        spawn_port_thread("peers", move || {
            let max = limits.map(|limits| limits.peers);
            let connections = Connections::new("peers", max, clock, peer_metrics.clone());
            let port = PeerPort::new(new_backend(), &peer_cfg, peer_metrics);
            serve_port(port, peer_listener, connections)
        })?;
        Ok(relay)
    }

    /// Returns the gate that limits concurrent requests at the local backend server.
    pub fn gate(&self) -> &Arc<AdmissionGate> {
        &self.gate
    }

    /// Returns the monotonic clock that deadlines refer to.
    pub fn clock(&self) -> MonotonicClock {
        self.clock
    }

    /// Returns the metrics of the request path.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }
}

/// Runs a port on a new thread, with an event loop that owns the port's connections.
fn spawn_port_thread<F: Future<Output = io::Result<()>>>(
    name: &'static str,
    serve: impl FnOnce() -> F + Send + 'static,
) -> Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let run = move || {
        let local = LocalSet::new();
        let served = local.block_on(&runtime, async { serve().await });
        if let Err(err) = served {
            error!(port = name, error = %err, "relay: port failed");
        }
        // Serves the connections that are still open until they end.
        runtime.block_on(local);
    };
    thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES)
        .spawn(run)?;
    Ok(())
}
