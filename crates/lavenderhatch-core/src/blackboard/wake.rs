//! Wake-up messages for the subscribers of a section.

use arc_swap::ArcSwap;
use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

/// Receives one message for one or more publications.
pub type WakeReceiver = Receiver<()>;

/// The subscribers of a section.
#[derive(Default)]
pub(super) struct WakeList {
    senders: ArcSwap<Vec<Sender<()>>>,
}

impl WakeList {
    pub(super) fn subscribe(&self) -> WakeReceiver {
        let (tx, rx) = bounded(1);
        self.senders.rcu(|senders| {
            let mut senders = Vec::clone(senders);
            senders.push(tx.clone());
            senders
        });
        rx
    }

    pub(super) fn wake_all(&self) {
        let senders = self.senders.load();
        let mut has_disconnected = false;
        for tx in senders.iter() {
            has_disconnected |= matches!(tx.try_send(()), Err(TrySendError::Disconnected(())));
        }
        if has_disconnected {
            self.remove_disconnected();
        }
    }

    fn remove_disconnected(&self) {
        // A full channel holds a message that its subscriber has not received yet, so only
        // channels without a receiver are removed.
        self.senders.rcu(|senders| {
            let is_open =
                |tx: &&Sender<()>| !matches!(tx.try_send(()), Err(TrySendError::Disconnected(())));
            senders.iter().filter(is_open).cloned().collect::<Vec<_>>()
        });
    }
}
