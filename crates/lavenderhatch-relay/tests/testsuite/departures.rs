//! Backend servers whose answers say that they leave.

use super::support::{Backend, Mesh, Reply, RouteSpec};

const LEAVING: &str = "HTTP/1.1 200 X\r\nrequest-id: {id}\r\nsignature: s\r\nleaving: 1\r\ncontent-length: 2\r\n\r\nok";

/// Guards against requests to a backend server that has said in an answer that it leaves, before
/// its report comes.
#[test]
fn an_answer_that_announces_a_departure_ends_the_requests() {
    let backend = Backend::bind(|seen| match seen.path() {
        "/safe/last" => Reply::Raw(LEAVING),
        _ => Reply::Signed(200, "hello"),
    });
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    for (path, status) in [("/safe/1", 200), ("/safe/last", 200), ("/safe/2", 503)] {
        caller.get(path);
        assert_eq!(caller.read().unwrap().status, status, "{path}");
    }
    assert_eq!(backend.seen_count(), 2);
}

/// Guards against requests of a daemon that has passed on the announcement, if the daemon beside
/// the backend server does not know of it, for example after a restart.
#[test]
fn a_daemon_that_passed_on_a_departure_sends_no_more_requests() {
    let backend = Backend::bind(|_| Reply::Raw(LEAVING));
    let other = Backend::hello();
    let mesh = Mesh::spawn(&[&other, &backend], &[RouteSpec::SAFE]);
    mesh.drain_first_backend();
    let mut caller = mesh.daemons[0].caller();
    caller.get("/safe/1");
    assert_eq!(caller.read().unwrap().status, 200);
    // A new incarnation reports, as far as the second daemon knows; the first one does not know it.
    mesh.daemons[1].report_incarnation(2);
    caller.get("/safe/2");
    assert_eq!(caller.read().unwrap().status, 503);
    assert_eq!(backend.seen_count(), 1);
}
