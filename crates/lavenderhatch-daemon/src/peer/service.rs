//! The Cap'n Proto RPC service that other daemons call.

use std::cell::RefCell;
use std::rc::Rc;

use capnp::Error;
use crossbeam::channel::Sender;
use lavenderhatch_core::{NodeId, Version};
use lavenderhatch_decide::message::UpdateRequest;
use lavenderhatch_wire::peer_capnp::peer;
use lavenderhatch_wire::{
    read_call, read_claim, read_digest, read_hello, read_outcome, write_hello, write_response,
    write_update, write_verdict,
};

use super::inbox::{
    DistributionRequest, ForwardRequest, HeartbeatRequest, Inboxes, MemberRequest, OrderRequest,
    Reply,
};
use super::traffic::ConnectionTraffic;

/// Decodes each message of a connection and passes it to the thread that handles it.
pub(super) struct PeerService {
    inboxes: Inboxes,
    traffic: ConnectionTraffic,
    /// Sender of the last heartbeat on this connection.
    peer: RefCell<Option<NodeId>>,
}

impl PeerService {
    pub(super) fn new(inboxes: Inboxes, traffic: ConnectionTraffic) -> Self {
        Self {
            inboxes,
            traffic,
            peer: RefCell::new(None),
        }
    }
}

impl peer::Server for PeerService {
    async fn heartbeat(
        self: Rc<Self>,
        params: peer::HeartbeatParams,
        mut results: peer::HeartbeatResults,
    ) -> Result<(), Error> {
        let hello = read_hello(params.get()?.get_hello()?)?;
        self.peer.replace(Some(hello.node.clone()));
        let build = |reply| MemberRequest::Heartbeat(HeartbeatRequest { hello, reply });
        let own = request(&self.inboxes.members, build).await?;
        write_hello(&own, results.get().init_hello());
        Ok(())
    }

    async fn announce(
        self: Rc<Self>,
        params: peer::AnnounceParams,
        _results: peer::AnnounceResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let version = Version(params.get_version());
        let digest = read_digest("digest", params.get_digest()?)?;
        let from = self.peer.borrow().clone();
        let Some(from) = from else {
            return Err(Error::failed("the sender is not known".to_owned()));
        };
        let announcement = MemberRequest::Announce {
            node: from.clone(),
            version,
        };
        enqueue(&self.inboxes.members, announcement)?;
        let req = DistributionRequest::Announce {
            from,
            version,
            digest,
        };
        enqueue(&self.inboxes.distribution, req)
    }

    async fn update(
        self: Rc<Self>,
        params: peer::UpdateParams,
        mut results: peer::UpdateResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let held = Version(params.get_held());
        let want = Version(params.get_want());
        let req = UpdateRequest { held, want };
        let build = |reply| DistributionRequest::Update { req, reply };
        let update = request(&self.inboxes.distribution, build).await?;
        write_update(&update, results.get().init_update());
        Ok(())
    }

    async fn carry(
        self: Rc<Self>,
        params: peer::CarryParams,
        mut results: peer::CarryResults,
    ) -> Result<(), Error> {
        self.traffic.mark_as_call_connection();
        let call = read_call(params.get()?.get_call()?)?;
        drop(params);
        let answer = request(&self.inboxes.forwarded_calls, |reply| ForwardRequest {
            call,
            reply,
        })
        .await?;
        write_response(&answer, results.get().init_answer());
        Ok(())
    }

    async fn claim(
        self: Rc<Self>,
        params: peer::ClaimParams,
        mut results: peer::ClaimResults,
    ) -> Result<(), Error> {
        let claim = read_claim(params.get()?.get_claim()?)?;
        let build = |reply| OrderRequest::Claim { claim, reply };
        let verdict = request(&self.inboxes.orders, build).await?;
        write_verdict(&verdict, results.get().init_verdict());
        Ok(())
    }

    async fn outcome(
        self: Rc<Self>,
        params: peer::OutcomeParams,
        _results: peer::OutcomeResults,
    ) -> Result<(), Error> {
        let record = read_outcome(params.get()?.get_record()?)?;
        enqueue(&self.inboxes.orders, OrderRequest::Outcome(record))
    }
}

/// Queues a request and waits for its answer.
async fn request<Q, A>(inbox: &Sender<Q>, build: impl FnOnce(Reply<A>) -> Q) -> Result<A, Error> {
    let (reply, rx) = Reply::channel();
    enqueue(inbox, build(reply))?;
    rx.await
        .map_err(|_| Error::failed("the request was dropped".to_owned()))
}

fn enqueue<Q>(inbox: &Sender<Q>, req: Q) -> Result<(), Error> {
    let sent = inbox.try_send(req);
    sent.map_err(|_| Error::overloaded("the inbox is full".to_owned()))
}
