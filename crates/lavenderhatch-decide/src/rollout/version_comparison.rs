//! Comparison of the new version with the old one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lavenderhatch_core::Timestamp;

use super::route_counts::RouteCounts;

/// Length of the recent period. A version that turns bad is noticed in it although it was good for
/// long before.
const RECENT: Duration = Duration::from_secs(1);
/// Bad responses from which a version may be worse. Fewer are common on a machine in trouble.
const MIN_BAD: u64 = 4;
/// Rate of failures above that of the old version from which the new one may be worse.
const MIN_FAILURE_EXCESS: f64 = 0.08;
/// Rate of slow requests above that of the old version from which the new one may be worse. A good
/// version on slow machines has some.
const MIN_SLOW_EXCESS: f64 = 0.15;
/// Requests of one backend server from which it counts as tried.
const MIN_REQUESTS_OF_SERVER: u64 = 4;
/// Standard errors by which the versions must differ, so that few requests decide only on a clear
/// difference.
const MIN_STANDARD_ERRORS: f64 = 3.0;
/// Part of the requests of the old version that are not slow.
const SLOW_QUANTILE: f64 = 0.95;
/// Buckets of times, two for each doubling, between that part and slow requests. Backend servers of
/// one version differ in speed, and those of the old one show only a part of that.
const SLOW_MARGIN: usize = 1;
/// Requests with a time at the old version from which slow ones are told from others.
const MIN_TIMED: u64 = 8;
/// Requests of the old version in the recent period from which only they are compared. Those of the
/// whole rollout stand in for them otherwise, such as after all requests have moved.
const MIN_RECENT_REQUESTS: u64 = 20;

/// What the new version does worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// More of its requests fail.
    Failures,
    /// More of its requests take longer than nearly all of the old version.
    Times,
}

/// How the new version is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Worse {
    /// What it does worse.
    pub fault: Fault,
    /// Class of the requests; `None` if all of them together show it.
    pub class: Option<u64>,
    /// Number of requests that were compared.
    pub requests: u64,
    /// Number of bad ones among them.
    pub bad: u64,
}

/// What is known of the new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is not known to be worse.
    NotWorse,
    /// It is worse at too few backend servers: a machine may be in trouble, or slower than others.
    Suspect(Fault),
    /// It is worse.
    Worse(Worse),
}

/// The requests of both versions.
#[derive(Clone, Debug, Default)]
struct Pair {
    old: RouteCounts,
    /// Those of the new version by backend server.
    new: BTreeMap<String, RouteCounts>,
}

impl Pair {
    fn record(&mut self, server: Option<&str>, counts: RouteCounts) {
        let sum = match server {
            Some(server) => self.new.entry(server.to_owned()).or_default(),
            None => &mut self.old,
        };
        *sum = *sum + counts;
    }

    fn add(&mut self, other: &Pair) {
        self.record(None, other.old);
        let new = other.new.iter();
        new.for_each(|(server, counts)| self.record(Some(server), *counts));
    }

