//! Requests that a caller pipelines: it sends them without waiting for earlier answers.

use super::support::{Backend, Mesh, Reply};

/// Starts a backend server that holds each request until the test releases it.
fn backend_holding_requests() -> Backend {
    Backend::bind(|seen| match seen.path() {
        "/safe/1" => Reply::OnRelease("one"),
        "/safe/2" => Reply::OnRelease("two"),
        _ => Reply::OnRelease("other"),
    })
}

/// Guards against idempotent requests that wait for the answer to the one ahead of them, and against
/// answers in another order than that of the requests.
#[test]
fn idempotent_requests_run_together_and_are_answered_in_order() {
    let backend = backend_holding_requests();
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    caller.get("/safe/1");
    caller.get("/safe/2");
    let mut paths = [backend.next_seen(), backend.next_seen()].map(|seen| seen.path().to_owned());
    paths.sort();
    assert_eq!(paths, ["/safe/1", "/safe/2"]);
    backend.release("/safe/2");
    backend.release("/safe/1");
    assert_eq!(caller.read().unwrap().body, "one");
    assert_eq!(caller.read().unwrap().body, "two");
}

/// Guards against running a non-idempotent request twice. The caller sends it again if the
/// connection ends before the answer to the request ahead of it.
#[test]
fn requests_that_may_run_once_wait_for_their_turn() {
    let backend = backend_holding_requests();
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    caller.get("/safe/1");
    caller.get("/once/2");
    assert_eq!(backend.next_seen().path(), "/safe/1");
    backend.release("/safe/1");
    assert_eq!(caller.read().unwrap().body, "one");
    assert_eq!(backend.next_seen().path(), "/once/2");
    backend.release("/once/2");
    assert_eq!(caller.read().unwrap().body, "other");
}

/// Guards against losing or mixing up a request that arrives in the same read as the body ahead of
/// it.
#[test]
fn a_request_behind_a_body_is_answered() {
    let backend = Backend::hello();
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    let first = super::support::request("POST", "/once/1", "", "0123456789");
    let second = super::support::request("GET", "/safe/2", "", "");
    caller.send(&format!("{first}{second}"));
    assert_eq!(caller.read().unwrap().status, 200);
    assert_eq!(caller.read().unwrap().status, 200);
    let seen = [backend.next_seen(), backend.next_seen()];
    let post = seen
        .iter()
        .find(|seen| seen.line.starts_with("POST"))
        .unwrap();
    assert_eq!(post.body, b"0123456789");
}

/// Guards against taking the end of a chunked body for the next request.
#[test]
fn a_request_behind_a_chunked_body_is_answered() {
    let backend = Backend::hello();
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    let head = super::support::request("POST", "/once/1", "transfer-encoding: chunked\r\n", "");
    let second = super::support::request("GET", "/safe/2", "", "");
    caller.send(&format!("{head}5\r\nhello\r\n0\r\n\r\n{second}"));
    assert_eq!(caller.read().unwrap().status, 200);
    assert_eq!(caller.read().unwrap().status, 200);
    assert_eq!(backend.next_seen().body, b"hello");
    assert_eq!(backend.next_seen().path(), "/safe/2");
}
