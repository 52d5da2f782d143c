//! Recent calls, kept so that an operator can ask why one was answered as it was.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lavenderhatch_core::call::CallResponse;
use lavenderhatch_core::{RouteName, Timestamp, Version};
use lavenderhatch_decide::explain::CallRecord;

/// Calls that are kept of those that a back end answered, and as many of those that ended in an
/// error, so that a flood of the former does not push out the latter.
const RING_CAPACITY: usize = 1024;
/// Most bytes of a text that are kept.
const MAX_TEXT_BYTES: usize = 256;

/// What the caller port knows of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallSummary<'a> {
    /// Identifies the call.
    pub id: &'a str,
    /// Method in upper case.
    pub method: &'a str,
    /// Path without query.
    pub path: &'a str,
    /// Size of the body.
    pub body_bytes: usize,
    /// When the call was answered.
    pub at: Timestamp,
}

/// Recent calls, in two rings.
#[derive(Default)]
pub struct RecentCalls {
    answered: RingBuffer,
    failed: RingBuffer,
}

impl RecentCalls {
    /// Keeps a call. Waits for nobody.
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

    /// The call with this id, the latest if there are several.
    pub fn find(&self, id: &str) -> Option<Arc<CallRecord>> {
        let found = [&self.answered, &self.failed].map(|ring| ring.find(truncate(id)));
        found.into_iter().flatten().max_by_key(|record| record.at)
    }
}

/// The last calls. A writer replaces the oldest one.
///
/// The slots are mutexes that a writer only tries, so that it never waits for a reader. To store into
/// an `ArcSwap` takes time for each thread that has ever read one, and there is one thread a connection.
struct RingBuffer {
    /// Invariant: [`RING_CAPACITY`] slots.
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
        // A slot that is being read keeps its older call.
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

/// The message of an error, which is the body of its answer after the kind.
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

/// The longest prefix of whole characters that is kept.
fn truncate(text: &str) -> &str {
    let mut end = text.len().min(MAX_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}
