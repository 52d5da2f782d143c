//! Borrows tokens for the requests that a daemon receives.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use lavenderhatch_core::Timestamp;
use lavenderhatch_core::routing::AccountLimit;

use super::MAX_WAIT;
use super::account_demand::AccountDemand;
use super::account_id::{AccountId, GROUPS, GroupSet};
use super::daemon_set::FleetView;
use super::decision::{Decision, Outgoing, Ticket, TicketOutcome};
use super::delegation::Delegation;
use super::link::Link;
use super::local_bucket::LocalShare;
use super::message::{Lease, QuotaRequest, QuotaResponse};
use super::recent_max::RecentMax;
use super::token::{Token, TokenSource};

/// Time between a message and one that only fetches tokens for requests that have not arrived yet.
const PREFETCH_GAP: Duration = Duration::from_millis(100);
/// Retry delay that is advised while neither a coordinator nor the own share can be used.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Coordinator that each group of accounts borrows from.
type Targets = [Option<SocketAddr>; GROUPS];

/// The state of a daemon that borrows tokens. All times are on a clock that counts suspensions.
#[derive(Clone, Debug)]
pub struct Borrower {
    /// Tells this process from earlier ones.
    incarnation: u32,
    sequence: u64,
    next_ticket: u64,
    view: FleetView,
    /// Number of the view, ascending.
    generation: u64,
    /// Time from which this daemon may use its share; `None` before.
    entitled_since: Option<Timestamp>,
    heard_daemons: RecentMax,
    links: BTreeMap<SocketAddr, Link>,
    delegations: [Delegation; GROUPS],
    accounts: BTreeMap<AccountId, AccountDemand>,
    /// Whether a request has made a message due earlier.
    is_hurried: bool,
}

impl Borrower {
    /// Creates the state of a process that has just started. `incarnation` must differ from that of
    /// earlier processes.
    pub fn new(incarnation: u32, now: Timestamp) -> Self {
        Self {
            incarnation,
            sequence: 0,
            next_ticket: 0,
            view: FleetView::default(),
            generation: 0,
            entitled_since: None,
            heard_daemons: RecentMax::default(),
            links: BTreeMap::new(),
            delegations: [Delegation::of_new_process(now); GROUPS],
            accounts: BTreeMap::new(),
            is_hurried: false,
        }
    }

    /// Sets what is known of all daemons.
    pub fn set_view(&mut self, view: FleetView, now: Timestamp) {
        if view == self.view {
            return;
        }
        self.entitled_since = match view.is_entitled {
            true => self.entitled_since.or(Some(now)),
            false => None,
        };
        self.view = view;
        self.generation += 1;
        let coordinators: HashSet<SocketAddr> =
            self.view.coordinators.iter().flatten().copied().collect();
        for addr in &coordinators {
            self.links.entry(*addr).or_default();
        }
        let delegations = &self.delegations;
        self.links.retain(|addr, _| {
            let mut held = delegations.iter();
            coordinators.contains(addr) || held.any(|held| held.is_held_by(*addr, now))
        });
        // Shares that move are released at once.
        self.links.values_mut().for_each(|link| link.hurry(now));
    }

