//! Handles of running controllers.

use std::thread::{self, JoinHandle};

use crossbeam::channel::{Receiver, Sender, bounded};
use eyre::Result;

/// A running controller. Dropping the handle ends it.
#[derive(Debug)]
pub struct ControllerHandle {
    /// Dropped to end the thread.
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl ControllerHandle {
    /// Starts a thread. It ends when the channel that it is given is disconnected.
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

    /// Lets the thread end on its own after the handle is dropped. For threads that wait for an
    /// outside system, which may take seconds to answer.
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
