//! Threads that run calls which peers have handed over.

use std::sync::Arc;
use std::thread;

use crossbeam::channel::Receiver;
use eyre::Result;
use lavenderhatch_core::call::CallAnswer;

use super::backend::Backend;
use super::path::{PeerCaller, RequestPath};
use crate::peer::CarryJob;

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
        for n in 0..threads {
            let jobs = jobs.clone();
            let path = Arc::clone(path);
            let name = format!("carry-{n}");
            thread::Builder::new()
                .name(name)
                .spawn(move || run(&jobs, &path))?;
        }
        Ok(Self)
    }
}

fn run<B: Backend, L: PeerCaller>(jobs: &Receiver<CarryJob>, path: &RequestPath<B, L>) {
    for job in jobs {
        if job.reply.is_abandoned() {
            continue;
        }
        let guard = path.enter();
        let answer = match &guard {
            Ok(_) => path.run_for_peer(&job.call),
            Err(err) => CallAnswer::from_error(err.kind(), err.message()),
        };
        job.reply.send(answer);
    }
}
