//! A request that is counted for the rollout of its service.

use std::sync::Arc;

use lavenderhatch_core::Timestamp;
use lavenderhatch_decide::relay::BackendReport;

use super::attempt::AttemptResult;
use super::call::Call;
use super::local_backend::LocalBackend;
use crate::blackboard::LocalVersion;
use crate::monotonic_clock::MonotonicClock;

/// A request that is counted for the rollout of its service when it ends.
///
/// One that ends without [`Self::finish`], such as at its deadline, counts as failed.
#[derive(Debug)]
pub(super) struct CountedRequest(Option<Running>);

#[derive(Debug)]
struct Running {
    version: Arc<LocalVersion>,
    clock: MonotonicClock,
    incarnation: u64,
    class: u64,
    started: Timestamp,
}

impl CountedRequest {
    /// Starts counting, unless the service has no rollout.
    pub(super) fn start(
        local: &LocalBackend,
        call: &Call,
        backend: &BackendReport,
        now: Timestamp,
    ) -> Self {
        let version = &local.blackboard.local_version;
        Self(version.is_counting().then(|| Running {
            version: Arc::clone(version),
            clock: local.clock,
            incarnation: backend.incarnation,
            class: call.demand.class,
            started: now,
        }))
    }

    /// Counts the request with its result. A refusal of the backend server is no failure.
    pub(super) fn finish(mut self, result: &AttemptResult) {
        let is_failure = match result {
            Ok(answer) => answer.status.is_server_error(),
            Err(failure) => !failure.kind.is_not_run(),
        };
        self.count(is_failure);
    }

    fn count(&mut self, is_failure: bool) {
        if let Some(running) = self.0.take() {
            let now = running.clock.now();
            let took = now.since(running.started);
            let (incarnation, class) = (running.incarnation, running.class);
            running
                .version
                .record(incarnation, class, is_failure, took, now);
        }
    }
}

impl Drop for CountedRequest {
    fn drop(&mut self) {
        self.count(true);
    }
}
