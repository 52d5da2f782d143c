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
#[case::no_http("garbage\r\n\r\n", 502)]
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
