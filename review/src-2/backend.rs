//! A stand-in for a backend: it answers each request that expects it, whole and signed.

use std::io::{self, BufReader};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Time for which a request is worked on.
const WORK: Duration = Duration::from_millis(30);

struct Shared {
    id: String,
    record: Arc<Record>,
    is_up: AtomicBool,
    /// Whether health checks are answered with 200.
    is_healthy: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    arrivals: Mutex<Vec<Instant>>,
}

#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl Backend {
    pub fn bind(id: &str, ip: &str, record: &Arc<Record>) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            record: Arc::clone(record),
            is_up: AtomicBool::new(true),
            is_healthy: AtomicBool::new(true),
            connections: Mutex::default(),
            arrivals: Mutex::default(),
        });
        let served = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !served.is_up.load(SeqCst) {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    served.connections.lock().unwrap().push(copy);
                }
                let shared = Arc::clone(&served);
                thread::spawn(move || {
                    let _ = shared.serve(stream);
                });
            }
        });
        Ok(Self {
            id: id.to_owned(),
            addr,
            shared,
        })
    }

    /// Ends all connections, as a crash does, and takes no more.
    pub fn crash(&self) {
        self.shared.is_up.store(false, SeqCst);
        for stream in self.shared.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Starts again under the same identity.
    pub fn start_again(&self) {
        self.shared.is_up.store(true, SeqCst);
    }

    /// Answers health checks with 503 from now on, because it leaves.
    pub fn leave(&self) {
        self.shared.is_healthy.store(false, SeqCst);
    }

    /// Number of requests that have reached it since a time.
    pub fn arrivals_since(&self, time: Instant) -> usize {
        let arrivals = self.shared.arrivals.lock().unwrap();
        arrivals.iter().filter(|arrival| **arrival > time).count()
    }

    /// Time of the last request that has reached it.
    pub fn last_arrival(&self) -> Option<Instant> {
        self.shared.arrivals.lock().unwrap().last().copied()
    }
}

impl Shared {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let id = &self.id;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let req = http::read(&mut reader)?;
            let instance = format!("Instance-Id: {id}\r\n");
            if req.target() == "/health" {
                let first = match self.is_healthy.load(SeqCst) {
                    true => "HTTP/1.1 200 OK",
                    false => "HTTP/1.1 503 Service Unavailable",
                };
                http::write(&mut writer, first, &instance, b"")?;
                continue;
            }
            if req
                .header("expected-instance")
                .is_some_and(|expected| expected != id)
            {
                http::write(
                    &mut writer,
                    "HTTP/1.1 421 Misdirected Request",
                    &instance,
                    b"",
                )?;
                continue;
            }
            let request = req.header("request-id").unwrap_or("").to_owned();
            self.arrivals.lock().unwrap().push(Instant::now());
            self.record.ran(id, &request);
            thread::sleep(WORK);
            let headers =
                format!("Request-Id: {request}\r\nResponse-Signature: {id}.{request}\r\n");
            http::write(
                &mut writer,
                "HTTP/1.1 200 OK",
                &headers,
                b"the bytes of the backend",
            )?;
        }
    }
}
