//! Requests that were started before the ones ahead of them were answered.

use std::cell::RefCell;
use std::collections::VecDeque;

use hyper::{HeaderMap, Uri};
use tokio::task::JoinHandle;

use super::router::RequestResult;

/// Requests of one connection that are started early.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// A request in progress, cancelled when dropped.
#[derive(Debug)]
pub(super) struct PipelinedRequest {
    target: Uri,
    headers: HeaderMap,
    task: JoinHandle<RequestResult>,
}

impl PipelinedRequest {
    /// Waits for the answer. `None` if the exchange has ended without one.
    pub(super) async fn answer(mut self) -> Option<RequestResult> {
        (&mut self.task).await.ok()
    }
}

impl Drop for PipelinedRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Requests of one connection that were started early, in the order in which they were sent.
#[derive(Debug, Default)]
pub(super) struct Pipeline {
    requests: RefCell<VecDeque<PipelinedRequest>>,
}

impl Pipeline {
    /// Whether another request may be started.
    pub(super) fn has_capacity(&self) -> bool {
        self.requests.borrow().len() < MAX_PIPELINED_REQUESTS
    }

    /// Adds a request that was started.
    pub(super) fn push(&self, target: Uri, headers: HeaderMap, task: JoinHandle<RequestResult>) {
        let request = PipelinedRequest {
            target,
            headers,
            task,
        };
        self.requests.borrow_mut().push_back(request);
    }

    /// Takes the request with this head if it was started.
    pub(super) fn take(&self, target: &Uri, headers: &HeaderMap) -> Option<PipelinedRequest> {
        let mut requests = self.requests.borrow_mut();
        let first = requests.front()?;
        match first.target == *target && first.headers == *headers {
            true => requests.pop_front(),
            false => None,
        }
    }
}