    /// Compares the requests and the bad ones among them, which `count` returns.
    fn compare(
        &self,
        fault: Fault,
        class: Option<u64>,
        servers: usize,
        count: impl Fn(&RouteCounts) -> (u64, u64),
    ) -> Verdict {
        let (min_excess, confirming_part) = match fault {
            Fault::Failures => (MIN_FAILURE_EXCESS, 1.0 / 2.0),
            // The machines of good versions differ in speed, so most must agree.
            Fault::Times => (MIN_SLOW_EXCESS, 2.0 / 3.0),
        };
        let old = count(&self.old);
        let by_server: Vec<(u64, u64)> = self.new.values().map(count).collect();
        let (requests, bad) = by_server
            .iter()
            .fold((0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
        if !is_higher(old, (requests, bad), min_excess) {
            return Verdict::NotWorse;
        }
        let limit = rate_of(old) + min_excess;
        let confirms = |(n, bad): &&(u64, u64)| *bad as f64 > limit * *n as f64;
        let confirming = by_server.iter().filter(confirms).count();
        // A backend server with a small part of the requests of another has had less load.
        let most = by_server.iter().map(|(n, _)| *n).max().unwrap_or(0);
        let enough = (most / 2).max(MIN_REQUESTS_OF_SERVER);
        let tried = by_server.iter().filter(|(n, _)| *n >= enough);
        let part = (tried.count() as f64 * confirming_part).ceil() as usize;
        match confirming >= part.max(servers.min(2)) {
            true => Verdict::Worse(Worse {
                fault,
                class,
                requests,
                bad,
            }),
            false => Verdict::Suspect(fault),
        }
    }

    fn verdict(&self, class: Option<u64>, servers: usize) -> Verdict {
        let failures = |counts: &RouteCounts| (counts.requests, counts.failures);
        let verdict = self.compare(Fault::Failures, class, servers, failures);
        if self.old.timed() < MIN_TIMED || matches!(verdict, Verdict::Worse(_)) {
            return verdict;
        }
        let limit = self.old.quantile(SLOW_QUANTILE) + SLOW_MARGIN;
        let slow = |counts: &RouteCounts| (counts.timed(), counts.slower_than(limit));
        verdict.or(self.compare(Fault::Times, class, servers, slow))
    }
}

impl Verdict {
    /// Returns the worse one of two verdicts.
    fn or(self, other: Self) -> Self {
        match (self, other) {
            (Self::Worse(_), _) | (_, Self::NotWorse) => self,
            (_, other) => other,
        }
    }
}

/// Compares the new version with the old one in the same period, by route and in all.
#[derive(Clone, Debug, Default)]
pub struct VersionComparison {
    whole: BTreeMap<u64, Pair>,
    recent: VecDeque<(Timestamp, u64, Pair)>,
}

impl VersionComparison {
    /// Adds requests of one route that have ended, at this backend server of the new version or at
    /// any of the old one.
    pub fn record(
        &mut self,
        class: u64,
        server: Option<&str>,
        counts: RouteCounts,
        now: Timestamp,
    ) {
        if counts.requests == 0 {
            return;
        }
        let mut pair = Pair::default();
        pair.record(server, counts);
        self.whole.entry(class).or_default().add(&pair);
        self.recent.push_back((now, class, pair));
        while self.recent.front().is_some_and(|f| now.since(f.0) > RECENT) {
            self.recent.pop_front();
        }
    }

    /// Returns what is known of the new version, which `servers` backend servers run.
    pub fn verdict(&self, servers: usize) -> Verdict {
        let whole = verdict_of(&self.whole, servers);
        whole.or(verdict_of(&self.recent_by_class(), servers))
    }

    fn recent_by_class(&self) -> BTreeMap<u64, Pair> {
        let mut recent: BTreeMap<u64, Pair> = BTreeMap::new();
        for (_, class, pair) in &self.recent {
            recent.entry(*class).or_default().add(pair);
        }
        for (class, pair) in &mut recent {
            let whole = self.whole.get(class);
            if let Some(whole) = whole.filter(|_| pair.old.requests < MIN_RECENT_REQUESTS) {
                pair.old = whole.old;
            }
        }
        recent
    }
}

/// Compares each class, and all together, which shows a fault before any class has enough requests.
fn verdict_of(by_class: &BTreeMap<u64, Pair>, servers: usize) -> Verdict {
    let mut sum = Pair::default();
    by_class.values().for_each(|pair| sum.add(pair));
    let classes = by_class.iter();
    let classes = classes.map(|(class, pair)| pair.verdict(Some(*class), servers));
    classes.fold(sum.verdict(None, servers), Verdict::or)
}

/// Rate of bad ones among requests. The estimate starts from half a bad request of one, so that a
/// route without requests at the old version proves nothing.
fn rate_of((requests, bad): (u64, u64)) -> f64 {
    (bad as f64 + 0.5) / (requests as f64 + 1.0)
}

/// Whether the rate of bad requests of the new version is certainly higher. Takes the requests and
/// the bad ones of each.
fn is_higher(old: (u64, u64), (new, new_bad): (u64, u64), min_excess: f64) -> bool {
    if new_bad < MIN_BAD {
        return false;
    }
    let (n, rate) = (new as f64, rate_of(old));
    let variance = rate * (1.0 - rate) * (n + n * n / (old.0 as f64 + 1.0));
    let excess = new_bad as f64 - n * rate;
    excess > MIN_STANDARD_ERRORS * variance.sqrt() && excess / n > min_excess
}
