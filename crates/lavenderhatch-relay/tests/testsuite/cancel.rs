//! Callers that disconnect before their answer.

use rstest::rstest;

use super::support::{Backend, Mesh, Reply, RouteSpec};

/// Guards against running a request after its caller has disconnected, on the local backend server
/// and on that of a peer.
#[rstest]
#[case::local_backend_server(false)]
#[case::backend_server_of_a_peer(true)]
fn a_request_ends_when_its_caller_leaves(#[case] is_remote: bool) {
    let backends = [(); 2].map(|()| Backend::bind(|_| Reply::OnRelease("late")));
    let mesh = Mesh::spawn(&[&backends[0], &backends[1]], &[RouteSpec::SAFE]);
    let at = match is_remote {
        true => 0,
        false => 1,
    };
    mesh.drain_first_backend();
    let mut caller = mesh.daemons[at].caller();
    caller.get("/safe/1");
    backends[1].next_seen();
    drop(caller);
    assert_eq!(backends[1].next_cancelled(), "/safe/1");
}

/// Guards against missing a disconnect because pipelined requests arrive before it.
#[test]
fn a_caller_that_leaves_cancels_the_requests_that_it_sent_ahead() {
    let backend = Backend::bind(|_| Reply::OnRelease("late"));
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    caller.get("/safe/1");
    caller.get("/safe/2");
    caller.post("/once/3", "body");
    backend.next_seen();
    backend.next_seen();
    drop(caller);
    let mut cancelled = [backend.next_cancelled(), backend.next_cancelled()];
    cancelled.sort();
    assert_eq!(cancelled, ["/safe/1", "/safe/2"]);
    assert_eq!(backend.seen_count(), 0);
}
