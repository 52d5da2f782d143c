//! Outgoing connections to other daemons. Each belongs to the thread that uses it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::twoparty::VatNetwork;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side};
use lavenderhatch_wire::MAX_TRAVERSAL_WORDS;
use lavenderhatch_wire::peer_capnp::peer;
use tokio::net::TcpStream;
use tokio::sync::OnceCell;
use tokio::task::spawn_local;
use tokio::time::timeout;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

use super::error::PeerError;
use super::traffic::{ConnectionTraffic, ControlTraffic, CountedStream};

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum nesting depth of a received message.
const NESTING_LIMIT: i32 = 32;

/// Returns the size and nesting limits for received messages.
pub(super) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_TRAVERSAL_WORDS));
    options.nesting_limit(NESTING_LIMIT);
    options
}

type ClientCell = Rc<OnceCell<peer::Client>>;

/// Open connections by peer address. Clones share the same connections.
#[derive(Clone)]
pub(super) struct Connections {
    /// Counters of the bytes on these connections.
    traffic: ControlTraffic,
    /// Clients of the daemons. A cell is empty while its connection is being established.
    clients: Rc<RefCell<HashMap<SocketAddr, ClientCell>>>,
}

impl Connections {
    pub(super) fn new(traffic: &ControlTraffic) -> Self {
        Self {
            traffic: traffic.clone(),
            clients: Rc::default(),
        }
    }

    /// Closes the connection to a daemon after its pending calls have ended.
    pub(super) fn close(&self, addr: SocketAddr) {
        self.clients.borrow_mut().remove(&addr);
    }

    /// Returns the RPC client of a daemon, and connects first if there is no connection.
    ///
    /// Callers that arrive while a connection is being established wait for the same one.
    pub(super) async fn client(&self, addr: SocketAddr) -> Result<peer::Client, PeerError> {
        let cell = self.clients.borrow_mut().entry(addr).or_default().clone();
        let client = cell.get_or_try_init(|| self.connect(addr, &cell)).await;
        client.cloned().inspect_err(|_| self.remove(addr, &cell))
    }

    async fn connect(
        &self,
        addr: SocketAddr,
        cell: &ClientCell,
    ) -> Result<peer::Client, PeerError> {
        let not_sent = |err: std::io::Error| PeerError::NotSent(format!("{addr}: {err}"));
        let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
            Ok(stream) => stream.map_err(not_sent)?,
            Err(_) => return Err(PeerError::NotSent(format!("{addr}: connect timed out"))),
        };
        stream.set_nodelay(true).map_err(not_sent)?;
        let (reader, writer) = stream.into_split();
        let traffic = ConnectionTraffic::new(&self.traffic);
        let network = VatNetwork::new(
            CountedStream::new(reader, &traffic).compat(),
            CountedStream::new(writer, &traffic).compat_write(),
            Side::Client,
            reader_options(),
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let client = system.bootstrap(Side::Server);
        let connections = self.clone();
        let cell = Rc::clone(cell);
        spawn_local(async move {
            let _ = system.await;
            connections.remove(addr, &cell);
        });
        Ok(client)
    }

    fn remove(&self, addr: SocketAddr, cell: &ClientCell) {
        let mut clients = self.clients.borrow_mut();
        if clients
            .get(&addr)
            .is_some_and(|present| Rc::ptr_eq(present, cell))
        {
            clients.remove(&addr);
        }
    }
}
