//! Pipelined requests, started before the requests ahead of them are answered.

use std::cell::RefCell;
use std::collections::VecDeque;

use hyper::{HeaderMap, Uri};
use lavenderhatch_core::drain::InFlightGuard;
use tokio::sync::Notify;
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
    /// Keeps the process running until the answer is delivered. It may be ready long before the
    /// answers to the requests ahead.
    guard: Option<InFlightGuard>,
}

impl PipelinedRequest {
    pub(super) fn new(
        target: Uri,
        headers: HeaderMap,
        task: JoinHandle<RequestResult>,
        guard: InFlightGuard,
    ) -> Self {
        Self {
            target,
            headers,
            task,
            guard: Some(guard),
        }
    }

    /// Waits for the answer, and returns it with what keeps its request in flight. `None` if the
    /// task has ended without an answer.
    pub(super) async fn answer(mut self) -> Option<(RequestResult, Option<InFlightGuard>)> {
        let answer = (&mut self.task).await.ok()?;
        Some((answer, self.guard.take()))
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
    /// Wakes the task that waits until no request is left.
    emptied: Notify,
}

impl Pipeline {
    /// Whether another request may be added.
    pub(super) fn has_capacity(&self) -> bool {
        self.requests.borrow().len() < MAX_PIPELINED_REQUESTS
    }

    /// Whether no request is left. Until then the connection must stay open, because the requests
    /// may run already and their answers would be lost.
    pub(super) fn is_empty(&self) -> bool {
        self.requests.borrow().is_empty()
    }

    /// Waits until no request is left.
    pub(super) async fn wait_until_empty(&self) {
        while !self.is_empty() {
            self.emptied.notified().await;
        }
    }

    /// Adds a request that has been started.
    pub(super) fn push(&self, request: PipelinedRequest) {
        self.requests.borrow_mut().push_back(request);
    }

    /// Removes and returns the first request if it has this head.
    pub(super) fn take(&self, target: &Uri, headers: &HeaderMap) -> Option<PipelinedRequest> {
        let mut requests = self.requests.borrow_mut();
        let first = requests.front()?;
        if first.target != *target || first.headers != *headers {
            return None;
        }
        let request = requests.pop_front();
        if requests.is_empty() {
            self.emptied.notify_one();
        }
        request
    }
}
