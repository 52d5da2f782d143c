//! Which member to ask for an update.

use std::collections::BTreeMap;
use std::time::Duration;

use lavenderhatch_core::member::Members;
use lavenderhatch_core::{NodeId, Timestamp, Version};

use crate::message::UpdateRequest;

/// Time after which an update that was asked for is asked for elsewhere.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// Time for which a member that sent a bad update is not asked.
const BAD_UPDATE_PENALTY: Duration = Duration::from_secs(30);
/// Time for which a member that did not answer is not asked.
const NO_ANSWER_PENALTY: Duration = Duration::from_secs(2);
/// Time for which a member that had nothing newer is not asked.
const NOTHING_PENALTY: Duration = Duration::from_millis(200);
/// Time for which an announcement counts. Heartbeats repeat it.
const ANNOUNCEMENT_AGE: Duration = Duration::from_secs(5);

/// A question for a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pull {
    /// The member.
    pub from: NodeId,
    /// The question.
    pub req: UpdateRequest,
}

/// What became of a question.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PullResult {
    /// The update was put in force, or was no longer news.
    Done,
    /// The member had nothing newer.
    Nothing,
    /// The base of the changes is missing here; the whole set is needed.
    NeedsWhole,
    /// The member is busy for this time.
    Busy(Duration),
    /// The member did not answer.
    NoAnswer,
    /// The update was refused.
    Refused,
}

/// Keeps one question open at a time.
#[derive(Clone, Debug, Default)]
pub struct Puller {
    asked: Option<(NodeId, Timestamp)>,
    announced: BTreeMap<NodeId, (Version, Timestamp)>,
    /// Members that are not asked before a time.
    avoided: BTreeMap<NodeId, Timestamp>,
    needs_whole: bool,
}

impl Puller {
    /// Notes that a member announced a version.
    pub fn announce(&mut self, from: &NodeId, version: Version, now: Timestamp) {
        self.announced.insert(from.clone(), (version, now));
    }

    /// Whether a member has announced a version lately, or a later one.
    pub fn has_announced(&self, id: &NodeId, version: Version) -> bool {
        let announced = self.announced.get(id);
        announced.is_some_and(|(announced, _)| *announced >= version)
    }

    /// The next question, if a member is known to be ahead and no other question is open.
    ///
    /// The member that announced the highest version is asked; `random` chooses between equals. A
    /// member of which the daemon was told something bad is passed over for a time.
    pub fn next(
        &mut self,
        held: Version,
        members: &Members,
        now: Timestamp,
        random: u64,
    ) -> Option<Pull> {
        self.expire(now);
        if self.asked.is_some() {
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
        self.asked = Some((from.clone(), now));
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

    /// Members that are known to be ahead and may be asked, with their versions.
    fn ahead<'p>(&'p self, held: Version, members: &'p Members) -> BTreeMap<&'p NodeId, Version> {
        let heard = members
            .reported_versions
            .iter()
            .map(|(id, heard)| (id, heard.version));
        let announced = self
            .announced
            .iter()
            .map(|(id, (version, _))| (id, *version));
        let mut ahead = BTreeMap::new();
        for (id, version) in heard.chain(announced) {
            if version > held && !self.avoided.contains_key(id) && members.by_id.contains_key(id) {
                let known: &mut Version = ahead.entry(id).or_default();
                *known = version.max(*known);
            }
        }
        ahead
    }

    fn expire(&mut self, now: Timestamp) {
        self.avoided.retain(|_, until| *until > now);
        self.announced
            .retain(|_, (_, at)| now.since(*at) < ANNOUNCEMENT_AGE);
        let is_late = |at: Timestamp| now.since(at) >= ANSWER_TIME;
        if let Some((id, _)) = self.asked.take_if(|(_, at)| is_late(*at)) {
            self.avoided.insert(id, now + NO_ANSWER_PENALTY);
        }
    }

    /// Notes what became of a question to `from`.
    pub fn finish(&mut self, from: &NodeId, result: PullResult, now: Timestamp) {
        if self.asked.as_ref().is_some_and(|(id, _)| id == from) {
            self.asked = None;
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
            PullResult::Nothing => NOTHING_PENALTY,
            PullResult::Busy(wait) => wait,
            PullResult::NoAnswer => NO_ANSWER_PENALTY,
            PullResult::Refused => BAD_UPDATE_PENALTY,
        };
        self.needs_whole |= result == PullResult::Refused;
        self.announced.remove(from);
        self.avoided.insert(from.clone(), now + penalty);
    }
}
