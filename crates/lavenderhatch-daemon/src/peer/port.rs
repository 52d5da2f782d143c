//! The port on which other daemons connect.

use std::net::{SocketAddr, TcpListener};
use std::thread;

use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use eyre::{Context, Result};
use lavenderhatch_wire::peer_capnp::peer;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::task::{LocalSet, spawn_local};
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};
use tracing::{debug, warn};

use super::connection::reader_options;
use super::inbox::Inboxes;
use super::service::PeerService;
use super::traffic::{ConnectionTraffic, ControlTraffic, CountedStream};

/// Bound port for other daemons. Its threads end with the process.
#[derive(Debug)]
pub struct PeerPort {
    addr: SocketAddr,
}

impl PeerPort {
    /// Binds `addr` and starts `threads` threads that serve peers.
    pub fn bind(
        addr: SocketAddr,
        threads: usize,
        inboxes: &Inboxes,
        traffic: &ControlTraffic,
    ) -> Result<Self> {
        let listener = TcpListener::bind(addr)
            .wrap_err_with(|| format!("cannot bind the peer port to {addr}"))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        for n in 0..threads {
            let listener = listener.try_clone()?;
            let (inboxes, traffic) = (inboxes.clone(), traffic.clone());
            let name = format!("peer-port-{n}");
            thread::Builder::new()
                .name(name)
                .spawn(move || run_executor(listener, inboxes, traffic))?;
        }
        Ok(Self { addr })
    }

    /// Returns the bound address, with the actual port if port 0 was requested.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

fn run_executor(listener: TcpListener, inboxes: Inboxes, traffic: ControlTraffic) {
    let rt = match Builder::new_current_thread().enable_all().build() {
        Ok(rt) => rt,
        Err(err) => return warn!("peer: cannot start the executor of the port: {err}"),
    };
    LocalSet::new().block_on(&rt, accept_connections(listener, inboxes, traffic));
}

async fn accept_connections(listener: TcpListener, inboxes: Inboxes, traffic: ControlTraffic) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(err) => return warn!("peer: cannot listen on the port: {err}"),
    };
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                let traffic = ConnectionTraffic::new(&traffic);
                spawn_local(serve_connection(stream, addr, inboxes.clone(), traffic));
            }
            Err(err) => {
                warn!("peer: cannot accept a connection: {err}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Wait after a failed accept, because it fails again at once while no file descriptor is free.
const ACCEPT_BACKOFF: std::time::Duration = std::time::Duration::from_millis(100);

async fn serve_connection(
    stream: TcpStream,
    addr: SocketAddr,
    inboxes: Inboxes,
    traffic: ConnectionTraffic,
) {
    if let Err(err) = stream.set_nodelay(true) {
        return debug!("peer: cannot set up the connection from {addr}: {err}");
    }
    let (reader, writer) = stream.into_split();
    let network = VatNetwork::new(
        CountedStream::new(reader, &traffic).compat(),
        CountedStream::new(writer, &traffic).compat_write(),
        Side::Server,
        reader_options(),
    );
    let client: peer::Client = capnp_rpc::new_client(PeerService::new(inboxes, traffic));
    let system = RpcSystem::new(Box::new(network), Some(client.client));
    if let Err(err) = system.await {
        debug!("peer: connection from {addr} ended: {err}");
    }
}