    /// Decides on a request of an account.
    pub fn request(&mut self, account: AccountId, limit: AccountLimit, now: Timestamp) -> Decision {
        let group = account.group();
        let target = self.usable_coordinator(group, now);
        let is_answer_awaited = self.is_answer_awaited(group);
        let demand = self
            .accounts
            .entry(account)
            .or_insert_with(|| AccountDemand::new(account, limit));
        demand.limit = limit;
        demand.record_arrival(now);
        if demand.waiting.is_empty()
            && let Some(token) = demand.take(now)
        {
            if demand.is_short(now)
                && let Some(link) = target.and_then(|target| self.links.get_mut(&target))
            {
                link.hurry(link.last_sent() + PREFETCH_GAP);
                self.is_hurried = true;
            }
            return Decision::Granted(token);
        }
        if let Some(denied_for) = demand.denied_for(now) {
            return Decision::Refused(denied_for);
        }
        if target.is_none() && !is_answer_awaited {
            return self.request_own_share(account, now);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        demand.waiting.push_back(ticket);
        if let Some(link) = target.and_then(|target| self.links.get_mut(&target)) {
            link.hurry(now);
            self.is_hurried = true;
        }
        Decision::Wait(ticket)
    }

    /// Returns whether a request has made a message due earlier since the last call.
    pub fn take_hurry(&mut self) -> bool {
        std::mem::take(&mut self.is_hurried)
    }

    /// Ends the wait of a request. Returns the retry delay to advise.
    pub fn cancel(&mut self, account: AccountId, ticket: Ticket, now: Timestamp) -> Duration {
        let Some(demand) = self.accounts.get_mut(&account) else {
            return MAX_WAIT;
        };
        demand.waiting.retain(|waiting| *waiting != ticket);
        demand.denied_for(now).unwrap_or(MAX_WAIT)
    }

    /// Takes back a token whose request did not run. Returns the outcomes of waiting requests.
    pub fn give_back(&mut self, token: Token, now: Timestamp) -> Vec<TicketOutcome> {
        let Some(demand) = self.accounts.get_mut(&token.account) else {
            return Vec::new();
        };
        demand.give_back(token, now);
        demand.serve_waiting(None, now)
    }

    /// Returns the time of the next message; `None` if there is nobody to send one to.
    pub fn next_send(&self, now: Timestamp) -> Option<Timestamp> {
        let targets = self.usable_coordinators(now);
        let links = self.links.iter();
        links
            .filter_map(|(addr, link)| self.next_send_to(*addr, link, &targets, now))
            .min()
    }

    /// Returns the messages that are due.
    pub fn messages(&mut self, now: Timestamp) -> Vec<Outgoing> {
        let targets = self.usable_coordinators(now);
        let links = self.links.iter();
        let due: Vec<SocketAddr> = links
            .filter(|(addr, link)| {
                let next = self.next_send_to(**addr, link, &targets, now);
                next.is_some_and(|next| next <= now)
            })
            .map(|(addr, _)| *addr)
            .collect();
        if !due.is_empty() {
            self.accounts.retain(|_, demand| !demand.is_idle(now));
        }
        due.into_iter()
            .map(|to| self.message_to(to, &targets, now))
            .collect()
    }

    /// Applies the answer to a message. Returns the outcomes of waiting requests.
    pub fn apply_response(
        &mut self,
        sent: &Outgoing,
        response: &QuotaResponse,
        now: Timestamp,
    ) -> Vec<TicketOutcome> {
        self.heard_daemons.report(response.daemons, now);
        if let Some(link) = self.links.get_mut(&sent.to)
            && link.record_response(response, now)
        {
            link.hurry(now);
        }
        self.release_delegations(sent, response, now);
        self.end_asks(sent);
        let mut outcomes = Vec::new();
        for grant in &response.grants {
            let Some(demand) = self.accounts.get_mut(&grant.account) else {
                continue;
            };
            demand.add_grant(grant, response, sent.sent_at, now);
            let denied_for = demand.denied_for(now);
            outcomes.extend(demand.serve_waiting(denied_for, now));
        }
        self.hurry_for_waiting(sent, now);
        outcomes
    }

    /// Records that a message has no answer.
    pub fn apply_failure(&mut self, sent: &Outgoing, now: Timestamp) {
        if let Some(link) = self.links.get_mut(&sent.to) {
            link.record_failure(now);
        }
        self.end_asks(sent);
        self.hurry_for_waiting(sent, now);
    }

    /// Returns the coordinator that a group of accounts borrows from.
    fn usable_coordinator(&self, group: usize, now: Timestamp) -> Option<SocketAddr> {
        let order = self.view.coordinators.get(group)?;
        let mut usable = order.iter().filter(|addr| {
            let link = self.links.get(addr);
            link.is_some_and(|link| link.is_usable(now))
        });
        usable.next().copied()
    }

    fn usable_coordinators(&self, now: Timestamp) -> Targets {
        std::array::from_fn(|group| self.usable_coordinator(group, now))
    }

    /// Whether the first answer of a coordinator of the group is awaited.
    fn is_answer_awaited(&self, group: usize) -> bool {
        let order = self.view.coordinators.get(group).into_iter().flatten();
        order
            .filter_map(|addr| self.links.get(addr))
            .any(Link::is_pending)
    }

    /// Decides on a request from the own share, because no coordinator can be reached.
    fn request_own_share(&mut self, account: AccountId, now: Timestamp) -> Decision {
        let delegation = self.delegations[account.group()];
        let Some(entitled_since) = self.entitled_since.filter(|_| delegation.is_free(now)) else {
            return Decision::Refused(UNAVAILABLE_RETRY_AFTER);
        };
        let daemons = f64::from(self.daemons(now).max(1));
        let Some(demand) = self.accounts.get_mut(&account) else {
            return Decision::Refused(UNAVAILABLE_RETRY_AFTER);
        };
        let share = LocalShare {
            rate: demand.limit.rate / daemons,
            capacity: demand.local_capacity(&self.view, self.generation),
            free_since: delegation.free_since().max(entitled_since),
        };
        match demand.local.take(&share, now) {
            Ok(()) => Decision::Granted(Token {
                account,
                source: TokenSource::Local,
            }),
            Err(wait) => Decision::Refused(wait.max(UNAVAILABLE_RETRY_AFTER)),
        }
    }

    /// Returns the number of daemons that share each limit, the largest one that is known here or
    /// at a coordinator.
    fn daemons(&self, now: Timestamp) -> u32 {
        self.view.daemons.max(self.heard_daemons.get(now))
    }

    fn next_send_to(
        &self,
        to: SocketAddr,
        link: &Link,
        targets: &Targets,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let next = link.next_send(now)?;
        if !link.is_usable(now) {
            return Some(next);
        }
        // Shares that become free are delegated at once.
        let freed = (0..GROUPS).filter(|group| {
            let delegation = &self.delegations[*group];
            targets[*group] == Some(to)
                && delegation.free_since() > link.last_sent()
                && !delegation.is_held_by(to, now)
                && self.entitled_since.is_some()
        });
        let freed = freed.map(|group| self.delegations[group].free_since());
        freed
            .min()
            .map_or(Some(next), |freed| Some(next.min(freed)))
    }

    fn message_to(&mut self, to: SocketAddr, targets: &Targets, now: Timestamp) -> Outgoing {
        self.sequence += 1;
        let divisor = self.daemons(now);
        let mut lease = None;
        let mut asks = Vec::new();
        if let Some(link) = self.links.get_mut(&to) {
            if let Some((epoch, sent_at)) = link.coordinator_time(now) {
                let mut groups: GroupSet = 0;
                for (group, delegation) in self.delegations.iter_mut().enumerate() {
                    if targets[group] == Some(to)
                        && self.entitled_since.is_some()
                        && delegation.allows(to, now)
                    {
                        groups |= 1 << group;
                        delegation.record_lease(to, self.sequence, now);
                    }
                }
                lease = Some(Lease {
                    epoch,
                    sent_at,
                    groups,
                    divisor,
                });
                let is_regular = link.is_regular(now);
                let demands = self.accounts.values_mut();
                asks = demands
                    .filter(|demand| targets[demand.account.group()] == Some(to))
                    .filter_map(|demand| demand.ask(epoch, is_regular, now))
                    .collect();
            }
            link.record_sent(now);
        }
        Outgoing {
            to,
            sent_at: now,
            request: QuotaRequest {
                from: self.view.own_id,
                incarnation: self.incarnation,
                sequence: self.sequence,
                daemons: self.view.daemons,
                lease,
                asks,
            },
        }
    }

    /// Ends the leases that the coordinator has given up with this answer.
    fn release_delegations(&mut self, sent: &Outgoing, response: &QuotaResponse, now: Timestamp) {
        let Some(lease) = &sent.request.lease else {
            return;
        };
        if lease.epoch != response.epoch {
            return;
        }
        for group in 0..GROUPS {
            let is_kept = lease.groups & (1 << group) != 0;
            if is_kept && !response.is_leaving {
                continue;
            }
            // A process that leaves accepts no lease any more, whatever message it was in.
            let sequence = match response.is_leaving {
                true => u64::MAX,
                false => sent.request.sequence,
            };
            self.delegations[group].release(sent.to, sequence, now);
        }
    }

    /// Asks again for requests that are still waiting, possibly at the next coordinator.
    fn hurry_for_waiting(&mut self, sent: &Outgoing, now: Timestamp) {
        for ask in &sent.request.asks {
            let demand = self.accounts.get(&ask.account);
            if demand.is_some_and(|demand| !demand.waiting.is_empty())
                && let Some(next) = self.usable_coordinator(ask.account.group(), now)
                && let Some(link) = self.links.get_mut(&next)
            {
                link.hurry(now);
            }
        }
    }

    fn end_asks(&mut self, sent: &Outgoing) {
        for ask in &sent.request.asks {
            if let Some(demand) = self.accounts.get_mut(&ask.account) {
                demand.end_ask(ask);
            }
        }
    }
}
