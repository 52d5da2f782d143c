//! The HTTP client of the back end, against a back end that closes connections.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use lavenderhatch_core::ErrorKind;
use lavenderhatch_core::call::CallView;
use lavenderhatch_daemon::request::{Backend, HttpBackend};
use rstest::rstest;

const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
const LAST_TARGET: &str = "/last";
const TIME_LEFT: Duration = Duration::from_secs(5);

/// How the back end closes the first connection, after its first answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Close {
    /// Reads the next request and closes without an answer.
    AfterReading,
    /// Reads the next request and closes within the head of its answer.
    WithinHead,
    /// Reads the next request and closes within the body of its answer.
    WithinBody,
    /// Closes at once.
    AtOnce,
}

/// Starts a back end that returns the targets of the requests it has read.
///
/// It ends on a request for `LAST_TARGET`. Connections are served one after the other, so that all
/// earlier requests are counted by then.
fn start(close: Close) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        let mut targets = Vec::new();
        let (first, _) = listener.accept().unwrap();
        targets.push(read_request(&mut BufReader::new(&first)).unwrap());
        (&first).write_all(ANSWER).unwrap();
        if close != Close::AtOnce {
            targets.push(read_request(&mut BufReader::new(&first)).unwrap());
            let part: &[u8] = match close {
                Close::WithinHead => &ANSWER[..20],
                Close::WithinBody => &ANSWER[..ANSWER.len() - 1],
                Close::AfterReading | Close::AtOnce => &[],
            };
            (&first).write_all(part).unwrap();
        }
        drop(first);
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            let Some(target) = read_request(&mut BufReader::new(&stream)) else {
                continue;
            };
            (&stream).write_all(ANSWER).unwrap();
            if target == LAST_TARGET {
                break;
            }
            targets.push(target);
        }
        targets
    });
    (addr, thread)
}

/// Reads a whole request and returns its target, or `None` if the connection was closed.
fn read_request(stream: &mut BufReader<&TcpStream>) -> Option<String> {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head.push(line.to_ascii_lowercase());
    }
    let len = head
        .iter()
        .find_map(|line| line.strip_prefix("content-length:"));
    let mut body = vec![0; len.map_or(0, |len| len.trim().parse().unwrap())];
    stream.read_exact(&mut body).ok()?;
    head[0].split(' ').nth(1).map(str::to_owned)
}

fn call<'a>(target: &'a str, method: &'a str, body: &'a [u8]) -> CallView<'a> {
    CallView {
        id: "c",
        method,
        target,
        route: "place-order",
        rank: "urgent",
        service: "orders",
        headers: &[],
        body,
        key: Some("k"),
        is_idempotent: false,
        time_left_ms: 5000,
        hop_count: 1,
    }
}

/// Guards against a client that resends a non-idempotent request when a pooled connection is
/// closed, and against "not run" for a request that the back end has read.
#[rstest]
fn order_is_not_resent_after_closed_connection(
    #[values(
        Close::AfterReading,
        Close::WithinHead,
        Close::WithinBody,
        Close::AtOnce
    )]
    close: Close,
    #[values("POST", "PUT", "DELETE", "GET")] method: &str,
    #[values(&b""[..], &b"one pallet"[..])] body: &[u8],
) {
    let (addr, thread) = start(close);
    let backend = HttpBackend::open(addr);
    let first = backend.run(&call("/first", method, body), TIME_LEFT);
    assert_eq!(first.unwrap().body, b"ok");
    let second = backend.run(&call("/second", method, body), TIME_LEFT);
    // Closes idle connections, so that the back end does not wait for their next request.
    drop(backend);
    let mut end = TcpStream::connect(addr).unwrap();
    write!(end, "GET {LAST_TARGET} HTTP/1.1\r\n\r\n").unwrap();
    let targets = thread.join().unwrap();
    let sent = targets.iter().filter(|target| *target == "/second").count();
    match second {
        Ok(_) => assert_eq!((close, sent), (Close::AtOnce, 1)),
        Err(err) if err.kind().is_not_run() => assert_eq!(sent, 0, "{err}"),
        Err(err) => {
            assert_eq!(err.kind(), ErrorKind::OutcomeUnknown, "{err}");
            assert!(sent <= 1, "the order was sent {sent} times");
        }
    }
}

/// Guards against an answer of a back end in trouble that is passed on although its status is none of
/// the protocol, or that is taken for a request that has not run.
#[rstest]
fn an_answer_without_a_final_status_is_no_answer(
    #[values("000", "099", "101", "600", "999")] status: &'static str,
) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = listener.local_addr().unwrap();
    let thread = thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        read_request(&mut BufReader::new(&stream)).unwrap();
        write!(
            &stream,
            "HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok"
        )
        .unwrap();
    });
    let res = HttpBackend::open(addr).run(&call("/first", "POST", b"one pallet"), TIME_LEFT);
    thread.join().unwrap();
    let err = res.expect_err("passed on");
    assert_eq!(err.kind(), ErrorKind::OutcomeUnknown, "{err}");
}
