//! Encoding and decoding of the member records in heartbeats.

use std::net::SocketAddr;

use lavenderhatch_core::{MemberRecord, MemberState, NodeId, Region, ServiceName, Zone};

use crate::peer_capnp::{MemberState as WireState, member};
use crate::scalar::{WireError, invalid_field, read_incarnation, read_name, read_text};

pub(crate) fn write_member(record: &MemberRecord, mut out: member::Builder<'_>) {
    out.set_node(record.id.as_str());
    out.set_incarnation(record.incarnation.0);
    out.set_seq(record.seq);
    out.set_zone(record.zone.as_str());
    out.set_region(record.region.as_str());
    out.set_service(record.service.as_str());
    out.set_peer_addr(record.peer_addr.to_string());
    out.set_admin_addr(record.admin_addr.to_string());
    out.set_slots(record.slots);
    out.set_state(state_to_wire(record.state));
}

pub(crate) fn read_member(msg: member::Reader<'_>) -> Result<MemberRecord, WireError> {
    Ok(MemberRecord {
        id: read_name("node", msg.get_node()?, NodeId::new)?,
        incarnation: read_incarnation(msg.get_incarnation()),
        seq: msg.get_seq(),
        zone: read_name("zone", msg.get_zone()?, Zone::new)?,
        region: read_name("region", msg.get_region()?, Region::new)?,
        service: read_name("service", msg.get_service()?, ServiceName::new)?,
        peer_addr: read_addr("peerAddr", msg.get_peer_addr()?)?,
        admin_addr: read_addr("adminAddr", msg.get_admin_addr()?)?,
        slots: msg.get_slots().max(1),
        state: state_from_wire(msg.get_state()?),
    })
}

fn read_addr(field: &'static str, text: capnp::text::Reader<'_>) -> Result<SocketAddr, WireError> {
    let text = read_text(field, text)?;
    text.parse()
        .map_err(|_| invalid_field(field, "is not an address"))
}

fn state_to_wire(state: MemberState) -> WireState {
    match state {
        MemberState::Starting => WireState::Starting,
        MemberState::Serving => WireState::Serving,
        MemberState::Leaving => WireState::Leaving,
        MemberState::Left => WireState::Left,
        MemberState::Failed => WireState::Failed,
        MemberState::Unreachable => WireState::Unreachable,
    }
}

fn state_from_wire(state: WireState) -> MemberState {
    match state {
        WireState::Starting => MemberState::Starting,
        WireState::Serving => MemberState::Serving,
        WireState::Leaving => MemberState::Leaving,
        WireState::Left => MemberState::Left,
        WireState::Failed => MemberState::Failed,
        WireState::Unreachable => MemberState::Unreachable,
    }
}
