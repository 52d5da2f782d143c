//! Metrics of the limits of client accounts, over all accounts.

use prometheus::{IntCounterVec, Registry};

use crate::metrics::register_counters;

/// Counters of requests of accounts with a limit, and of the messages about them.
#[derive(Clone, Debug)]
pub(crate) struct QuotaMetrics {
    requests: IntCounterVec,
    messages: IntCounterVec,
    bytes: IntCounterVec,
}

impl QuotaMetrics {
    /// Registers the counters.
    pub(crate) fn new(registry: &Registry) -> prometheus::Result<Self> {
        let counters =
            |name: &str, help: &str, label: &str| register_counters(registry, name, help, &[label]);
        Ok(Self {
            requests: counters(
                "lavenderhatch_quota_requests_total",
                "Requests of client accounts with a limit, by result",
                "result",
            )?,
            messages: counters(
                "lavenderhatch_quota_messages_total",
                "Messages to coordinators of limits, by result, and messages answered",
                "result",
            )?,
            bytes: counters(
                "lavenderhatch_quota_bytes_total",
                "Bytes of the bodies of messages to coordinators of limits",
                "direction",
            )?,
        })
    }

    /// Counts a request: `granted`, `granted_after_wait`, `refused` or `given_back`.
    pub(super) fn count_request(&self, result: &str) {
        self.requests.with_label_values(&[result]).inc();
    }

    /// Counts a message: `answered`, `failed` or `served`.
    pub(super) fn count_message(&self, result: &str) {
        self.messages.with_label_values(&[result]).inc();
    }

    /// Counts the bytes of a message in the direction `sent` or `received`.
    pub(super) fn count_bytes(&self, direction: &str, bytes: usize) {
        let counter = self.bytes.with_label_values(&[direction]);
        counter.inc_by(bytes as u64);
    }
}
