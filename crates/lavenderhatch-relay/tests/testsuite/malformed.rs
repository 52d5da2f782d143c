//! Messages that violate the protocol, and errors that are not expected.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use lavenderhatch_relay::{bind_listener, serve_http};
use rstest::rstest;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::LocalSet;

use super::support::{Backend, Caller, Mesh, RouteSpec, TEST_TIMEOUT, free_addr, request};

/// Sends bytes, then the end of the connection, and returns all that comes back.
fn exchange(addr: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = Vec::new();
    // The daemon may reset the connection with bytes of the message unread.
    let _ = stream.read_to_end(&mut answer);
    answer
}

/// Guards against a malformed message that takes down the thread of a port, and with it the
/// requests of everyone else.
#[rstest]
#[case::no_protocol(b"\x16\x03\x01\x02\x00\xff\xfe\r\n\r\n")]
#[case::half_a_head(b"GET /safe/1 HTTP/1.1\r\nhost: shop.ex")]
#[case::no_target(b"GET  HTTP/1.1\r\nhost: shop.example\r\n\r\n")]
#[case::bytes_in_a_header(b"GET /safe/1 HTTP/1.1\r\nhost: \xff\xfe\r\nrequest-id: \x80\r\n\r\n")]
#[case::length_beyond_the_end(
    b"POST /once/1 HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 99\r\n\r\nhi"
)]
#[case::length_too_large(
    b"POST /once/1 HTTP/1.1\r\nhost: shop.example\r\ncontent-length: 99999999999999999999\r\n\r\n"
)]
#[case::chunk_without_length(
    b"POST /once/1 HTTP/1.1\r\nhost: shop.example\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nhi\r\n"
)]
#[case::time_left_is_no_number(
    b"GET /safe/1 HTTP/1.1\r\nhost: shop.example\r\ntime-left: -1e9\r\nconnection: close\r\n\r\n"
)]
#[case::forged_hand_over(
    b"GET /safe/1 HTTP/1.1\r\nhost: shop.example\r\nlavenderhatch-time-left-ms: 99999999999999999999\r\n\r\n"
)]
fn a_malformed_message_harms_nobody_else(#[case] message: &[u8]) {
    let backends = [Backend::hello(), Backend::hello()];
    let mesh = Mesh::spawn(
        &[&backends[0], &backends[1]],
        &[RouteSpec::SAFE, RouteSpec::ONCE],
    );
    mesh.drain_first_backend();
    let daemon = &mesh.daemons[1];
    for addr in [daemon.cfg.caller_addr, daemon.cfg.peer_addr] {
        exchange(addr, message);
    }
    for (at, daemon) in mesh.daemons.iter().enumerate() {
        let mut caller = daemon.caller();
        caller.get(&format!("/safe/ok{at}"));
        assert_eq!(caller.read().unwrap().status, 200);
    }
    let paths: Vec<String> = (0..2)
        .map(|_| {
            loop {
                let path = backends[1].next_seen().path().to_owned();
                if path.starts_with("/safe/ok") {
                    break path;
                }
            }
        })
        .collect();
    assert_eq!(paths, ["/safe/ok0", "/safe/ok1"]);
}

/// Guards against a panic in one request that ends the thread of the port.
#[test]
fn a_panic_in_one_request_harms_nobody_else() {
    let addr = free_addr();
    let listener = bind_listener(addr).unwrap();
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let closed = watch::Sender::new(false);
        let served = serve_http(listener, closed.subscribe(), |req| async move {
            assert!(req.head.uri.path() != "/panic", "the test panics here");
            Response::new(Full::new(Bytes::from_static(b"ok")))
        });
        LocalSet::new().block_on(&runtime, served)
    });
    let mut open = Caller::connect(addr);
    open.send(&request("GET", "/1", "", ""));
    assert_eq!(open.read().unwrap().status, 200);
    let mut panicking = Caller::connect(addr);
    panicking.send(&request("GET", "/panic", "", ""));
    assert!(panicking.read().is_none());
    open.send(&request("GET", "/2", "", ""));
    assert_eq!(open.read().unwrap().status, 200);
    let mut new = Caller::connect(addr);
    new.send(&request("GET", "/3", "", ""));
    assert_eq!(new.read().unwrap().status, 200);
}
