//! Checks on the answers of a backend server, and on what is relayed in each direction.

use rstest::rstest;

use super::support::{Backend, Mesh, Reply, RouteSpec, request};

/// Guards against relaying an answer that is not the backend server's complete answer to the
/// request.
#[rstest]
#[case::of_another_request(
    "HTTP/1.1 200 X\r\nrequest-id: other\r\nsignature: s\r\ncontent-length: 2\r\n\r\nhi",
    502
)]
#[case::without_identity("HTTP/1.1 200 X\r\nsignature: s\r\ncontent-length: 2\r\n\r\nhi", 502)]
#[case::without_signature(
    "HTTP/1.1 200 X\r\nrequest-id: {id}\r\ncontent-length: 2\r\n\r\nhi",
    502
)]
#[case::with_an_encoding(
    "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-encoding: gzip\r\ncontent-length: 2\r\n\r\nhi",
    502
)]
#[case::cut_short(
    "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nsignature: s\r\nconnection: close\r\ncontent-length: 9\r\n\r\nhi",
    502
)]
#[case::chunked_and_cut_short(
    "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nsignature: s\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nhi\r\n",
    502
)]
#[case::no_http("garbage\r\n\r\n", 502)]
#[case::status_000(
    "HTTP/1.1 000 X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 2\r\n\r\nhi",
    502
)]
#[case::status_099(
    "HTTP/1.1 099 X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 2\r\n\r\nhi",
    502
)]
#[case::status_101(
    "HTTP/1.1 101 X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 2\r\n\r\nhi",
    502
)]
#[case::status_600(
    "HTTP/1.1 600 X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 2\r\n\r\nhi",
    502
)]
#[case::status_999(
    "HTTP/1.1 999 X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 2\r\n\r\nhi",
    502
)]
#[case::unclear_refusal(
    "HTTP/1.1 503 X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 0\r\n\r\n",
    502
)]
#[case::refusal("HTTP/1.1 503 X\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n", 503)]
#[case::misdirected("HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n", 503)]
#[case::failure(
    "HTTP/1.1 500 X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 0\r\n\r\n",
    500
)]
fn an_answer_is_checked(#[case] reply: &'static str, #[case] status: u16) {
    let backend = Backend::bind(move |_| Reply::Raw(reply));
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    caller.post("/once/1", "order");
    let res = caller.read().unwrap();
    assert_eq!(res.status, status);
    assert_eq!(res.header("retry-after").is_some(), status == 503);
    assert_eq!(res.header("signature").is_some(), status == 500);
}

/// Guards against an answer without a length that is taken for complete although its connection was
/// reset. Only an orderly end of the connection ends such an answer.
#[rstest]
#[case::ended(Reply::Raw(UNFRAMED), 200)]
#[case::reset(Reply::Reset(UNFRAMED), 502)]
#[case::reset_before_the_body_ends(Reply::Reset(CUT_SHORT), 502)]
fn an_answer_that_is_broken_off_is_no_success(#[case] reply: Reply, #[case] status: u16) {
    let backend = Backend::bind(move |_| reply.clone());
    let other = Backend::hello();
    // Once as the daemon of the backend server, and once through it.
    let mesh = Mesh::spawn(&[&backend, &other], &[RouteSpec::ONCE]);
    mesh.drain_backend(1);
    for daemon in &mesh.daemons {
        let mut caller = daemon.caller();
        caller.post("/once/1", "order");
        assert_eq!(caller.read().map(|res| res.status), Some(status));
    }
}

const UNFRAMED: &str =
    "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nsignature: s\r\nconnection: close\r\n\r\nhi";
const CUT_SHORT: &str =
    "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 9\r\n\r\nhi";

/// Guards against an answer that reaches another caller. A backend server sends a second copy of an
/// answer late, on a connection that is in use again; from then on its answers there are one
/// behind.
#[test]
fn a_late_copy_of_an_answer_reaches_nobody() {
    let copy =
        "HTTP/1.1 200 X\r\nrequest-id: id/safe/1\r\nsignature: s\r\ncontent-length: 5\r\n\r\nfirst";
    let backend = Backend::bind(move |seen| match seen.path() {
        "/safe/1" | "/safe/2" => Reply::Raw(copy),
        _ => Reply::Signed(200, "own"),
    });
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    caller.get("/safe/1");
    assert_eq!(caller.read().unwrap().body, "first");
    caller.get("/safe/2");
    assert_eq!(caller.read().unwrap().status, 502);
    caller.get("/safe/3");
    assert_eq!(caller.read().unwrap().body, "own");
    let from: Vec<_> = (0..3).map(|_| backend.next_seen().from).collect();
    assert_eq!(from[0], from[1]);
    assert_ne!(from[1], from[2], "the connection is not used again");
}

