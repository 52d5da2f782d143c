//! Identity of requests that ask for the same.

use lavenderhatch_decide::crash::Fingerprint;
use rstest::rstest;

/// Guards against a request that is refused for the crashes of another one, and against daemons of
/// different releases that do not agree on a request.
#[rstest]
#[case::method("PUT", "/a/1?b=2", "web", "body")]
#[case::path("GET", "/a/2?b=2", "web", "body")]
#[case::query("GET", "/a/1?b=3", "web", "body")]
#[case::caller("GET", "/a/1?b=2", "app", "body")]
#[case::body("GET", "/a/1?b=2", "web", "other")]
#[case::border("GET", "/a/1?b=2w", "eb", "body")]
fn each_part_of_a_request_counts(
    #[case] method: &str,
    #[case] target: &str,
    #[case] caller: &str,
    #[case] body: &str,
) {
    let of = |method, target, caller: &str, body: &str| {
        Fingerprint::of(method, target, caller.as_bytes(), body.as_bytes())
    };
    let request = of("GET", "/a/1?b=2", "web", "body");
    assert_eq!(request, of("GET", "/a/1?b=2", "web", "body"));
    assert_ne!(request, of(method, target, caller, body));
    assert_eq!(request.to_string().parse(), Ok(request));
}
