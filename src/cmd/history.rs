//! `lavenderhatch history`: shows the audit trail.

use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;
use lavenderhatch_core::audit::{AuditAction, AuditEvent};
use lavenderhatch_core::{Timestamp, Version};
use lavenderhatch_decide::audit::acceptance_event;
use lavenderhatch_platform::Platform;
use lavenderhatch_platform::accept::read_root;
use lavenderhatch_platform::audit::read_all;
use serde::Serialize;

use super::{common, time};

pub(super) fn command() -> Command {
    let text = |name: &'static str, value: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_name(value).help(help)
    };
    Command::new("history")
        .about("Shows the audit trail: who changed what, when and why")
        .arg(text(
            "since",
            "TIME",
            "Events from this time on, such as 2026-01-31T10:00:00Z or 10m",
        ))
        .arg(text("until", "TIME", "Events up to this time"))
        .arg(text(
            "object",
            "NAME",
            "Events of this object, such as mesh or a planned stop",
        ))
        .arg(
            text(
                "version",
                "VERSION",
                "Events that lead from or to this version",
            )
            .value_parser(value_parser!(u64)),
        )
        .arg(common::platform_arg())
        .arg(common::output_arg())
}

/// Criteria for the events to show. `None` matches every event.
#[derive(Debug, Default)]
struct Filter<'a> {
    since: Option<Timestamp>,
    until: Option<Timestamp>,
    object: Option<&'a str>,
    version: Option<Version>,
}

/// Output of `lavenderhatch history`.
#[derive(Debug, Serialize)]
struct History {
    events: Vec<AuditEvent>,
    /// Number of events that the trails no longer hold.
    dropped: u64,
}

pub(super) fn run(args: &ArgMatches) -> Result<ExitCode> {
    let filter = Filter::from_args(args, Timestamp::from_system_clock())?;
    let mut history = read_history(&common::platform_client(args))?;
    history.events.retain(|event| filter.matches(event));
    match common::is_json_output(args) {
        true => common::print_json(&history)?,
        false => print(&history),
    }
    Ok(ExitCode::SUCCESS)
}

/// Merges the trails of all zones with the acceptances in the root object, without duplicates.
fn read_history<P: Platform>(platform: &P) -> Result<History> {
    let mut events = Vec::new();
    let mut dropped: u64 = 0;
    for (_, trail) in read_all(platform)? {
        events.extend(trail.events);
        dropped = trail.dropped.saturating_add(dropped);
    }
    if let Some((root, _)) = read_root(platform)? {
        events.extend(root.acceptances().iter().map(acceptance_event));
    }
    // Several zones record the same acceptance. The sort puts the copy with the longest reason
    // first, since the others are shortened, and `dedup_by` keeps the first.
    events.sort_by(|a, b| {
        let by_length = b.reason.len().cmp(&a.reason.len());
        a.at.cmp(&b.at).then(a.to.cmp(&b.to)).then(by_length)
    });
    events.dedup_by(|a, b| {
        let is_accepted = a.action == AuditAction::Accepted && b.action == AuditAction::Accepted;
        a == b || (is_accepted && a.to == b.to)
    });
    Ok(History { events, dropped })
}

impl<'a> Filter<'a> {
    fn from_args(args: &'a ArgMatches, now: Timestamp) -> Result<Self> {
        let text = |name: &str| args.get_one::<String>(name).map(String::as_str);
        let at = |name: &str| text(name).map(|text| time::parse(text, now)).transpose();
        Ok(Self {
            since: at("since")?,
            until: at("until")?,
            object: text("object"),
            version: args.get_one("version").copied().map(Version),
        })
    }

    fn matches(&self, event: &AuditEvent) -> bool {
        self.since.is_none_or(|since| event.at >= since)
            && self.until.is_none_or(|until| event.at <= until)
            && self.object.is_none_or(|object| event.object == object)
            && self
                .version
                .is_none_or(|version| [event.from, event.to].contains(&Some(version)))
    }
}

fn print(history: &History) {
    for event in &history.events {
        let version = |version: Option<Version>| version.map_or("-".to_owned(), |v| v.to_string());
        println!(
            "{}  {:<16} {:<12} {} -> {}  {}  {}",
            time::format(event.at),
            event.action.as_str(),
            event.object,
            version(event.from),
            version(event.to),
            event.actor,
            event.reason
        );
    }
    if history.dropped > 0 {
        println!("{} older events are no longer kept", history.dropped);
    }
}
