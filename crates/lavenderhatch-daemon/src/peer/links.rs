//! Calls to other daemons from any thread.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use capnp::capability::{Promise, Response};
use capnp::traits::Owned;
use crossbeam::channel::{Receiver, Sender, bounded};
use eyre::Result;
use lavenderhatch_core::call::{CallResponse, StoredCall};
use lavenderhatch_decide::message::{Claim, ClaimVerdict};
use lavenderhatch_wire::{
    WireError, read_hello, read_response, read_update, read_verdict, write_call, write_claim,
    write_hello, write_outcome,
};
use tokio::runtime::Builder;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;
use tracing::warn;

use super::command::{PeerCommand, PeerReply};
use super::connection::Connections;
use super::error::PeerError;
use super::traffic::ControlTraffic;

/// Longest wait for the answer to a heartbeat, an announcement or an outcome.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait for the answer to an update request, which may contain a whole mesh.
const UPDATE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time for which the answer to a forwarded call is awaited beyond the call's timeout. The peer
/// answers by that timeout whether the call has run, and its answer is on its way then.
const FORWARD_REPLY_TIME: Duration = Duration::from_millis(250);

/// A command with its destination.
struct AddressedCommand {
    addr: SocketAddr,
    command: PeerCommand,
}

/// Handle for calls to other daemons. Clones share the same threads and connections.
#[derive(Clone, Debug)]
pub struct PeerLinks {
    /// Command queue of each thread. Invariant: not empty.
    queues: Arc<[UnboundedSender<AddressedCommand>]>,
}

impl PeerLinks {
    /// Starts `threads` threads, at least one. All messages to one daemon use the same thread.
    pub fn spawn(threads: usize, traffic: &ControlTraffic) -> Result<Self> {
        let mut queues = Vec::with_capacity(threads);
        for n in 0..threads.max(1) {
            let (tx, rx) = unbounded_channel();
            let name = format!("peer-link-{n}");
            let traffic = traffic.clone();
            thread::Builder::new()
                .name(name)
                .spawn(move || run(rx, &traffic))?;
            queues.push(tx);
        }
        Ok(Self {
            queues: queues.into(),
        })
    }

    /// Sends a message. The answer arrives on the channel inside the command.
    pub fn send(&self, addr: SocketAddr, command: PeerCommand) {
        let mut hasher = DefaultHasher::new();
        addr.hash(&mut hasher);
        let at = hasher.finish() as usize % self.queues.len();
        // Fails only if the thread has ended. The command is dropped then, and no answer arrives.
        let _ = self.queues[at].send(AddressedCommand { addr, command });
    }

    /// Forwards a call and waits for its response, a short time beyond `time_left`.
    pub fn forward(
        &self,
        addr: SocketAddr,
        call: &Arc<StoredCall>,
        time_left: Duration,
    ) -> Result<CallResponse, PeerError> {
        let (done, rx) = bounded(1);
        let call = Arc::clone(call);
        self.send(
            addr,
            PeerCommand::ForwardCall {
                call,
                timeout: time_left,
                done,
            },
        );
        wait_for_reply(&rx)
    }

    /// Claims the right to run an order and waits for the verdict.
    pub fn claim(
        &self,
        addr: SocketAddr,
        claim: &Claim,
        time_left: Duration,
    ) -> Result<ClaimVerdict, PeerError> {
        let (done, rx) = bounded(1);
        let claim = claim.clone();
        self.send(
            addr,
            PeerCommand::Claim {
                claim,
                timeout: time_left,
                done,
            },
        );
        wait_for_reply(&rx)
    }
}

fn wait_for_reply<T>(rx: &Receiver<PeerReply<T>>) -> Result<T, PeerError> {
    match rx.recv() {
        Ok(reply) => reply.result,
        Err(_) => Err(PeerError::NoAnswer("the link has ended".to_owned())),
    }
}

fn run(rx: UnboundedReceiver<AddressedCommand>, traffic: &ControlTraffic) {
    match Builder::new_current_thread().enable_all().build() {
        Ok(rt) => LocalSet::new().block_on(&rt, run_commands(rx, traffic)),
        Err(err) => warn!("peer: cannot start the executor: {err}"),
    }
}

