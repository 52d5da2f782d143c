//! Derives the eligible backend servers from the members. Writes the `endpoints` section.

use std::collections::HashMap;
use std::sync::Arc;

use crossbeam::channel::{Receiver, select};
use eyre::Result;
use lavenderhatch_core::blackboard::{SectionReader, SectionWriter};
use lavenderhatch_core::endpoint::{
    Endpoint, EndpointCounters, Endpoints, FULL_WEIGHT, ServiceEndpoints,
};
use lavenderhatch_core::member::Members;
use lavenderhatch_core::{MemberRecord, MemberState, NodeId};

use super::handle::ControllerHandle;

/// What the controller is connected to.
#[derive(Debug)]
pub struct EndpointController {
    /// Known members.
    pub members: SectionReader<Members>,
    /// The section that this controller owns.
    pub endpoints: SectionWriter<Endpoints>,
}

impl EndpointController {
    /// Starts the controller.
    pub fn spawn(self) -> Result<ControllerHandle> {
        ControllerHandle::spawn("endpoint", move |stop| self.run(&stop))
    }

    fn run(self, stop: &Receiver<()>) {
        let woken = self.members.subscribe();
        let mut counters = HashMap::new();
        loop {
            self.endpoints
                .publish(derive(&self.members.load(), &mut counters));
            select! {
                recv(stop) -> _ => return,
                recv(woken) -> wake => if wake.is_err() { return },
            }
        }
    }
}

fn derive(members: &Members, counters: &mut HashMap<NodeId, Arc<EndpointCounters>>) -> Endpoints {
    let mut endpoints = Endpoints::default();
    let serving = members
        .live()
        .filter(|record| record.state == MemberState::Serving);
    for record in serving {
        let service = record.service.clone();
        let of_service: &mut ServiceEndpoints = endpoints.by_service.entry(service).or_default();
        let counters = counters.entry(record.id.clone()).or_default();
        of_service.endpoints.push(endpoint(record, counters));
    }
    counters.retain(|id, _| members.by_id.contains_key(id));
    endpoints
}

fn endpoint(record: &MemberRecord, counters: &Arc<EndpointCounters>) -> Endpoint {
    Endpoint {
        node: record.id.clone(),
        incarnation: record.incarnation,
        zone: record.zone.clone(),
        peer_addr: record.peer_addr,
        slots: record.slots.max(1),
        weight: FULL_WEIGHT,
        is_last_resort: false,
        counters: Arc::clone(counters),
    }
}
