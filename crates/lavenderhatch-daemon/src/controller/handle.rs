//! Handles of controller threads.

use std::thread::{self, JoinHandle};

use crossbeam::channel::{Receiver, Sender, bounded};
use eyre::Result;

/// Handle of a running controller. Dropping it ends the controller and joins its thread.
#[derive(Debug)]
pub struct ControllerHandle {
    /// Never sent on; dropping it tells the thread to end.
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ControllerHandle {
    /// Starts a named thread that runs `run`, which must return once the passed channel is
    /// disconnected.
    pub fn spawn(
        name: &'static str,
        run: impl FnOnce(Receiver<()>) + Send + 'static,
    ) -> Result<Self> {
        let (stop, rx) = bounded(0);
        let thread = thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || run(rx))?;
        Ok(Self {
            stop: Some(stop),
            thread: Some(thread),
        })
    }

    /// Makes dropping the handle signal the thread without joining it.
    ///
    /// This is for threads that wait for an external system, which may take seconds to answer.
    pub fn detached(mut self) -> Self {
        self.thread = None;
        self
    }
}

impl Drop for ControllerHandle {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
