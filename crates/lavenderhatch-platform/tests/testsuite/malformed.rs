//! Malformed responses and objects: the client reports an error and never panics.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpListener};
use std::time::Duration;

use lavenderhatch_platform::accept::{read_accepted, read_root};
use lavenderhatch_platform::audit::read_all;
use lavenderhatch_platform::{HttpPlatform, MemoryPlatform, Platform, PlatformError, Precondition};
use proptest::prelude::*;

/// Number of calls that `call_all` makes, one connection each.
const CALLS: usize = 5;

/// Makes each kind of call against a server that sends `response` on every connection.
fn call_all(response: &[u8]) -> [Result<(), PlatformError>; CALLS] {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for _ in 0..CALLS {
                let (mut stream, _) = listener.accept().unwrap();
                let _ = stream.read(&mut [0; 4096]);
                let _ = stream.write_all(response);
            }
        });
        let client = HttpPlatform::open(&[url]);
        let wait = Duration::from_millis(10);
        [
            client.get("a").map(drop),
            client.list("a").map(drop),
            client.put("a", b"v", Precondition::Version(1)).map(drop),
            client.delete("a", 1),
            client.watch("a", 1, wait).map(drop),
        ]
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Guards against a client that panics on a response that is not HTTP, or takes it for a
    /// success.
    #[test]
    fn random_responses_are_errors(response in prop::collection::vec(any::<u8>(), 0..128)) {
        for result in call_all(&response) {
            prop_assert!(result.is_err());
        }
    }

    /// Guards against a client that panics on an HTTP response that violates the platform's
    /// protocol.
    #[test]
    fn unexpected_responses_do_not_panic(
        status in 200_u16..600,
        tag in r#"("?[0-9]{1,22}"?|[ -~]{0,8})"#,
        body in "[ -~]{0,64}",
        length in 0_usize..80,
    ) {
        let head = format!("HTTP/1.1 {status} X\r\netag: {tag}\r\nconnection: close\r\n");
        let _ = call_all(format!("{head}content-length: {length}\r\n\r\n{body}").as_bytes());
    }

    /// Guards against readers of objects that panic on content that another program wrote.
    #[test]
    fn malformed_objects_are_errors(
        value in prop::collection::vec(any::<u8>(), 0..64),
        number in any::<u64>(),
    ) {
        let root = format!(r#"{{"version":{number},"digest":"","content":{{"parts":[]}}}}"#);
        for value in [value.as_slice(), root.as_bytes()] {
            let platform = MemoryPlatform::default();
            platform.put("mesh/root", value, Precondition::Absent).unwrap();
            platform.put("audit/zone-a", value, Precondition::Absent).unwrap();
            prop_assert!(read_root(&platform).is_err());
            prop_assert!(read_accepted(&platform).is_err());
            prop_assert!(read_all(&platform).is_err());
        }
    }
}
