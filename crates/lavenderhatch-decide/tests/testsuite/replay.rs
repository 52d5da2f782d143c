//! Replays recorded traces through the decision functions.
//!
//! Each line of a trace is an event in JSON: something that happens, a time for which the fleet
//! runs, or an expected outcome. After each event the replay checks that no member has gone back to
//! an older version.

use std::collections::BTreeMap;

use lavenderhatch_core::{Timestamp, Version, Zone};
use lavenderhatch_decide::acceptance::{RootObject, WriteOutcome, next_root, resolve_lost_answer};
use rstest::rstest;
use serde::Deserialize;

use crate::support::{Fleet, mesh, node};

/// One line of a trace.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
enum Event {
    /// The fleet starts. Always the first event of a trace.
    Start { members: usize, zones: usize },
    /// An operator reads the root object and prepares a new one.
    Propose { operator: String },
    /// The operator writes the new root object. The write may be lost, and so may the answer to a
    /// write that arrived.
    Write {
        operator: String,
        arrives: bool,
        is_answered: bool,
    },
    /// An operator reads the root object back and has to come to this outcome.
    ReadBack { operator: String, outcome: String },
    /// A member reads the root object.
    Read { member: usize },
    /// Time passes.
    Run { ms: u64 },
    /// Members fail at the same time.
    Kill { members: Vec<usize> },
    /// Members restart.
    Restart { members: Vec<usize> },
    /// Zones lose contact with all other zones.
    Cut { zones: Vec<Zone> },
    /// All zones can reach each other again.
    Heal {},
    /// Expected outcome: all running members hold this version.
    AllHold { version: u64 },
    /// Expected outcome: these members hold this version.
    Hold { members: Vec<usize>, version: u64 },
}

/// The state of a replay.
struct Replay {
    fleet: Fleet,
    root: Option<RootObject>,
    /// Proposed root object of each operator, with the version that it is based on.
    proposals: BTreeMap<String, (RootObject, Version)>,
    /// Highest version that each member has held. A restart lowers it to the highest version that
    /// another running member holds.
    highest: BTreeMap<usize, Version>,
    /// Lowest version that a member may put in force first; no bound for members without an entry.
    floors: BTreeMap<usize, Version>,
}

impl Replay {
    fn new(fleet: Fleet) -> Self {
        Self {
            fleet,
            root: None,
            proposals: BTreeMap::new(),
            highest: BTreeMap::new(),
            floors: BTreeMap::new(),
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Start { .. } => panic!("only the first event of a trace may be start"),
            Event::Propose { operator } => self.propose(operator),
            Event::Write {
                operator,
                arrives,
                is_answered,
            } => self.write(operator, *arrives, *is_answered),
            Event::ReadBack { operator, outcome } => {
                assert_eq!(self.read_back(operator), *outcome);
            }
            Event::Read { member } => {
                let version = self.root.as_ref().unwrap().version;
                if self.held(*member) < version {
                    self.fleet.put_in_force(*member, version.0);
                }
            }
            Event::Run { ms } => self.fleet.run_ms(*ms),
            Event::Kill { members } => {
                self.fleet.down.extend(members.iter().map(|n| node(*n)));
            }
            Event::Restart { members } => members.iter().for_each(|n| self.restart(*n)),
            Event::Cut { zones } => self.fleet.cut.extend(zones.iter().cloned()),
            Event::Heal {} => self.fleet.cut.clear(),
            Event::AllHold { version } => assert!(self.fleet.lagging(*version).is_empty()),
            Event::Hold { members, version } => {
                let is_held = |n: &usize| self.held(*n) == Version(*version);
                assert!(members.iter().all(is_held));
            }
        }
    }

    fn propose(&mut self, operator: &str) {
        let base = self
            .root
            .as_ref()
            .map_or(Version::NONE, |root| root.version);
        // Each proposal has its own mesh, even if two are based on the same version.
        let content = mesh(100 * (base.0 + 1) + operator.len() as u64);
        let root = next_root(
            self.root.as_ref(),
            &content,
            operator,
            operator,
            "",
            Timestamp(1),
        );
        self.proposals
            .insert(operator.to_owned(), (root.unwrap(), base));
    }

