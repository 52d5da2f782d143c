//! A scripted backend server.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use super::TEST_TIMEOUT;

/// Send buffer of an endless answer, in bytes.
const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// Time that the daemon has to read a part of an answer before the connection is reset.
const RESET_DELAY: Duration = Duration::from_millis(50);

/// A request that the backend server received.
#[derive(Clone, Debug)]
pub(crate) struct SeenRequest {
    pub(crate) line: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Address of the daemon's end of the connection.
    pub(crate) from: Option<SocketAddr>,
}

impl SeenRequest {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub(crate) fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// The reaction of the backend server to a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Sends a signed answer with this status and body.
    Signed(u16, &'static str),
    /// Sends these bytes, with `{id}` replaced by the identity of the request, and closes the
    /// connection if they contain `connection: close`.
    Raw(&'static str),
    /// Sends these bytes, with `{id}` replaced by the identity of the request, and resets the
    /// connection once the daemon has read them.
    Reset(&'static str),
    /// Closes the connection without an answer.
    Close,
    /// Ends the backend server: refuses connections from then on, and closes this one.
    Crash,
    /// Sends a signed answer with this body once the test releases the request, unless the
    /// connection ends first.
    OnRelease(&'static str),
    /// Sends the first text, with `{id}` replaced by the identity of the request, and then the
    /// second one again and again until the connection ends.
    Endless(&'static str, &'static str),
}

type ReplyRule = Box<dyn Fn(&SeenRequest) -> Reply + Send + Sync>;

struct Shared {
    rule: ReplyRule,
    seen: Sender<SeenRequest>,
    /// Receives the path of each held request whose connection has ended.
    cancelled: Sender<String>,
    releases: Mutex<Vec<String>>,
    /// Incremented by [`Backend::forget_connections`]. Connections of an earlier generation get no
    /// more answers.
    generation: AtomicUsize,
    running: AtomicUsize,
    max_running: AtomicUsize,
    has_crashed: AtomicBool,
    /// Bytes of the latest endless answer that were sent before its connection ended.
    endless_bytes: AtomicUsize,
}

/// A scripted backend server that serves each connection on its own thread.
pub(crate) struct Backend {
    pub(crate) addr: SocketAddr,
    shared: Arc<Shared>,
    seen: Receiver<SeenRequest>,
    cancelled: Receiver<String>,
}

impl Backend {
    pub(crate) fn bind(rule: impl Fn(&SeenRequest) -> Reply + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let (seen_tx, seen) = channel();
        let (cancelled_tx, cancelled) = channel();
        let shared = Arc::new(Shared {
            rule: Box::new(rule),
            seen: seen_tx,
            cancelled: cancelled_tx,
            releases: Mutex::default(),
            generation: AtomicUsize::new(0),
            running: AtomicUsize::new(0),
            max_running: AtomicUsize::new(0),
            has_crashed: AtomicBool::new(false),
            endless_bytes: AtomicUsize::new(0),
        });
        let accept_shared = Arc::clone(&shared);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let shared = Arc::clone(&accept_shared);
                if shared.has_crashed.load(Ordering::SeqCst) {
                    break;
                }
                thread::spawn(move || serve(&shared, stream.unwrap()));
            }
        });
        Self {
            addr,
            shared,
            seen,
            cancelled,
        }
    }

    /// Starts a backend server that answers each request with status 200 and the body `hello`.
    pub(crate) fn hello() -> Self {
        Self::bind(|_| Reply::Signed(200, "hello"))
    }

    /// Waits for the next request and returns it.
    pub(crate) fn next_seen(&self) -> SeenRequest {
        self.seen.recv_timeout(TEST_TIMEOUT).unwrap()
    }

    /// Takes all received requests that were not taken yet and returns their number.
    pub(crate) fn seen_count(&self) -> usize {
        self.seen.try_iter().count()
    }

    /// Waits until the connection of a held request has ended, and returns the path of the request.
    pub(crate) fn next_cancelled(&self) -> String {
        self.cancelled.recv_timeout(TEST_TIMEOUT).unwrap()
    }

    /// Releases the held request with this path, so that it is answered.
    pub(crate) fn release(&self, path: &str) {
        self.shared.releases.lock().unwrap().push(path.to_owned());
    }

    /// Stops answering on the connections that are open now.
    pub(crate) fn forget_connections(&self) {
        self.shared.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Waits until an endless answer has ended. Returns the bytes of it that were sent.
    pub(crate) fn next_endless_bytes(&self) -> usize {
        self.next_cancelled();
        self.shared.endless_bytes.load(Ordering::SeqCst)
    }

    /// Whether a request has ended the backend server.
    pub(crate) fn has_crashed(&self) -> bool {
        self.shared.has_crashed.load(Ordering::SeqCst)
    }

    /// Returns the largest number of requests that ran concurrently.
    pub(crate) fn max_running(&self) -> usize {
        self.shared.max_running.load(Ordering::SeqCst)
    }
}

fn serve(shared: &Shared, stream: TcpStream) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let generation = shared.generation.load(Ordering::SeqCst);
    while let Some(seen) = read_request(&mut reader) {
        if shared.generation.load(Ordering::SeqCst) != generation {
            return;
        }
        let running = shared.running.fetch_add(1, Ordering::SeqCst) + 1;
        shared.max_running.fetch_max(running, Ordering::SeqCst);
        let reply = (shared.rule)(&seen);
        // The receiver is gone if the test has ended.
        let _ = shared.seen.send(seen.clone());
        let answer = answer(shared, &stream, &seen, &reply);
        // Counts the request as ended before writing the answer, because the daemon may send the
        // next one as soon as it has the answer.
        shared.running.fetch_sub(1, Ordering::SeqCst);
        if !answer.is_some_and(|text| write_answer(&stream, &text)) {
            return;
        }
    }
}

/// Returns the bytes of the answer, or `None` if the connection ends without one.
fn answer(
    shared: &Shared,
    stream: &TcpStream,
    seen: &SeenRequest,
    reply: &Reply,
) -> Option<String> {
    let id = seen.header("request-id").unwrap_or("");
    let signed = |status: u16, body: &str| {
        format!(
            "HTTP/1.1 {status} X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    match reply {
        Reply::Signed(status, body) => Some(signed(*status, body)),
        Reply::Raw(text) => Some(text.replace("{id}", id)),
        Reply::Close => None,
        Reply::Crash => {
            crash(shared, stream);
            None
        }
        Reply::Reset(text) => {
            write_and_reset(stream, &text.replace("{id}", id));
            None
        }
        Reply::Endless(start, rest) => {
            write_endless(
                shared,
                stream,
                seen.path(),
                &start.replace("{id}", id),
                rest,
            );
            None
        }
        Reply::OnRelease(body) => {
            wait_for_release(shared, stream, seen.path()).then(|| signed(200, body))
        }
    }
}

/// Closes the listening socket.
fn crash(shared: &Shared, stream: &TcpStream) {
    shared.has_crashed.store(true, Ordering::SeqCst);
    // The thread that accepts connections ends with the next one.
    let addr = stream.local_addr().unwrap();
    while TcpStream::connect(addr).is_ok() {
        thread::park_timeout(Duration::from_millis(1));
    }
}

/// Writes an answer. Returns whether the connection stays open.
fn write_answer(mut stream: &TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok() && !text.contains("connection: close")
}

/// Writes a part of an answer and resets the connection. Bytes that the daemon has not read yet
/// would be lost with it, so the reset waits until they were acknowledged.
fn write_and_reset(mut stream: &TcpStream, text: &str) {
    let written = stream.write_all(text.as_bytes());
    std::thread::park_timeout(RESET_DELAY);
    let socket = SockRef::from(stream);
    socket.set_linger(Some(Duration::ZERO)).unwrap();
    written.unwrap();
}

/// Writes an answer without end until the connection ends.
fn write_endless(shared: &Shared, mut stream: &TcpStream, path: &str, start: &str, rest: &str) {
    // Bytes that wait here are no memory of the daemon.
    let sender = SockRef::from(stream);
    sender.set_send_buffer_size(SEND_BUFFER_BYTES).unwrap();
    let chunk = rest.repeat(16 * 1024 / rest.len());
    let mut sent = start.len();
    let mut is_open = stream.write_all(start.as_bytes()).is_ok();
    while is_open {
        is_open = stream.write_all(chunk.as_bytes()).is_ok();
        sent += chunk.len();
    }
    shared.endless_bytes.store(sent, Ordering::SeqCst);
    // The receiver is gone if the test has ended.
    let _ = shared.cancelled.send(path.to_owned());
}

/// Waits until a held request is released. Returns false if its connection ends first.
fn wait_for_release(shared: &Shared, stream: &TcpStream, path: &str) -> bool {
    let step = Duration::from_millis(5);
    stream.set_read_timeout(Some(step)).unwrap();
    loop {
        let mut releases = shared.releases.lock().unwrap();
        if let Some(at) = releases.iter().position(|released| released == path) {
            releases.remove(at);
            stream.set_read_timeout(None).unwrap();
            return true;
        }
        drop(releases);
        // Waits at most the read timeout for the end of the connection.
        let ended = match stream.peek(&mut [0]) {
            Ok(count) => count == 0,
            Err(err) => err.kind() == std::io::ErrorKind::ConnectionReset,
        };
        if ended {
            let _ = shared.cancelled.send(path.to_owned());
            return false;
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<SeenRequest> {
    let line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let header = read_line(reader)?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut seen = SeenRequest {
        line,
        headers,
        body: Vec::new(),
        from: reader.get_ref().peer_addr().ok(),
    };
    let length = seen
        .header("content-length")
        .map_or(0, |text| text.parse().unwrap());
    seen.body = vec![0; length];
    reader.read_exact(&mut seen.body).ok()?;
    Some(seen)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) | Err(_) => None,
        Ok(_) => Some(line.trim_end().to_owned()),
    }
}
