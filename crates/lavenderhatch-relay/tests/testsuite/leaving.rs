//! Graceful shutdown of a daemon.

use super::support::{Backend, Caller, Mesh, Reply};

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

/// Guards against a request that is cut off because its connection was established, but not yet
/// accepted, when the ports were closed.
#[test]
fn connections_that_wait_to_be_accepted_are_served() {
    for _ in 0..10 {
        let backend = Backend::hello();
        let mesh = Mesh::single(&backend);
        let daemon = &mesh.daemons[0];
        let mut callers: Vec<Caller> = (0..32).map(|_| daemon.caller()).collect();
        for (at, caller) in callers.iter_mut().enumerate() {
            caller.get(&format!("/safe/{at}"));
        }
        daemon.blackboard.lifecycle.start_draining();
        daemon.blackboard.lifecycle.close_ports();
        for caller in &mut callers {
            assert_eq!(caller.read().map(|res| res.status), Some(200));
        }
    }
}

/// Guards against a request that is cut off because it was on its way on a new connection when the
/// ports were closed.
#[test]
fn a_request_on_its_way_on_a_new_connection_is_served() {
    let backend = Backend::hello();
    let mesh = Mesh::single(&backend);
    let daemon = &mesh.daemons[0];
    let mut served = daemon.caller();
    let mut on_its_way = daemon.caller();
    // Connections are accepted in order, so the second one is accepted before this answer.
    let mut last = daemon.caller();
    last.get("/safe/1");
    assert_eq!(last.read().unwrap().status, 200);
    served.get("/safe/2");
    assert_eq!(served.read().unwrap().status, 200);
    daemon.blackboard.lifecycle.start_draining();
    daemon.blackboard.lifecycle.close_ports();
    assert!(served.read().is_none(), "an idle connection ends");
    on_its_way.post("/once/3", "order");
    assert_eq!(on_its_way.read().map(|res| res.status), Some(200));
    assert!(on_its_way.read().is_none());
}
