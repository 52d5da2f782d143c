//! Admission control: decides which queued request gets the next free slot.
//!
//! Writes the `load` section of the blackboard.

mod meter;
mod state;

use std::sync::Arc;
use std::time::Duration;

use crossbeam::channel::{Receiver, select, tick};
use eyre::Result;
use lavenderhatch_core::blackboard::{SectionReader, SectionWriter};
use lavenderhatch_core::load::LoadSnapshot;
use lavenderhatch_core::{ConfigSnapshot, ServiceName};

use super::handle::ControllerHandle;
use crate::request::admission_gate::{AdmissionGate, AdmissionInbox};
use state::LoadState;

/// Interval at which the concurrency limit is updated and expired requests are refused.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of further requests that are read from the inbox before free slots are granted.
const MAX_BATCH: usize = 64;

/// Controller of the admission queue.
#[derive(Debug)]
pub struct LoadController {
    /// Service that the local backend server belongs to.
    pub service: ServiceName,
    /// The configuration in force.
    pub config: SectionReader<Option<ConfigSnapshot>>,
    /// Writer of the `load` section, which this controller owns.
    pub load: SectionWriter<LoadSnapshot>,
    /// Admission gate of the local backend server.
    pub gate: Arc<AdmissionGate>,
    /// Channels between the gate and this controller.
    pub inbox: AdmissionInbox,
}

impl LoadController {
    /// Starts the controller thread.
    pub fn spawn(self) -> Result<ControllerHandle> {
        ControllerHandle::spawn("load", move |stop| self.run(&stop))
    }

    fn run(self, stop: &Receiver<()>) {
        let Self {
            service,
            config,
            load,
            gate,
            inbox,
        } = self;
        let config_changed = config.subscribe();
        let ticks = tick(TICK_INTERVAL);
        let mut state = LoadState::new(service, gate, inbox.decided);
        state.configure(config.load().as_ref().as_ref());
        load.publish(state.snapshot());
        loop {
            select! {
                recv(stop) -> _ => return,
                recv(config_changed) -> wake => match wake {
                    Ok(()) => {
                        state.configure(config.load().as_ref().as_ref());
                        load.publish(state.snapshot());
                    }
                    Err(_) => return,
                },
                recv(inbox.queued) -> request => match request {
                    Ok(request) => {
                        state.offer(request);
                        inbox.queued.try_iter().take(MAX_BATCH).for_each(|next| state.offer(next));
                    }
                    Err(_) => return,
                },
                recv(inbox.slot_freed) -> _ => {}
                recv(ticks) -> _ => state.tick(),
            }
            state.dispatch();
            if state.is_snapshot_due() {
                publish_if_changed(&load, state.snapshot());
            }
        }
    }
}

fn publish_if_changed(load: &SectionWriter<LoadSnapshot>, snapshot: LoadSnapshot) {
    if **load.load() != snapshot {
        load.publish(snapshot);
    }
}
