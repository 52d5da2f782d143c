//! At-most-once execution of orders: the orders that this daemon runs and the claim ranges that it
//! owns.
//!
//! An order is a request on a route that is not idempotent. Before an order with a key that the
//! caller chose runs, it is claimed in the platform. Claims are divided into ranges by the hash of
//! the key, and each range has one owner among the daemons.
//!
//! Writes the `claims` section of the blackboard.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, after, select, tick};
use eyre::Result;
use lavenderhatch_core::audit::{AuditAction, AuditEvent};
use lavenderhatch_core::blackboard::{SectionReader, SectionWriter};
use lavenderhatch_core::claims::ClaimsSnapshot;
use lavenderhatch_core::member::Members;
use lavenderhatch_core::mesh::Limits;
use lavenderhatch_core::{ConfigSnapshot, Incarnation, NodeId, Timestamp};
use lavenderhatch_decide::message::{Claim, ClaimVerdict, OutcomeRecord};
use lavenderhatch_decide::orders::{
    BeginResult, ExecutionTable, OwnerCounts, OwnerView, RangeId, RangeOwner, RangeOwners,
};
use lavenderhatch_platform::Platform;

use super::audit::AuditSender;
use super::handle::ControllerHandle;
use super::order_io::{self, IoCompletion, IoJob, IoResult};
use super::order_resends::Resends;
use crate::peer::{
    BeginOrder, BeginReply, FinishOrder, OrderRequest, PeerCommand, PeerLinks, Reply,
};

/// Interval at which members are read, owned ranges updated and the `claims` section published.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(500);
/// Least interval between two computations of the range owners, each of which takes 10 to 20 ms for
/// 22,000 members.
const OWNER_UPDATE_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a daemon must see itself as the owner of a range before it loads the log of the
/// range without a request. A daemon that has just started knows few members, so it sees itself as
/// the owner of many ranges.
const OWNERSHIP_DELAY: Duration = Duration::from_secs(3);
/// Longest wait between two checks of the ranges.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of requests that are handled before platform exchanges are started and verdicts
/// sent.
const MAX_REQUESTS_PER_PASS: usize = 256;

/// Controller of orders and claim ranges.
#[derive(Debug)]
pub struct OrderController<P> {
    /// Id of this daemon.
    pub own: NodeId,
    /// Incarnation of this daemon, which tells it apart from its earlier runs.
    pub incarnation: Incarnation,
    /// Platform that stores the logs of the claim ranges.
    pub platform: P,
    /// The configuration in force.
    pub config: SectionReader<Option<ConfigSnapshot>>,
    /// Known members, from which the owners of the ranges are computed.
    pub members: SectionReader<Members>,
    /// Writer of the `claims` section, which this controller owns.
    pub claims: SectionWriter<ClaimsSnapshot>,
    /// Requests of peers and of the local request path.
    pub requests: Receiver<OrderRequest>,
    /// Number of idempotency keys that this incarnation has issued.
    pub issued_count: Arc<AtomicU64>,
    /// Links to peers.
    pub links: PeerLinks,
    /// Audit trail, for ranges that this daemon takes over.
    pub audit: AuditSender,
}

impl<P: Platform + Clone> OrderController<P> {
    /// Starts the controller thread and the threads that exchange data with the platform.
    pub fn spawn(self) -> Result<ControllerHandle> {
        let (jobs, done) = order_io::spawn(&self.platform)?;
        ControllerHandle::spawn("order", move |stop| {
            EventLoop::new(self, jobs).run(&stop, &done);
        })
    }
}

/// Receiver of the verdict on a claim: a peer or the local request path.
#[derive(Debug)]
enum VerdictReceiver {
    Peer(Reply<ClaimVerdict>),
    Local(Sender<BeginReply>),
}

impl VerdictReceiver {
    fn send(self, verdict: ClaimVerdict) {
        match self {
            VerdictReceiver::Peer(reply) => reply.send(verdict),
            // A disconnected receiver has given up the attempt.
            VerdictReceiver::Local(reply) => drop(reply.try_send(BeginReply::Verdict(verdict))),
        }
    }
}

/// State of the controller thread.
struct EventLoop<P> {
    cx: OrderController<P>,
    table: ExecutionTable,
    members: Arc<Members>,
    owners: RangeOwners,
    owners_updated_at: Timestamp,
    /// Ranges that this daemon owns in its own view, and since when.
    owned_since: BTreeMap<RangeId, Timestamp>,
    /// Ranges whose log this daemon has loaded or is about to load, whether it owns them or not.
    ranges: BTreeMap<RangeId, RangeOwner<VerdictReceiver>>,
    next_batch: u64,
    resends: Resends,
    jobs: Sender<IoJob>,
    /// Sum of the counts of ranges that were dropped from `ranges`.
    dropped_range_counts: OwnerCounts,
}

