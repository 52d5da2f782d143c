//! Recent calls, which are kept so that an operator can ask for the reason of an answer.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lavenderhatch_core::call::CallResponse;
use lavenderhatch_core::{RouteName, Timestamp, Version};
use lavenderhatch_decide::explain::CallRecord;

/// Number of calls that each of the two rings keeps.
///
/// Calls that a back end answered and calls that ended in an error have separate rings, so that a
/// flood of the former does not evict the latter.
const RING_CAPACITY: usize = 1024;
/// Maximum length of a stored text, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// Properties of a call that the caller port has read.
#[derive(Clone, Copy, Debug)]
pub struct CallSummary<'a> {
    /// Id of the call.
    pub id: &'a str,
    /// HTTP method in upper case.
    pub method: &'a str,
    /// Path without query.
    pub path: &'a str,
    /// Size of the body of the request.
    pub body_bytes: usize,
    /// When the call was answered.
    pub at: Timestamp,
}

/// The recent calls, in one ring for answered calls and one for failed calls.
#[derive(Default)]
pub struct RecentCalls {
    answered: RingBuffer,
    failed: RingBuffer,
}

impl RecentCalls {
    /// Stores a call. Never blocks.
    pub fn record(
        &self,
        call: &CallSummary<'_>,
        route: Option<&RouteName>,
        version: Version,
        answer: &CallResponse,
        elapsed: Duration,
    ) {
        let ring = match answer.error {
            None => &self.answered,
            Some(_) => &self.failed,
        };
        ring.push(CallRecord {
            id: truncate(call.id).to_owned(),
            at: call.at,
            method: truncate(call.method).to_owned(),
            path: truncate(call.path).to_owned(),
            route: route.cloned(),
            version,
            status: answer.status,
            outcome: answer.outcome,
            error: answer.error,
            message: error_message(answer),
            duration_us: elapsed.as_micros() as u64,
        });
    }

    /// Returns the call with this id, or the latest one if there are several.
    pub fn find(&self, id: &str) -> Option<Arc<CallRecord>> {
        let found = [&self.answered, &self.failed].map(|ring| ring.find(truncate(id)));
        found.into_iter().flatten().max_by_key(|record| record.at)
    }
}

/// A ring of the last calls, in which a new call replaces the oldest one.
///
/// The slots are mutexes on which a writer only calls `try_lock`, so that it never waits for a
/// reader. A store into an `ArcSwap` would take time in proportion to the threads that have ever
/// read one, and there may be one thread per connection.
struct RingBuffer {
    /// Invariant: the length is [`RING_CAPACITY`].
    slots: Vec<Mutex<Option<Arc<CallRecord>>>>,
    next: AtomicUsize,
}

impl Default for RingBuffer {
    fn default() -> Self {
        Self {
            slots: (0..RING_CAPACITY).map(|_| Mutex::default()).collect(),
            next: AtomicUsize::new(0),
        }
    }
}

impl RingBuffer {
    fn push(&self, record: CallRecord) {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % RING_CAPACITY;
        // A slot that is being read keeps its older call, and the new one is dropped.
        if let Ok(mut slot) = self.slots[index].try_lock() {
            *slot = Some(Arc::new(record));
        }
    }

    fn find(&self, id: &str) -> Option<Arc<CallRecord>> {
        let records = self
            .slots
            .iter()
            .filter_map(|slot| slot.lock().ok()?.clone());
        records
            .filter(|record| record.id == id)
            .max_by_key(|record| record.at)
    }
}

/// Returns the message of an error, which follows the kind in the body of the answer.
fn error_message(answer: &CallResponse) -> String {
    let Some(kind) = answer.error else {
        return String::new();
    };
    let body = String::from_utf8_lossy(&answer.body);
    let body = body.trim_end();
    let message = body
        .strip_prefix(kind.as_str())
        .and_then(|rest| rest.strip_prefix(": "));
    truncate(message.unwrap_or(body)).to_owned()
}

/// Shortens a text to at most [`MAX_TEXT_BYTES`], at a character boundary.
fn truncate(text: &str) -> &str {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
