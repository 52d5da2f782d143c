//! A stand-in for the platform's store. Its answers are linearizable, and it loses nothing.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::msgpack::{Value, decode, encode, map};

#[derive(Default)]
struct State {
    revision: i64,
    objects: BTreeMap<(String, String), Value>,
    history: Vec<(i64, String, Value)>,
    /// Whether all calls get status 503, which means that nothing was done.
    is_down: bool,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn bind() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            addr: listener.local_addr()?,
            shared: Arc::default(),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Writes an object, as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) -> Value {
        let mut state = self.shared.0.lock().unwrap();
        put(&mut state, &self.shared.1, kind, name, spec)
    }

    /// Refuses all calls from now on, or answers them again.
    pub fn set_down(&self, is_down: bool) {
        self.shared.0.lock().unwrap().is_down = is_down;
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let req = http::read(&mut reader)?;
            let (status, body) = self.answer(&req);
            let first = format!("HTTP/1.1 {status} Status");
            let headers = "Content-Type: application/msgpack\r\n";
            http::write(&mut writer, &first, headers, &encode(&body))?;
        }
    }

    fn answer(&self, req: &http::Message) -> (u16, Value) {
        let (path, query) = req.target().split_once('?').unwrap_or((req.target(), ""));
        let value = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
        };
        let number = |name: &str| value(name).and_then(|value| value.parse::<i64>().ok());
        let mut parts = path.trim_start_matches("/v1/objects/").split('/');
        let kind = parts.next().unwrap_or("");
        let body = decode(&req.body).unwrap_or(Value::Nil);
        let metadata = body.get("metadata");
        let name = parts.next().or(metadata.get("name").text()).unwrap_or("");
        if self.shared.0.lock().unwrap().is_down {
            return (503, Value::Nil);
        }
        match (req.method(), number("watch")) {
            ("GET", Some(since)) => {
                let wait = number("wait_ms").unwrap_or(0) as u64;
                (200, self.watch(kind, since, Duration::from_millis(wait)))
            }
            ("GET", None) => (200, self.list(kind, value("after").unwrap_or(""))),
            (method, _) => self.write(method, kind, name, &body),
        }
    }

    fn list(&self, kind: &str, after: &str) -> Value {
        let state = self.shared.0.lock().unwrap();
        let of_kind = state
            .objects
            .iter()
            .filter(|((known, name), _)| known == kind && **name > *after);
        let items: Vec<Value> = of_kind.map(|(_, object)| object.clone()).collect();
        map([
            ("items", items.into()),
            ("has_more", Value::Bool(false)),
            ("as_of", state.revision.into()),
        ])
    }

    fn watch(&self, kind: &str, since: i64, wait: Duration) -> Value {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let changes = state
                .history
                .iter()
                .filter(|(at, known, _)| *at > since && known == kind);
            let event =
                |object: &Value| map([("removed", Value::Bool(false)), ("object", object.clone())]);
            let events: Vec<Value> = changes.map(|(_, _, object)| event(object)).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return map([("events", events.into()), ("as_of", state.revision.into())]);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn write(&self, method: &str, kind: &str, name: &str, body: &Value) -> (u16, Value) {
        let mut state = self.shared.0.lock().unwrap();
        let known = state
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned();
        let expected = body.get("metadata").get("revision").int();
        match (method, known) {
            ("POST", Some(known)) => (409, known),
            ("PUT", None) => (404, Value::Nil),
            ("PUT", Some(known))
                if expected
                    .is_some_and(|e| known.get("metadata").get("revision").int() != Some(e)) =>
            {
                (409, known)
            }
            ("PUT", Some(known)) if known.get("spec") == body.get("spec") => (200, known),
            ("POST" | "PUT", _) => (
                200,
                put(
                    &mut state,
                    &self.shared.1,
                    kind,
                    name,
                    body.get("spec").clone(),
                ),
            ),
            _ => (404, Value::Nil),
        }
    }
}

fn put(state: &mut State, changed: &Condvar, kind: &str, name: &str, spec: Value) -> Value {
    state.revision += 1;
    let revision = state.revision;
    let key = (kind.to_owned(), name.to_owned());
    let created = state
        .objects
        .get(&key)
        .map(|known| known.get("metadata").get("created").clone());
    let object = map([
        (
            "metadata",
            map([
                ("name", name.into()),
                ("revision", revision.into()),
                ("created", created.unwrap_or(revision.into())),
            ]),
        ),
        ("spec", spec),
        ("status", Value::Nil),
    ]);
    state.objects.insert(key, object.clone());
    state
        .history
        .push((revision, kind.to_owned(), object.clone()));
    changed.notify_all();
    object
}
