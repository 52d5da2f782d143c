//! Heartbeats, which the schema calls `Hello`.

use lavenderhatch_core::{Digest, NodeId};
use lavenderhatch_decide::message::{HeldReport, Hello, Suspicion};

use crate::member::{read_member, write_member};
use crate::peer_capnp::{held_report, hello, suspicion};
use crate::scalar::{WireError, check_len, read_digest, read_incarnation, read_name, read_version};

/// Maximum number of member records in one heartbeat.
const MAX_RECORDS: u32 = 4096;
/// Maximum number of suspicions in one heartbeat.
const MAX_SUSPECTS: u32 = 1024;
/// Maximum number of reports of held versions in one heartbeat.
const MAX_REPORTS: u32 = 256;
/// Maximum number of lagging members listed in one report.
const MAX_LAGGING: u32 = 64;

/// Encodes a heartbeat.
pub fn write_hello(hello: &Hello, mut out: hello::Builder<'_>) {
    out.set_node(hello.node.as_str());
    out.set_incarnation(hello.incarnation.0);
    out.set_version(hello.version.0);
    out.set_digest(hello.digest.as_bytes());
    out.set_held_by_receiver(hello.held_by_receiver.0);
    out.set_in_flight(hello.in_flight);
    out.set_limit(hello.limit);
    let mut records = out.reborrow().init_records(hello.records.len() as u32);
    for (index, record) in hello.records.iter().enumerate() {
        write_member(record, records.reborrow().get(index as u32));
    }
    let mut suspects = out.reborrow().init_suspects(hello.suspects.len() as u32);
    for (index, suspect) in hello.suspects.iter().enumerate() {
        write_suspicion(suspect, suspects.reborrow().get(index as u32));
    }
    let mut reports = out.init_reports(hello.reports.len() as u32);
    for (index, report) in hello.reports.iter().enumerate() {
        write_report(report, reports.reborrow().get(index as u32));
    }
}

/// Validates and decodes a heartbeat.
///
/// A sender without a configuration sends version 0, and its digest is ignored.
pub fn read_hello(msg: hello::Reader<'_>) -> Result<Hello, WireError> {
    let records = msg.get_records()?;
    check_len("records", records.len(), MAX_RECORDS)?;
    let suspects = msg.get_suspects()?;
    check_len("suspects", suspects.len(), MAX_SUSPECTS)?;
    let reports = msg.get_reports()?;
    check_len("reports", reports.len(), MAX_REPORTS)?;
    let digest = match msg.get_version() {
        0 => Digest::default(),
        _ => read_digest("digest", msg.get_digest()?)?,
    };
    Ok(Hello {
        node: read_name("node", msg.get_node()?, NodeId::new)?,
        incarnation: read_incarnation(msg.get_incarnation()),
        version: read_version(msg.get_version()),
        digest,
        records: records.iter().map(read_member).collect::<Result<_, _>>()?,
        suspects: suspects
            .iter()
            .map(read_suspicion)
            .collect::<Result<_, _>>()?,
        held_by_receiver: read_version(msg.get_held_by_receiver()),
        in_flight: msg.get_in_flight(),
        limit: msg.get_limit(),
        reports: reports.iter().map(read_report).collect::<Result<_, _>>()?,
    })
}

fn write_suspicion(suspect: &Suspicion, mut out: suspicion::Builder<'_>) {
    out.set_node(suspect.node.as_str());
    out.set_incarnation(suspect.incarnation.0);
    out.set_observer(suspect.observer.as_str());
    out.set_is_withdrawn(suspect.is_withdrawn);
}

fn read_suspicion(msg: suspicion::Reader<'_>) -> Result<Suspicion, WireError> {
    Ok(Suspicion {
        node: read_name("node", msg.get_node()?, NodeId::new)?,
        incarnation: read_incarnation(msg.get_incarnation()),
        observer: read_name("observer", msg.get_observer()?, NodeId::new)?,
        is_withdrawn: msg.get_is_withdrawn(),
    })
}

fn write_report(report: &HeldReport, mut out: held_report::Builder<'_>) {
    out.set_lowest(report.lowest.0);
    out.set_members(report.members);
    let mut lagging = out.init_lagging(report.lagging.len() as u32);
    for (index, node) in report.lagging.iter().enumerate() {
        lagging.set(index as u32, node.as_str());
    }
}

fn read_report(msg: held_report::Reader<'_>) -> Result<HeldReport, WireError> {
    let lagging = msg.get_lagging()?;
    check_len("lagging", lagging.len(), MAX_LAGGING)?;
    let names = lagging
        .iter()
        .map(|name| read_name("lagging", name?, NodeId::new));
    Ok(HeldReport {
        lowest: read_version(msg.get_lowest()),
        members: msg.get_members(),
        lagging: names.collect::<Result<_, _>>()?,
    })
}
