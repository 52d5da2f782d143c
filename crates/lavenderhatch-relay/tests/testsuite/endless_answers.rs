//! Backend servers that send bytes without end instead of an answer.

use std::time::{Duration, Instant};

use rstest::rstest;

use super::support::{Backend, Mesh, Reply, RouteSpec};

/// Memory of the smallest VM divided by the slots of its backend server, which may all be taken by
/// such answers at the same time.
const MAX_BYTES: usize = 160 * 1024 * 1024 / 18;

const NO_LENGTH: &str = "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nsignature: s\r\n\r\n";
const CHUNKED: &str =
    "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nsignature: s\r\ntransfer-encoding: chunked\r\n\r\n";
const STATUS_LINE: &str = "HTTP/1.1 200 X\r\n";

/// Guards against a daemon that runs out of memory, or holds its caller, while a backend server
/// sends bytes without end. The connection is closed, and the caller is told at the timeout at the
/// latest that the outcome is unknown.
#[rstest]
#[case::body_without_length(NO_LENGTH, "x")]
#[case::chunked_body(CHUNKED, "4\r\nxxxx\r\n")]
#[case::header(STATUS_LINE, "x")]
#[case::header_lines(STATUS_LINE, "a: b\r\n")]
#[case::interim_answers("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::no_head("", "x")]
fn an_endless_answer_ends_at_a_bound(#[case] start: &'static str, #[case] rest: &'static str) {
    let backend = Backend::bind(move |_| Reply::Endless(start, rest));
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    let begun = Instant::now();
    caller.get("/short/1");
    let status = caller.read().unwrap().status;
    assert!(matches!(status, 502 | 504), "{status}");
    let timeout = Duration::from_millis(RouteSpec::SHORT.timeout_ms);
    assert!(begun.elapsed() < timeout + Duration::from_millis(500));
    let bytes = backend.next_endless_bytes();
    assert!(bytes < MAX_BYTES, "{bytes}");
}
