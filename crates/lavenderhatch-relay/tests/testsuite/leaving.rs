//! Graceful shutdown of a daemon.

use super::support::{Backend, Mesh, Reply};

/// Guards against dropping requests in flight when a daemon shuts down, and against callers that
/// keep using its connections.
#[test]
fn requests_in_flight_are_answered_and_connections_end() {
    let backend = Backend::bind(|_| Reply::OnRelease("whole"));
    let mesh = Mesh::single(&backend);
    let daemon = &mesh.daemons[0];
    let mut caller = daemon.caller();
    let mut idle = daemon.caller();
    caller.post("/once/1", "order");
    backend.next_seen();
    daemon.blackboard.lifecycle.start_draining();
    daemon.blackboard.lifecycle.close_ports();
    assert!(idle.read().is_none(), "an idle connection ends");
    assert_eq!(daemon.blackboard.lifecycle.in_flight(), 1);
    backend.release("/once/1");
    let res = caller.read().unwrap();
    assert_eq!((res.status, res.body.as_str()), (200, "whole"));
    assert_eq!(res.header("connection"), Some("close"));
    assert!(caller.read().is_none());
}
