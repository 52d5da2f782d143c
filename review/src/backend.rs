//! A stand-in for an application backend.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicI64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{read_message, Message};
use crate::msgpack::{map, text, Value};
use crate::record::Record;

/// A request that has reached the backend.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub id: String,
    pub at: f64,
}

#[derive(Clone)]
pub struct Backend {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    /// Unix millisecond of its start.
    pub born: i64,
    slots: i64,
    sequence: Arc<AtomicI64>,
    working: Arc<AtomicUsize>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    record: Record,
}

impl Backend {
    pub fn start(ip: &str, id: &str, service: &str, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the backend");
        let backend = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr().unwrap(),
            born: unix_ms(),
            slots: 12,
            sequence: Arc::default(),
            working: Arc::default(),
            arrivals: Arc::default(),
            record: record.clone(),
        };
        let server = backend.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let backend = server.clone();
                thread::spawn(move || backend.serve(stream));
            }
        });
        backend
    }

    /// Ends this incarnation and starts another one at the same address and under the same id. Work
    /// in progress is lost.
    pub fn restart(&self, born: i64) -> Self {
        self.record.line(format!(
            "backend {}: crashes, starts again with born {born}",
            self.id
        ));
        let sequence = Arc::default();
        Self {
            born,
            sequence,
            ..self.clone()
        }
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Returns the next report of its state.
    pub fn report(&self, state: &str) -> Value {
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        map(vec![
            ("service", text(self.service.as_str())),
            ("address", text(self.addr.to_string())),
            ("zone", text("zone-a")),
            ("version", text("v1")),
            ("slots", Value::Int(self.slots)),
            ("state", text(state)),
            ("cold_remaining", text("0ms")),
            ("sequence", Value::Int(sequence)),
            ("born", Value::Int(self.born)),
        ])
    }

    /// Sends a report. Returns the status of the answer, zero if there is none within a second.
    pub fn send_report(&self, control: SocketAddr, report: &Value) -> u16 {
        let state = report.get("state").as_text().to_owned();
        let sequence = report.get("sequence").as_int().unwrap_or(0);
        let status = self.call(control, "instances.heartbeat", &report.encode());
        self.record.line(format!(
            "backend {}: reports {state} (sequence {sequence}), answer {status}",
            self.id
        ));
        status
    }

    /// Says that it leaves for good. Returns the status of the answer, zero if there is none.
    pub fn deregister(&self, control: SocketAddr) -> u16 {
        let body = map(vec![("born", Value::Int(self.born))]).encode();
        let status = self.call(control, "instances.deregister", &body);
        self.record
            .line(format!("backend {}: deregisters, answer {status}", self.id));
        status
    }

    fn call(&self, control: SocketAddr, call: &str, body: &[u8]) -> u16 {
        let Ok(mut stream) = TcpStream::connect_timeout(&control, Duration::from_secs(1)) else {
            return 0;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let head = format!(
            "POST /v1/rpc?call={call}&of={} HTTP/1.1\r\nHost: {control}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            self.id,
            body.len()
        );
        if stream.write_all(&[head.as_bytes(), body].concat()).is_err() {
            return 0;
        }
        read_message(&mut BufReader::new(stream)).map_or(0, |answer| answer.status())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some(req) = read_message(&mut reader) {
            if !req.is_whole {
                return;
            }
            let Some(answer) = self.run(&req, &stream) else {
                return;
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    /// Runs a request. `None` if its connection closes before the end.
    fn run(&self, req: &Message, stream: &TcpStream) -> Option<Vec<u8>> {
        let id = req.header("request-id").to_owned();
        let expected = req.header("expected-instance");
        if !expected.is_empty() && expected != self.id {
            self.record.line(format!(
                "backend {}: request {id} expects {expected}: 421",
                self.id
            ));
            let head = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            );
            return Some(head.into_bytes());
        }
        let path = req.word(1).to_owned();
        let number = |prefix: &str| -> Option<u64> {
            path.split('/')
                .find_map(|part| part.strip_prefix(prefix)?.parse().ok())
        };
        self.record.line(format!(
            "backend {}: request {id} reaches it ({} {path}, Deadline-Ms {})",
            self.id,
            req.word(0),
            req.header("deadline-ms")
        ));
        let at = self.record.now();
        self.arrivals
            .lock()
            .unwrap()
            .push(Arrival { id: id.clone(), at });
        self.working.fetch_add(1, SeqCst);
        let is_kept = work(stream, Duration::from_millis(number("work-").unwrap_or(20)));
        self.working.fetch_sub(1, SeqCst);
        if !is_kept {
            self.record.line(format!(
                "backend {}: the connection of {id} closes, dropped",
                self.id
            ));
            return None;
        }
        let body: Vec<u8> = (0..number("size-").unwrap_or(400))
            .map(|at| b'a' + (at % 23) as u8)
            .collect();
        self.record.line(format!(
            "backend {}: answers {id} with {} bytes",
            self.id,
            body.len()
        ));
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s.{id}.{}\r\nContent-Length: {}\r\n\r\n",
            body.len(),
            body.len()
        );
        Some([head.as_bytes(), &body].concat())
    }
}

/// Returns the time of day in milliseconds since the Unix epoch.
pub fn unix_ms() -> i64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as i64
}

/// Works for `time`. Returns whether the connection was still open all the while.
fn work(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    let _ = stream.set_nonblocking(true);
    let mut is_kept = true;
    while is_kept && Instant::now() < end {
        thread::sleep(Duration::from_millis(5).min(end.saturating_duration_since(Instant::now())));
        let mut byte = [0];
        is_kept = match stream.peek(&mut byte) {
            Ok(count) => count > 0,
            Err(err) => err.kind() == std::io::ErrorKind::WouldBlock,
        };
    }
    let _ = stream.set_nonblocking(false);
    is_kept
}