impl<P> EventLoop<P> {
    fn new(cx: OrderController<P>, jobs: Sender<IoJob>) -> Self {
        Self {
            table: ExecutionTable::new(cx.own.clone(), cx.incarnation),
            members: cx.members.load_full(),
            owners: RangeOwners::default(),
            owners_updated_at: Timestamp::default(),
            owned_since: BTreeMap::new(),
            ranges: BTreeMap::new(),
            next_batch: 0,
            resends: Resends::default(),
            jobs,
            dropped_range_counts: OwnerCounts::default(),
            cx,
        }
    }

    fn run(mut self, stop: &Receiver<()>, done: &Receiver<IoCompletion>) {
        let ticks = tick(HOUSEKEEPING_INTERVAL);
        self.run_housekeeping();
        loop {
            let wake = after(self.next_wait());
            select! {
                recv(stop) -> _ => return,
                recv(self.cx.requests) -> req => match req {
                    Ok(req) => self.handle_request(req),
                    Err(_) => return,
                },
                recv(done) -> completion => match completion {
                    Ok(completion) => self.handle_io_completion(completion),
                    Err(_) => return,
                },
                recv(ticks) -> _ => self.run_housekeeping(),
                recv(wake) -> _ => {}
            }
            for _ in 1..MAX_REQUESTS_PER_PASS {
                let Ok(req) = self.cx.requests.try_recv() else {
                    break;
                };
                self.handle_request(req);
            }
            self.advance();
        }
    }

    /// Returns the time until a range may have work to do.
    fn next_wait(&self) -> Duration {
        let now = Timestamp::from_system_clock();
        let wakes = self.ranges.values().filter_map(RangeOwner::wake_at);
        wakes
            .min()
            .map_or(MAX_WAIT, |at| at.since(now).min(MAX_WAIT))
    }

    fn handle_request(&mut self, req: OrderRequest) {
        match req {
            OrderRequest::Claim { claim, reply } => self.claim(claim, VerdictReceiver::Peer(reply)),
            OrderRequest::Outcome(record) => self.record_outcome(&record),
            OrderRequest::Begin(begin) => self.begin(begin),
            OrderRequest::Finish(FinishOrder {
                key,
                attempt,
                result,
            }) => {
                if let Some(record) = self.table.finish(key, attempt, result) {
                    self.report_outcome(record);
                }
            }
        }
    }

    fn begin(&mut self, begin: BeginOrder) {
        let BeginOrder {
            key,
            request,
            origin,
            attempt,
            reply,
        } = begin;
        let issued_count = self.cx.issued_count.load(Ordering::Relaxed);
        let answer = match self
            .table
            .begin(key, request, origin, attempt, issued_count)
        {
            BeginResult::Run => BeginReply::Run,
            BeginResult::Answer(answer) => BeginReply::Answer(answer),
            BeginResult::Claim => {
                let claim = self.table.claim(key, request, attempt);
                let owners = self.owner_addrs(RangeId::for_key(&key));
                if owners.is_empty() {
                    return self.claim(claim, VerdictReceiver::Local(reply));
                }
                BeginReply::Claim { claim, owners }
            }
        };
        let _ = reply.try_send(answer);
    }

    /// Returns the peer addresses of the owner candidates of a range that come before this daemon.
    ///
    /// The list is empty if this daemon is the owner.
    fn owner_addrs(&self, range: RangeId) -> Vec<SocketAddr> {
        let candidates = self.owners.candidates(range).iter();
        let others = candidates.take_while(|id| **id != self.cx.own);
        let records = others.filter_map(|id| self.members.get(id.as_str()));
        records.map(|record| record.peer_addr).collect()
    }

    fn claim(&mut self, claim: Claim, receiver: VerdictReceiver) {
        let range = RangeId::for_key(&claim.key_hash);
        let members = Arc::clone(&self.members);
        let view = self.owner_view(&members, range);
        self.range_owner(range).claim(claim, receiver, &view);
    }

    fn record_outcome(&mut self, record: &OutcomeRecord) {
        let range = RangeId::for_key(&record.key_hash);
        let members = Arc::clone(&self.members);
        let view = self.owner_view(&members, range);
        // The log of a range that is not loaded here may contain the claim, so it is loaded.
        self.range_owner(range).record_outcome(record, &view);
    }

    fn range_owner(&mut self, range: RangeId) -> &mut RangeOwner<VerdictReceiver> {
        let Self {
            ranges,
            cx,
            next_batch,
            ..
        } = self;
        ranges.entry(range).or_insert_with(|| {
            // A range that is opened again must not reuse batch numbers of its earlier owner state.
            *next_batch += 1;
            RangeOwner::new(cx.own.clone(), cx.incarnation, *next_batch << 32)
        })
    }

