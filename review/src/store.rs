//! A stand-in for the platform's store.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, Message};
use crate::msgpack::{map, text, Value};
use crate::record::Record;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    revision: i64,
    /// Objects by kind and name.
    objects: BTreeMap<(String, String), Value>,
    /// Changes: revision, kind and event.
    history: Vec<(i64, String, Value)>,
    /// While set, calls are read and never answered, and change nothing.
    is_silent: bool,
}

/// The store. Objects are kept by kind and name, with conditional writes and watches.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn start(ip: &str, record: &Record) -> Self {
        let listener = TcpListener::bind((ip, 0)).expect("a free port for the store");
        let addr = listener.local_addr().unwrap();
        let shared = Arc::new((Mutex::new(State::default()), Condvar::new()));
        let store = Self {
            addr,
            shared,
            record: record.clone(),
        };
        store.shared.0.lock().unwrap().revision = 100;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn set_silent(&self, is_silent: bool) {
        self.record.line(match is_silent {
            true => "store: down (silent) from now on",
            false => "store: answers again",
        });
        self.shared.0.lock().unwrap().is_silent = is_silent;
        self.shared.1.notify_all();
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.shared.0.lock().unwrap();
        write(&mut state, kind, name, spec);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        while let Some(call) = read_message(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let Some((status, body)) = self.answer(&call) else {
                // A connection on which a response is lost returns nothing further.
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return;
            };
            let body = body.encode();
            let head = format!(
                "HTTP/1.1 {status} -\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if stream
                .write_all(&[head.as_bytes(), &body].concat())
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> Option<(u16, Value)> {
        let target = call.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let path = path.strip_prefix("/v1/objects/").unwrap_or("");
        let (kind, name) = match path.split_once('/') {
            Some((kind, name)) => (kind, Some(name)),
            None => (path, None),
        };
        let parameter = |name: &str| -> Option<i64> {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name)?.1.parse().ok()
        };
        if let (Some(from), Some(wait)) = (parameter("watch"), parameter("wait_ms")) {
            return self.watch(kind, from, Duration::from_millis(wait as u64));
        }
        let mut state = self.shared.0.lock().unwrap();
        if state.is_silent {
            return None;
        }
        let body = Value::decode(&call.body).unwrap_or(Value::Nil);
        let answer = match (call.word(0), name) {
            ("GET", None) => {
                let of_kind = state.objects.iter().filter(|((of, _), _)| of == kind);
                let items = of_kind.map(|(_, object)| object.clone()).collect();
                let listing = map(vec![
                    ("items", Value::List(items)),
                    ("has_more", Value::Bool(false)),
                    ("as_of", Value::Int(state.revision)),
                ]);
                (200, listing)
            }
            ("GET", Some(name)) => match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                Some(object) => (200, object.clone()),
                None => (404, Value::Nil),
            },
            ("POST", None) => {
                let name = body.get("metadata").get("name").as_text().to_owned();
                match state.objects.get(&(kind.to_owned(), name.clone())) {
                    Some(found) => (409, found.clone()),
                    None => (
                        200,
                        self.change(&mut state, kind, &name, body.get("spec").clone()),
                    ),
                }
            }
            ("PUT", Some(name)) => match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                None => (404, Value::Nil),
                Some(found)
                    if body.get("metadata").get("revision").as_int()
                        != found.get("metadata").get("revision").as_int() =>
                {
                    (409, found.clone())
                }
                Some(found) if found.get("spec") == body.get("spec") => (200, found.clone()),
                Some(_) => (
                    200,
                    self.change(&mut state, kind, name, body.get("spec").clone()),
                ),
            },
            _ => (404, Value::Nil),
        };
        Some(answer)
    }

    fn change(&self, state: &mut State, kind: &str, name: &str, spec: Value) -> Value {
        self.record
            .line(format!("store: {kind}/{name} is now {spec}"));
        let object = write(state, kind, name, spec);
        self.shared.1.notify_all();
        object
    }

    fn watch(&self, kind: &str, from: i64, wait: Duration) -> Option<(u16, Value)> {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        if state.is_silent {
            return None;
        }
        loop {
            let events = state.history.iter();
            let events = events.filter(|(revision, of, _)| *revision > from && of == kind);
            let events: Vec<Value> = events.map(|(_, _, event)| event.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            // A watch that has begun before the silence is answered after it.
            if !state.is_silent && (!events.is_empty() || left.is_zero()) {
                let as_of = Value::Int(state.revision);
                return Some((
                    200,
                    map(vec![("events", Value::List(events)), ("as_of", as_of)]),
                ));
            }
            let left = left.max(Duration::from_millis(10));
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn write(state: &mut State, kind: &str, name: &str, spec: Value) -> Value {
    state.revision += 1;
    let metadata = map(vec![
        ("name", text(name)),
        ("revision", Value::Int(state.revision)),
        ("created", Value::Int(1)),
        ("finalizers", Value::List(Vec::new())),
        ("deleting", Value::Bool(false)),
    ]);
    let object = map(vec![
        ("metadata", metadata),
        ("spec", spec),
        ("status", Value::Nil),
    ]);
    state
        .objects
        .insert((kind.to_owned(), name.to_owned()), object.clone());
    let event = map(vec![
        ("object", object.clone()),
        ("removed", Value::Bool(false)),
    ]);
    let revision = state.revision;
    state.history.push((revision, kind.to_owned(), event));
    object
}

/// A route of the operator's configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout: &'static str,
    pub target: &'static str,
}

/// Returns a configuration in the columns that `deploy/wire.toml` selects.
pub fn config(version: u32, host: &str, service: &str, routes: &[Route]) -> Value {
    let columns = [
        "name",
        "host",
        "path_prefix",
        "kind",
        "timeout",
        "target_latency",
        "priority",
        "service",
        "max_attempts",
        "traffic_split",
    ];
    let row = |route: &Route| {
        Value::List(vec![
            text(route.name),
            text(host),
            text(route.prefix),
            text(route.kind),
            text(route.timeout),
            text(route.target),
            Value::Int(0),
            text(service),
            Value::Int(2),
            Value::Nil,
        ])
    };
    let routes = map(vec![
        ("columns", Value::List(columns.map(text).to_vec())),
        ("rows", Value::List(routes.iter().map(row).collect())),
    ]);
    let limits = map(vec![
        ("max_header_bytes", Value::Int(16_384)),
        ("max_body_bytes", Value::Int(67_108_864)),
        ("header_timeout", text("3000ms")),
        ("idle_timeout", text("15000ms")),
    ]);
    map(vec![
        ("version", text(format!("r{version}"))),
        ("routes", routes),
        ("services", Value::List(Vec::new())),
        ("limits", limits),
    ])
}