    fn write(&mut self, operator: &str, arrives: bool, is_answered: bool) {
        let (sent, base) = &self.proposals[operator];
        let present = self
            .root
            .as_ref()
            .map_or(Version::NONE, |root| root.version);
        let is_written = arrives && present == *base;
        if is_written {
            self.root = Some(sent.clone());
        }
        assert!(
            !is_answered || is_written,
            "an answered write must have taken effect"
        );
    }

    fn read_back(&self, operator: &str) -> String {
        let (sent, base) = &self.proposals[operator];
        match resolve_lost_answer(sent, *base, self.root.as_ref()) {
            WriteOutcome::Accepted(version) => format!("accepted {version}"),
            WriteOutcome::NotWritten => "not written".to_owned(),
            WriteOutcome::Conflict(version) => format!("lost to {version}"),
        }
    }

    fn held(&self, n: usize) -> Version {
        let newest = self.fleet.get(n).log.newest();
        newest.map_or(Version::NONE, |(version, _)| version)
    }

    fn restart(&mut self, n: usize) {
        let known = self.running().filter(|other| *other != n);
        let known = known.map(|other| self.held(other)).max();
        let before = self.highest.get(&n).copied().unwrap_or(Version::NONE);
        let floor = before.min(known.unwrap_or(Version::NONE));
        self.highest.insert(n, floor);
        self.floors.insert(n, floor);
        self.fleet.add(n);
    }

    fn running(&self) -> impl Iterator<Item = usize> {
        let is_up = |n: &usize| !self.fleet.down.contains(&node(*n));
        (0..self.fleet.members.len()).filter(is_up)
    }

    /// Checks that no member has put an older version in force than one it has held.
    fn check_versions(&mut self, line: usize) {
        for n in 0..self.fleet.members.len() {
            let history = &self.fleet.get(n).history;
            let is_increasing = history.windows(2).all(|pair| pair[0] < pair[1]);
            assert!(is_increasing, "line {line}: {n} went back: {history:?}");
            let first = history.first().copied();
            let before = self.floors.get(&n).copied().unwrap_or(Version::NONE);
            assert!(
                first.is_none_or(|first| first >= before),
                "line {line}: {n} held {before} and started with {first:?}"
            );
        }
        for n in self.running().collect::<Vec<_>>() {
            let held = self.held(n);
            let highest = self.highest.entry(n).or_default();
            *highest = held.max(*highest);
        }
    }
}

/// Guards against members that go back to an older version, miss a version, or end up with
/// different versions after a fault, and against operators who get a wrong outcome.
#[rstest]
#[case::corrigan_calm_day(include_str!("traces/corrigan-calm-day.jsonl"))]
#[case::corrigan_herd_while_the_platform_is_down(include_str!("traces/corrigan-herd.jsonl"))]
#[case::corrigan_racing_operators(include_str!("traces/corrigan-racing-operators.jsonl"))]
#[case::tilauskeskus_zone_cut(include_str!("traces/tilauskeskus-zone-cut.jsonl"))]
#[case::tilauskeskus_two_faults_at_once(include_str!("traces/tilauskeskus-two-faults.jsonl"))]
fn trace_has_its_stated_outcomes(#[case] trace: &str) {
    let mut events = trace.lines().map(|line| {
        serde_json::from_str::<Event>(line).unwrap_or_else(|err| panic!("{line}: {err}"))
    });
    let Some(Event::Start { members, zones }) = events.next() else {
        panic!("the first event of a trace must be start");
    };
    let mut replay = Replay::new(Fleet::start(members, zones));
    for (at, event) in events.enumerate() {
        replay.apply(&event);
        replay.check_versions(at + 2);
    }
}

/// Guards against a check that cannot fail: a restarted member that puts an older version in force
/// than it held before, although another member still has that one, must be found.
#[test]
#[should_panic(expected = "and started with")]
fn a_restart_with_an_older_version_is_found() {
    let mut replay = Replay::new(Fleet::start(2, 1));
    for version in 1..=2 {
        (0..2).for_each(|n| replay.fleet.put_in_force(n, version));
    }
    replay.check_versions(1);
    replay.apply(&Event::Kill { members: vec![0] });
    replay.apply(&Event::Restart { members: vec![0] });
    replay.fleet.put_in_force(0, 1);
    replay.check_versions(2);
}