/// Guards against the promise that a request has not run because of a refusal that is a late answer
/// to an earlier request. A refusal without an identity counts only as the first answer.
#[test]
fn a_refusal_without_identity_on_a_used_connection_is_no_promise() {
    let refusal = "HTTP/1.1 503 X\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    let backend = Backend::bind(move |seen| match seen.path() {
        "/safe/1" => Reply::Signed(200, "first"),
        _ => Reply::Raw(refusal),
    });
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    for (path, status) in [("/safe/1", 200), ("/safe/2", 502), ("/safe/3", 503)] {
        caller.get(path);
        assert_eq!(caller.read().unwrap().status, status, "{path}");
    }
}

/// Guards against taking the bytes after an answer for the answer to the next request.
#[test]
fn extra_bytes_behind_an_answer_reach_nobody() {
    let backend = Backend::bind(|_| {
        Reply::Raw(
            "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 2\r\n\r\nhi\
             HTTP/1.1 200 X\r\nrequest-id: {id}\r\nsignature: s\r\ncontent-length: 5\r\n\r\nextra",
        )
    });
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    for path in ["/safe/1", "/safe/2", "/safe/3"] {
        caller.get(path);
        assert_eq!(caller.read().unwrap().body, "hi");
    }
}

/// Guards against altering requests on their way to the backend server, and against internal
/// headers set by a caller or shown to one.
#[test]
fn a_request_reaches_the_backend_server_unchanged() {
    let backends = [Backend::hello(), Backend::hello()];
    let mesh = Mesh::spawn(&[&backends[0], &backends[1]], &[RouteSpec::ONCE]);
    mesh.drain_first_backend();
    let mut caller = mesh.daemons[0].caller();
    let headers = "x-own: 1\r\ncaller-service: forged\r\nlavenderhatch-service: forged\r\n";
    caller.send(&request("PUT", "/once/a%20b?q=1&r", headers, "the body"));
    let res = caller.read().unwrap();
    assert_eq!((res.status, res.body.as_str()), (200, "hello"));
    assert!(res.header("lavenderhatch-load").is_none());
    let seen = backends[1].next_seen();
    assert_eq!(seen.line, "PUT /once/a%20b?q=1&r HTTP/1.1");
    assert_eq!(seen.body, b"the body");
    assert_eq!(seen.header("x-own"), Some("1"));
    assert_eq!(seen.header("caller-service"), Some("orders"));
    assert_eq!(seen.header("expected-backend"), Some("b1"));
    assert_eq!(seen.header("request-id"), Some("id/once/a%20b?q=1&r"));
    let time_left: u64 = seen.header("time-left").unwrap().parse().unwrap();
    assert!(
        time_left <= 4000,
        "the route's timeout bounds the time left: {time_left}"
    );
    let internal = seen
        .headers
        .iter()
        .filter(|(name, _)| name.starts_with("lavenderhatch-"));
    assert_eq!(internal.count(), 0);
}

/// Guards against request smuggling: a second request hidden in a body whose length is ambiguous.
#[rstest]
#[case::both_lengths("content-length: 5\r\ntransfer-encoding: chunked\r\n")]
#[case::both_lengths_reversed("transfer-encoding: chunked\r\ncontent-length: 5\r\n")]
#[case::two_lengths("content-length: 5\r\ncontent-length: 50\r\n")]
fn a_request_with_two_kinds_of_length_smuggles_nothing(#[case] lengths: &str) {
    let backend = Backend::hello();
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    let head = request("POST", "/once/1", lengths, "");
    let hidden = request("GET", "/safe/hidden", "", "");
    caller.send(&format!("{head}0\r\n\r\n{hidden}"));
    let res = caller.read().unwrap();
    assert_eq!(res.status, 400);
    assert!(caller.read().is_none(), "the connection ends");
    assert_eq!(backend.seen_count(), 0);
}
