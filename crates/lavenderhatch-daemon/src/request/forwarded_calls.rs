//! Threads that run the calls forwarded by peers.
//!
//! A call that waits for a slot stays in the admission queue and blocks no thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, Sender, bounded, select};
use eyre::Result;
use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::call::{CallResponse, StoredCall};
use tracing::warn;

use super::admission_gate::{AdmissionResult, DecidedCall, ForwardedCall};
use super::backend::Backend;
use super::issued_keys::is_key_request;
use super::path::{CallForwarder, RequestPath};
use crate::peer::ForwardRequest;

/// Time after which a thread without work ends, provided that another one is idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(300);

/// Maximum number of orders with a key that wait for a thread. Further ones are refused.
const ORDER_QUEUE_CAPACITY: usize = 1024;

/// The worker threads for forwarded calls. They run until the process ends.
///
/// Invariant: a thread that takes work makes sure that another one is idle, so that a new call
/// reaches the admission queue at once. Only calls with a slot occupy a thread for long, so the
/// limit of the gate bounds the number of threads.
#[derive(Debug)]
pub struct ForwardedCallWorkers<B, L> {
    requests: Receiver<ForwardRequest>,
    decided: Receiver<DecidedCall>,
    /// Queue of the threads for orders with a key.
    orders: Sender<ForwardRequest>,
    path: Arc<RequestPath<B, L>>,
    idle: AtomicUsize,
}

impl<B: Backend, L: CallForwarder> ForwardedCallWorkers<B, L> {
    /// Starts `order_threads` threads for orders with a key, and the first thread for all other
    /// calls.
    ///
    /// Orders with a key have threads of their own, because they wait for the order controller
    /// before they run.
    pub fn spawn(
        order_threads: usize,
        requests: Receiver<ForwardRequest>,
        decided: Receiver<DecidedCall>,
        path: Arc<RequestPath<B, L>>,
    ) -> Result<()> {
        let (orders, order_requests) = bounded(ORDER_QUEUE_CAPACITY);
        for n in 0..order_threads {
            let (requests, path) = (Receiver::clone(&order_requests), Arc::clone(&path));
            thread::Builder::new()
                .name(format!("carry-order-{n}"))
                .spawn(move || requests.iter().for_each(|req| run_order(req, &path)))?;
        }
        let workers = Arc::new(Self {
            requests,
            decided,
            orders,
            path,
            idle: AtomicUsize::new(0),
        });
        workers.add_thread()?;
        Ok(())
    }

    fn add_thread(self: &Arc<Self>) -> std::io::Result<()> {
        self.idle.fetch_add(1, Ordering::AcqRel);
        let workers = Arc::clone(self);
        let spawned = thread::Builder::new()
            .name("carry".to_owned())
            .spawn(move || workers.run());
        if spawned.is_err() {
            self.idle.fetch_sub(1, Ordering::AcqRel);
        }
        spawned.map(|_| ())
    }

    fn run(self: &Arc<Self>) {
        loop {
            let work = select! {
                recv(self.requests) -> req => match req {
                    Ok(req) => Some(Work::Arrived(req)),
                    Err(_) => return,
                },
                recv(self.decided) -> decided => match decided {
                    Ok(decided) => Some(Work::Decided(decided)),
                    Err(_) => return,
                },
                default(IDLE_TIMEOUT) => None,
            };
            let is_last_idle = self.idle.fetch_sub(1, Ordering::AcqRel) == 1;
            match work {
                None if !is_last_idle => return,
                None => {}
                Some(work) => {
                    if is_last_idle && let Err(err) = self.add_thread() {
                        warn!("rank: cannot start a thread for forwarded calls: {err}");
                    }
                    self.handle(work);
                }
            }
            self.idle.fetch_add(1, Ordering::AcqRel);
        }
    }

    fn handle(&self, work: Work) {
        let decided = match work {
            Work::Arrived(req) => self.admit(req),
            Work::Decided(decided) => Some(decided),
        };
        if let Some(DecidedCall { call, admission }) = decided {
            self.finish(*call, admission);
        }
    }

    fn admit(&self, req: ForwardRequest) -> Option<DecidedCall> {
        if is_keyed_order(&req.call) {
            self.enqueue_order(req);
            return None;
        }
        let guard = match self.path.enter() {
            Ok(guard) => guard,
            Err(err) => {
                req.reply.send(self.path.error_answer(&err, rand::random()));
                return None;
            }
        };
        // Issuing a key needs no slot, because the back end takes no part in it.
        if is_key_request(&req.call.method, &req.call.target) {
            req.reply.send(self.path.run_forwarded(&req.call));
            return None;
        }
        self.path
            .admit_forwarded(Box::new(ForwardedCall { req, guard }))
    }

    fn enqueue_order(&self, req: ForwardRequest) {
        if let Err(refused) = self.orders.try_send(req) {
            // The answer is not "not run", as an earlier call with the same key may have run.
            let message = "too many orders wait for their claims; ask again with the same key";
            let answer = CallResponse::from_error(ErrorKind::OutcomeUnknown, message);
            refused.into_inner().reply.send(answer);
        }
    }

    fn finish(&self, call: ForwardedCall, admission: AdmissionResult) {
        let ForwardedCall { req, guard } = call;
        // If the peer no longer waits for the answer, the call does not run. Dropping the admission
        // result releases the slot.
        if req.reply.is_abandoned() {
            return;
        }
        let result = admission.and_then(|permit| self.path.run_with_permit(&req.call, permit));
        let answer = result.unwrap_or_else(|err| self.path.error_answer(&err, rand::random()));
        req.reply.send(answer);
        drop(guard);
    }
}

fn run_order<B: Backend, L: CallForwarder>(req: ForwardRequest, path: &RequestPath<B, L>) {
    if req.reply.is_abandoned() {
        return;
    }
    let guard = path.enter();
    let answer = match &guard {
        Ok(_) => path.run_forwarded(&req.call),
        Err(err) => path.error_answer(err, rand::random()),
    };
    req.reply.send(answer);
}

/// Returns whether a call needs the order controller before it runs.
fn is_keyed_order(call: &StoredCall) -> bool {
    !call.is_idempotent && call.key.is_some()
}

/// One piece of work for a thread.
enum Work {
    /// A newly arrived forwarded call.
    Arrived(ForwardRequest),
    /// A call that was granted a slot or refused after a wait.
    Decided(DecidedCall),
}
