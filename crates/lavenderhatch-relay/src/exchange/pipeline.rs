//! Requests that were started before the ones ahead of them were answered.

use std::cell::RefCell;
use std::collections::VecDeque;

use hyper::{HeaderMap, Uri};
use tokio::task::JoinHandle;

use super::origin::OriginAnswer;

/// Requests of one connection that are started early.
const MAX_STARTED: usize = 16;

/// A request in progress, cancelled when dropped.
#[derive(Debug)]
pub(super) struct Started {
    target: Uri,
    headers: HeaderMap,
    task: JoinHandle<OriginAnswer>,
}

impl Started {
    /// Waits for the answer. `None` if the exchange has ended without one.
    pub(super) async fn answer(mut self) -> Option<OriginAnswer> {
        (&mut self.task).await.ok()
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Requests of one connection that were started early, in the order in which they were sent.
#[derive(Debug, Default)]
pub(super) struct Pipeline {
    started: RefCell<VecDeque<Started>>,
}

impl Pipeline {
    /// Whether another request may be started.
    pub(super) fn has_room(&self) -> bool {
        self.started.borrow().len() < MAX_STARTED
    }

    /// Adds a request that was started.
    pub(super) fn push(&self, target: Uri, headers: HeaderMap, task: JoinHandle<OriginAnswer>) {
        let started = Started {
            target,
            headers,
            task,
        };
        self.started.borrow_mut().push_back(started);
    }

    /// Takes the request with this head if it was started.
    pub(super) fn take(&self, target: &Uri, headers: &HeaderMap) -> Option<Started> {
        let mut started = self.started.borrow_mut();
        let first = started.front()?;
        match first.target == *target && first.headers == *headers {
            true => started.pop_front(),
            false => None,
        }
    }
}