async fn run_commands(mut rx: UnboundedReceiver<AddressedCommand>, traffic: &ControlTraffic) {
    // Forwarded calls use separate connections, so that a heartbeat never waits behind a large
    // body.
    let control = Connections::new(traffic);
    let calls = Connections::new(&ControlTraffic::default());
    while let Some(AddressedCommand { addr, command }) = rx.recv().await {
        let connections = match command {
            PeerCommand::ForwardCall { .. } => &calls,
            _ => &control,
        };
        spawn_local(execute(connections.clone(), addr, command));
    }
}

async fn execute(connections: Connections, addr: SocketAddr, command: PeerCommand) {
    match command {
        PeerCommand::Heartbeat { hello, done } => {
            let result = async {
                let mut req = connections.client(addr).await?.heartbeat_request();
                write_hello(&hello, req.get().init_hello());
                let res = await_response(HEARTBEAT_TIMEOUT, req.send().promise).await?;
                decode(res.get().and_then(|res| res.get_hello()), read_hello)
            };
            send_reply(&done, addr, result.await);
        }
        PeerCommand::Announce {
            version,
            digest,
            done,
        } => {
            let result = async {
                let mut req = connections.client(addr).await?.announce_request();
                req.get().set_version(version.0);
                req.get().set_digest(digest.as_bytes());
                await_response(HEARTBEAT_TIMEOUT, req.send().promise).await
            };
            send_reply(&done, addr, result.await.map(|_| version));
        }
        PeerCommand::Close => connections.close(addr),
        PeerCommand::Update {
            req: versions,
            done,
        } => {
            let result = async {
                let mut req = connections.client(addr).await?.update_request();
                req.get().set_held(versions.held.0);
                req.get().set_want(versions.want.0);
                let res = await_response(UPDATE_TIMEOUT, req.send().promise).await?;
                decode(res.get().and_then(|res| res.get_update()), read_update)
            };
            send_reply(&done, addr, result.await);
        }
        PeerCommand::ForwardCall {
            call,
            timeout,
            done,
        } => {
            let result = async {
                let mut req = connections.client(addr).await?.carry_request();
                write_call(&call.view(), req.get().init_call());
                let limit = timeout + FORWARD_REPLY_TIME;
                let res = await_response(limit, req.send().promise).await?;
                decode(res.get().and_then(|res| res.get_answer()), read_response)
            };
            send_reply(&done, addr, result.await);
        }
        PeerCommand::Claim {
            claim,
            timeout,
            done,
        } => {
            let result = async {
                let mut req = connections.client(addr).await?.claim_request();
                write_claim(&claim, req.get().init_claim());
                let res = await_response(timeout, req.send().promise).await?;
                decode(res.get().and_then(|res| res.get_verdict()), read_verdict)
            };
            send_reply(&done, addr, result.await);
        }
        PeerCommand::Outcome { record } => {
            let Ok(client) = connections.client(addr).await else {
                return;
            };
            let mut req = client.outcome_request();
            write_outcome(&record, req.get().init_record());
            let _ = await_response(HEARTBEAT_TIMEOUT, req.send().promise).await;
        }
    }
}

async fn await_response<R: Owned>(
    limit: Duration,
    promise: Promise<Response<R>, capnp::Error>,
) -> Result<Response<R>, PeerError> {
    match timeout(limit, promise).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(err)) => Err(PeerError::NoAnswer(err.to_string())),
        Err(_) => Err(PeerError::TimedOut),
    }
}

fn decode<M, T>(
    msg: Result<M, capnp::Error>,
    read: impl FnOnce(M) -> Result<T, WireError>,
) -> Result<T, PeerError> {
    let value = msg.map_err(WireError::from).and_then(read);
    value.map_err(|err| PeerError::NoAnswer(err.to_string()))
}

fn send_reply<T>(done: &Sender<PeerReply<T>>, addr: SocketAddr, result: Result<T, PeerError>) {
    let _ = done.send(PeerReply { addr, result });
}