    fn owner_view<'m>(&self, members: &'m Members, range: RangeId) -> OwnerView<'m> {
        OwnerView {
            now: Timestamp::from_system_clock(),
            retention: self.retention(),
            members,
            owned_since: self.owned_since.get(&range).copied(),
        }
    }

    fn retention(&self) -> Duration {
        let config = self.cx.config.load();
        let hours = config.as_ref().as_ref().map_or_else(
            || Limits::default().claim_retention_h,
            |config| config.mesh.limits().claim_retention_h,
        );
        Duration::from_secs(u64::from(hours) * 3600)
    }

    /// Reports an outcome to the owner of its range, now and again after each resend delay.
    fn report_outcome(&mut self, record: OutcomeRecord) {
        let now = Timestamp::from_system_clock();
        self.send_outcome(&record);
        self.resends.push(record, now);
    }

    fn send_outcome(&mut self, record: &OutcomeRecord) {
        match self.owner_addrs(RangeId::for_key(&record.key_hash)).first() {
            None => self.record_outcome(record),
            Some(addr) => {
                let record = record.clone();
                self.cx.links.send(*addr, PeerCommand::Outcome { record });
            }
        }
    }

    fn handle_io_completion(&mut self, completion: IoCompletion) {
        let members = Arc::clone(&self.members);
        let view = self.owner_view(&members, completion.range);
        let owner = self.range_owner(completion.range);
        match completion.result {
            IoResult::Loaded(snapshot) => owner.handle_load_result(snapshot, &view),
            IoResult::Committed(result) => owner.handle_commit_result(result, &view),
        }
    }

    /// Starts due platform exchanges and sends the verdicts that have been reached.
    fn advance(&mut self) {
        let view = OwnerView {
            now: Timestamp::from_system_clock(),
            retention: self.retention(),
            members: &self.members,
            owned_since: None,
        };
        for (range, owner) in &mut self.ranges {
            let view = OwnerView {
                owned_since: self.owned_since.get(range).copied(),
                ..view
            };
            if let Some(step) = owner.next_step(&view) {
                let range = *range;
                // Cannot fail: the threads end only after this controller.
                let _ = self.jobs.send(IoJob { range, step });
            }
            for (receiver, verdict) in owner.take_verdicts() {
                receiver.send(verdict);
            }
        }
    }

    fn run_housekeeping(&mut self) {
        let now = Timestamp::from_system_clock();
        self.members = self.cx.members.load_full();
        if now.since(self.owners_updated_at) >= OWNER_UPDATE_INTERVAL {
            self.owners_updated_at = now;
            if !self.owners.is_current_for(&self.members) {
                self.owners = RangeOwners::from_members(&self.members);
            }
        }
        self.update_owned_ranges(now);
        while let Some(record) = self.resends.pop_due(now) {
            self.send_outcome(&record);
        }
        self.publish();
    }

    fn update_owned_ranges(&mut self, now: Timestamp) {
        for range in RangeId::all() {
            if !self.owners.is_owner(range, &self.cx.own) {
                self.owned_since.remove(&range);
                continue;
            }
            let since = *self.owned_since.entry(range).or_insert(now);
            let is_settled = self.members.is_joined && now.since(since) >= OWNERSHIP_DELAY;
            if is_settled && !self.ranges.contains_key(&range) {
                self.range_owner(range);
                self.report_take_over(range, now);
            }
        }
        let Self {
            ranges,
            owned_since,
            dropped_range_counts,
            ..
        } = self;
        // A range that was loaded before this daemon became its owner may lack claims that the
        // previous owner wrote afterwards, so it is dropped once it has no pending work.
        ranges.retain(|range, owner| {
            let is_fresh = |since| owner.loaded_at() >= since || !owner.is_current();
            let is_own = owned_since.get(range).copied().is_some_and(is_fresh);
            let is_kept = is_own || !owner.is_idle();
            if !is_kept {
                add_counts(dropped_range_counts, owner.counts());
            }
            is_kept
        });
    }

    fn report_take_over(&self, range: RangeId, now: Timestamp) {
        self.cx.audit.send(AuditEvent {
            at: now,
            actor: self.cx.own.to_string(),
            action: AuditAction::RangeTakenOver,
            object: format!("claims/{range}"),
            from: None,
            to: None,
            reason: "first of the live members by rendezvous hash".to_owned(),
        });
    }

    fn publish(&self) {
        let mut counts = self.dropped_range_counts;
        let mut pending = 0;
        for owner in self.ranges.values() {
            add_counts(&mut counts, owner.counts());
            pending += owner.pending_claims();
        }
        let owned = self
            .ranges
            .iter()
            .filter(|(range, owner)| owner.is_current() && self.owned_since.contains_key(range));
        let snapshot = ClaimsSnapshot {
            owned_ranges: owned.map(|(range, _)| range.number()).collect(),
            pending: pending as u32,
            granted: counts.granted,
            refused: counts.refused,
            conflicts: counts.conflicts,
        };
        if **self.cx.claims.load() != snapshot {
            self.cx.claims.publish(snapshot);
        }
    }
}

fn add_counts(sum: &mut OwnerCounts, more: OwnerCounts) {
    sum.granted += more.granted;
    sum.refused += more.refused;
    sum.conflicts += more.conflicts;
}
