//! Pipelined requests, started before the requests ahead of them are answered.

use std::cell::RefCell;
use std::collections::VecDeque;

use hyper::{HeaderMap, Uri};
use tokio::task::JoinHandle;

use super::attempt::RequestResult;

/// Largest number of pipelined requests in progress on one connection.
const MAX_PIPELINED_REQUESTS: usize = 16;

/// A pipelined request in progress. Dropping it cancels the request.
#[derive(Debug)]
pub(super) struct PipelinedRequest {
    target: Uri,
    headers: HeaderMap,
    task: JoinHandle<RequestResult>,
}

impl PipelinedRequest {
    /// Waits for the answer. `None` if the task has ended without one.
    pub(super) async fn answer(mut self) -> Option<RequestResult> {
        (&mut self.task).await.ok()
    }
}

impl Drop for PipelinedRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The pipelined requests of one connection, in the order in which they were sent.
#[derive(Debug, Default)]
pub(super) struct Pipeline {
    requests: RefCell<VecDeque<PipelinedRequest>>,
}

impl Pipeline {
    /// Whether another request may be added.
    pub(super) fn has_capacity(&self) -> bool {
        self.requests.borrow().len() < MAX_PIPELINED_REQUESTS
    }

    /// Adds a request whose task has been started.
    pub(super) fn push(&self, target: Uri, headers: HeaderMap, task: JoinHandle<RequestResult>) {
        let request = PipelinedRequest {
            target,
            headers,
            task,
        };
        self.requests.borrow_mut().push_back(request);
    }

    /// Removes and returns the first request if it has this head.
    pub(super) fn take(&self, target: &Uri, headers: &HeaderMap) -> Option<PipelinedRequest> {
        let mut requests = self.requests.borrow_mut();
        let first = requests.front()?;
        match first.target == *target && first.headers == *headers {
            true => requests.pop_front(),
            false => None,
        }
    }
}
