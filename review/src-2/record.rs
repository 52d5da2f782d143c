//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
    /// Runs of requests of the crowd, which are counted and not listed.
    pub crowd_runs: AtomicU64,
}

/// Prefix of the identities of the crowd's requests.
pub const CROWD: &str = "crowd-";

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            crowd_runs: AtomicU64::new(0),
        })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.start.elapsed().as_secs_f64());
        let _ = file.flush();
    }

    pub fn ran(&self, backend: &str, request: &str) {
        match request.starts_with(CROWD) {
            true => drop(self.crowd_runs.fetch_add(1, Relaxed)),
            false => self.line(&format!("{backend} runs {request}")),
        }
    }
}
