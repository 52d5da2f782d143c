//! Selects the member to ask for an update.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhatch_core::member::Members;
use lavenderhatch_core::{NodeId, Timestamp, Version};

use crate::message::UpdateRequest;

/// Time after which an unanswered request is given up and another member is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a member is not asked after it sent an update that was refused.
const BAD_UPDATE_PENALTY: Duration = Duration::from_secs(30);
/// How long a member is not asked after it did not answer.
const NO_ANSWER_PENALTY: Duration = Duration::from_secs(2);
/// How long a member is not asked after it had nothing newer.
const NOT_NEWER_PENALTY: Duration = Duration::from_millis(200);
/// Age at which an announcement expires. Heartbeats repeat the version of a member.
const MAX_ANNOUNCEMENT_AGE: Duration = Duration::from_secs(5);

/// An update request and the member to send it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pull {
    /// The member to ask.
    pub from: NodeId,
    /// The request.
    pub req: UpdateRequest,
}

/// Result of an update request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullResult {
    /// The update was put in force, or was no longer newer than the version in force.
    Done,
    /// The member had nothing newer.
    NotNewer,
    /// This daemon does not hold the base of the changes and needs the whole mesh.
    NeedsWhole,
    /// The member is busy and may be asked again after this time.
    Busy(Duration),
    /// The member did not answer.
    NoAnswer,
    /// The update was refused.
    Refused,
}

/// Sends one update request at a time to a member that is ahead.
#[derive(Clone, Debug, Default)]
pub struct Puller {
    /// The member that was asked and has not answered yet, with the time of the request.
    in_flight: Option<(NodeId, Timestamp)>,
    /// The last announcement of each member, with the time of its arrival.
    announced: BTreeMap<NodeId, (Version, Timestamp)>,
    /// Members that are not to be asked, with the time until when.
    avoided_until: BTreeMap<NodeId, Timestamp>,
    needs_whole: bool,
}

impl Puller {
    /// Records that a member announced a version.
    pub fn record_announcement(&mut self, from: &NodeId, version: Version, now: Timestamp) {
        self.announced.insert(from.clone(), (version, now));
    }

    /// Whether a member has recently announced `version` or a later one.
    pub fn has_announced(&self, id: &NodeId, version: Version) -> bool {
        let announced = self.announced.get(id);
        announced.is_some_and(|(announced, _)| *announced >= version)
    }

    /// The next request, if a member is known to be ahead and no other request is in flight.
    ///
    /// Asks the member with the highest known version; `random` breaks ties. A member whose last
    /// request did not lead to an update is skipped for a time that depends on the result.
    pub fn next_pull(
        &mut self,
        held: Version,
        members: &Members,
        now: Timestamp,
        random: u64,
    ) -> Option<Pull> {
        self.expire(now);
        if self.in_flight.is_some() {
            return None;
        }
        let ahead = self.ahead(held, members);
        let want = ahead.values().max().copied()?;
        let best: Vec<&NodeId> = ahead
            .iter()
            .filter(|(_, version)| **version == want)
            .map(|(id, _)| *id)
            .collect();
        let from = best[random as usize % best.len()].clone();
        self.in_flight = Some((from.clone(), now));
        let held = if self.needs_whole {
            Version::NONE
        } else {
            held
        };
        Some(Pull {
            from,
            req: UpdateRequest { held, want },
        })
    }

    /// Members that are known to be ahead of `held` and may be asked, with their versions.
    fn ahead<'p>(&'p self, held: Version, members: &'p Members) -> BTreeMap<&'p NodeId, Version> {
        let reported = members
            .reported_versions
            .iter()
            .map(|(id, reported)| (id, reported.version));
        let announced = self
            .announced
            .iter()
            .map(|(id, (version, _))| (id, *version));
        let mut ahead = BTreeMap::new();
        for (id, version) in reported.chain(announced) {
            if version > held
                && !self.avoided_until.contains_key(id)
                && members.by_id.contains_key(id)
            {
                let known: &mut Version = ahead.entry(id).or_default();
                *known = version.max(*known);
            }
        }
        ahead
    }

    fn expire(&mut self, now: Timestamp) {
        self.avoided_until.retain(|_, until| *until > now);
        self.announced
            .retain(|_, (_, at)| now.since(*at) < MAX_ANNOUNCEMENT_AGE);
        let is_timed_out = |at: Timestamp| now.since(at) >= ANSWER_TIMEOUT;
        if let Some((id, _)) = self.in_flight.take_if(|(_, at)| is_timed_out(*at)) {
            self.avoided_until.insert(id, now + NO_ANSWER_PENALTY);
        }
    }

    /// Records the result of the request to `from`.
    pub fn record_result(&mut self, from: &NodeId, result: PullResult, now: Timestamp) {
        if self.in_flight.as_ref().is_some_and(|(id, _)| id == from) {
            self.in_flight = None;
        }
        let penalty = match result {
            PullResult::Done => {
                self.needs_whole = false;
                return;
            }
            PullResult::NeedsWhole => {
                self.needs_whole = true;
                return;
            }
            PullResult::NotNewer => NOT_NEWER_PENALTY,
            PullResult::Busy(wait) => wait,
            PullResult::NoAnswer => NO_ANSWER_PENALTY,
            PullResult::Refused => BAD_UPDATE_PENALTY,
        };
        self.needs_whole |= result == PullResult::Refused;
        self.announced.remove(from);
        self.avoided_until.insert(from.clone(), now + penalty);
    }
}
