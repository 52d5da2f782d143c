//! Which requests are retried.

use lavenderhatch_relay::EndpointSnapshot;

use super::support::{Backend, Mesh, Reply, RouteSpec};

fn failing_and_healthy_backends(reply: Reply) -> ([Backend; 2], Mesh) {
    let failing = Backend::bind(move |_| reply.clone());
    let backends = [failing, Backend::hello()];
    let routes = [RouteSpec::SAFE, RouteSpec::ONCE];
    let mesh = Mesh::spawn(&[&backends[0], &backends[1]], &routes);
    (backends, mesh)
}

/// Guards against failing an idempotent request although another backend server would serve it.
#[test]
fn an_idempotent_request_is_sent_to_another_backend_server() {
    let (_backends, mesh) = failing_and_healthy_backends(Reply::Close);
    for at in 0..10 {
        let mut caller = mesh.daemons[at % 2].caller();
        caller.get(&format!("/safe/{at}"));
        assert_eq!(caller.read().unwrap().status, 200);
    }
}

/// Guards against running a non-idempotent request a second time after its answer was lost.
#[test]
fn a_request_that_may_have_run_is_not_sent_again() {
    let backends = [(); 2].map(|()| Backend::bind(|_| Reply::Close));
    let mesh = Mesh::spawn(&[&backends[0], &backends[1]], &[RouteSpec::ONCE]);
    for at in 0..20 {
        let mut caller = mesh.daemons[at % 2].caller();
        caller.post(&format!("/once/{at}"), "order");
        assert_eq!(caller.read().unwrap().status, 502);
    }
    let runs: usize = backends.iter().map(Backend::seen_count).sum();
    assert_eq!(runs, 20);
}

/// Guards against failing a request that a backend server has refused without running it: another
/// one can still run it.
#[test]
fn a_request_that_did_not_run_is_sent_to_another_backend_server() {
    let refusal = "HTTP/1.1 503 X\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    let (_backends, mesh) = failing_and_healthy_backends(Reply::Raw(refusal));
    for at in 0..10 {
        let mut caller = mesh.daemons[at % 2].caller();
        caller.post(&format!("/once/{at}"), "order");
        assert_eq!(caller.read().unwrap().status, 200);
    }
}

/// Guards against retries that multiply the load while all backend servers of a service fail.
#[test]
fn retries_stay_within_the_budget() {
    let backends = [(); 2].map(|()| Backend::bind(|_| Reply::Signed(500, "")));
    let mesh = Mesh::spawn(&[&backends[0], &backends[1]], &[RouteSpec::SAFE]);
    let requests = 200;
    let mut caller = mesh.daemons[0].caller();
    for at in 0..requests {
        caller.get(&format!("/safe/{at}"));
        assert_eq!(caller.read().unwrap().status, 500);
    }
    let arrivals: usize = backends.iter().map(Backend::seen_count).sum();
    let retries = arrivals - requests;
    // The retry ratio is 0.2 and the retry burst of 20 is shared by two daemons.
    assert!(retries <= 40 + 10, "{retries} retries");
}

/// Guards against a daemon that has just started and takes the retries of all daemons for itself. It
/// learns how many there are some time after its ports are open.
#[test]
fn the_retry_budget_follows_the_number_of_daemons() {
    let backends = [(); 2].map(|()| Backend::bind(|_| Reply::Signed(500, "")));
    let mesh = Mesh::spawn(&[&backends[0], &backends[1]], &[RouteSpec::SAFE]);
    let daemon = &mesh.daemons[0];
    let mut caller = daemon.caller();
    caller.get("/nowhere/1");
    assert_eq!(caller.read().unwrap().status, 404);
    let mut snapshot = EndpointSnapshot::clone(&daemon.writers.endpoints.load());
    snapshot.daemon_count = 10;
    daemon.writers.endpoints.publish(snapshot);
    let requests = 30;
    for at in 0..requests {
        caller.get(&format!("/safe/{at}"));
        assert_eq!(caller.read().unwrap().status, 500);
    }
    let arrivals: usize = backends.iter().map(Backend::seen_count).sum();
    let retries = arrivals - requests;
    // One of ten daemons has one retry of the burst of 20, half of which is for its attempts. The
    // retry ratio adds a tenth of the requests.
    assert!((1..=4).contains(&retries), "{retries} retries");
}

/// Guards against telling the caller "not run" because the last attempt was refused, although the
/// request ran in an earlier attempt.
#[test]
fn a_refusal_does_not_hide_an_earlier_run() {
    let refusal = "HTTP/1.1 503 X\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
    let failing = Backend::bind(|_| Reply::Signed(500, ""));
    let refusing = Backend::bind(move |_| Reply::Raw(refusal));
    let mesh = Mesh::spawn(&[&failing, &refusing], &[RouteSpec::SAFE]);
    for at in 0..10 {
        let mut caller = mesh.daemons[0].caller();
        caller.get(&format!("/safe/{at}"));
        let status = caller.read().unwrap().status;
        assert_eq!(status == 500, failing.seen_count() > 0, "status {status}");
    }
}

/// Guards against losing a non-idempotent request on an idle connection that the backend server has
/// silently dropped.
#[test]
fn a_request_that_may_run_once_does_not_use_an_old_connection() {
    let backend = Backend::hello();
    let mesh = Mesh::single(&backend);
    let mut caller = mesh.daemons[0].caller();
    caller.get("/safe/1");
    assert_eq!(caller.read().unwrap().status, 200);
    backend.forget_connections();
    // Waits longer than idle connections are reused for requests that may run only once.
    let pause = std::time::Instant::now();
    while pause.elapsed() < std::time::Duration::from_millis(300) {
        std::thread::park_timeout(std::time::Duration::from_millis(50));
    }
    caller.post("/once/2", "order");
    assert_eq!(caller.read().unwrap().status, 200);
}
