//! Headers of answers at the caller port.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crossbeam::channel::tick;
use lavenderhatch_core::Timestamp;
use lavenderhatch_daemon::Daemon;
use lavenderhatch_files::{Source, parse_mesh, parse_settings};
use lavenderhatch_platform::MemoryPlatform;
use lavenderhatch_platform::accept::{Proposal, accept};
use lavenderhatch_standin::next_loopback_ip;
use oxhttp::Server;
use oxhttp::model::{Body, HeaderValue, Response};

const TIMEOUT: Duration = Duration::from_secs(10);
const MESH: &str = r#"{ "ranks": { "r": { "target_ms": 1, "worth": 1, "share": 0.1 } },
    "services": { "s": { "slots": 1 } }, "routes": { "a": { "path": "/", "service": "s",
    "rank": "r", "timeout_ms": 5000, "idempotent": true } } }"#;

/// Guards against a caller that is told "not run" for a request that ran, because the back
/// end passes on the lavenderhatch headers of an answer from another service.
#[test]
fn daemon_headers_replace_those_of_back_end() {
    let addr = |port| SocketAddr::new(next_loopback_ip(), port);
    let (callers, back_end) = (addr(7000), addr(7000));
    let listening = Server::new(|_| {
        let mut res = Response::new(Body::empty());
        for name in [
            "lavenderhatch-outcome",
            "lavenderhatch-call-id",
            "lavenderhatch-error",
        ] {
            res.headers_mut()
                .insert(name, HeaderValue::from_static("not-run"));
        }
        res
    });
    let _listening = listening.bind(back_end).spawn().unwrap();
    let settings = serde_json::json!({ "node": "n", "zone": "z", "region": "r", "service": "s",
        "caller_addr": callers, "peer_addr": addr(7000), "admin_addr": addr(7000),
        "backend_addr": back_end, "platform": ["http://127.0.0.1:1"] });
    let settings = parse_settings(&Source::new("settings", settings.to_string())).unwrap();
    let platform = MemoryPlatform::default();
    let mesh = &parse_mesh(&[Source::new("mesh", MESH)]).unwrap();
    let proposal = Proposal {
        mesh,
        author: "",
        reason: "",
        nonce: "",
    };
    accept(&platform, &proposal, Timestamp(0)).unwrap();
    let _daemon = Daemon::spawn(&settings, platform).unwrap();
    let deadline = Instant::now() + TIMEOUT;
    let ticks = tick(Duration::from_millis(20));
    let head = loop {
        assert!(Instant::now() < deadline, "no answer within {TIMEOUT:?}");
        if let Ok(res) = ureq::get(format!("http://{callers}/x")).call() {
            break res.into_parts().0;
        }
        let _ = ticks.recv();
    };
    let all = |name: &str| -> Vec<_> { head.headers.get_all(name).iter().collect() };
    assert_eq!(all("lavenderhatch-outcome"), ["ran"]);
    assert_eq!(all("lavenderhatch-call-id").len(), 1);
    assert!(all("lavenderhatch-error").is_empty(), "{head:?}");
}
