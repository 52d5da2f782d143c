//! Threads that run calls which peers have handed over.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::{Receiver, Sender, bounded};
use eyre::Result;
use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::call::CallAnswer;

use super::backend::Backend;
use super::order::waits_for_claim;
use super::path::{PeerCaller, RequestPath};
use crate::peer::CarryJob;

/// Threads for orders that wait for their claims, so that such orders keep no other call waiting.
const ORDER_THREADS: usize = 64;
/// Orders that wait for such a thread. More are refused.
const ORDER_QUEUE: usize = 1024;

/// Running threads. They end with the process.
#[derive(Debug)]
pub struct CarryWorkers;

impl CarryWorkers {
    /// Starts `threads` threads that take calls from `jobs`.
    pub fn spawn<B: Backend, L: PeerCaller>(
        threads: usize,
        jobs: &Receiver<CarryJob>,
        path: &Arc<RequestPath<B, L>>,
    ) -> Result<Self> {
        let (orders_tx, orders) = bounded(ORDER_QUEUE);
        for n in 0..threads {
            let (jobs, orders) = (jobs.clone(), orders_tx.clone());
            let path = Arc::clone(path);
            let name = format!("carry-{n}");
            thread::Builder::new()
                .name(name)
                .spawn(move || run(&jobs, &orders, &path))?;
        }
        for n in 0..ORDER_THREADS {
            let orders = Receiver::clone(&orders);
            let path = Arc::clone(path);
            let name = format!("carry-order-{n}");
            thread::Builder::new()
                .name(name)
                .spawn(move || orders.iter().for_each(|job| answer(job, &path)))?;
        }
        Ok(Self)
    }
}

fn run<B: Backend, L: PeerCaller>(
    jobs: &Receiver<CarryJob>,
    orders: &Sender<CarryJob>,
    path: &RequestPath<B, L>,
) {
    for job in jobs {
        match waits_for_claim(&job.call) {
            true => hand_over(job, orders),
            false => answer(job, path),
        }
    }
}

fn hand_over(job: CarryJob, orders: &Sender<CarryJob>) {
    if let Err(refused) = orders.try_send(job) {
        // Not "not run": an earlier call with the same key may have run.
        let message = "too many orders wait for their claims; ask again with the same key";
        let answer = CallAnswer::from_error(ErrorKind::OutcomeUnknown, message);
        refused.into_inner().reply.send(answer);
    }
}

fn answer<B: Backend, L: PeerCaller>(job: CarryJob, path: &RequestPath<B, L>) {
    if !job.reply.is_abandoned() {
        let guard = path.enter();
        let answer = match &guard {
            Ok(_) => path.run_for_peer(&job.call),
            Err(err) => CallAnswer::from_error(err.kind(), err.message()),
        };
        job.reply.send(answer);
    }
}
