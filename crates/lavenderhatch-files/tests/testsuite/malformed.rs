//! Malformed files are reported as errors and never make a parser panic.

use lavenderhatch_files::{Source, parse_mesh, parse_settings, render_mesh};
use proptest::prelude::*;
use rstest::rstest;

const MESH: &str = include_str!("../../../../examples/mesh/mesh.jsonc");
const SETTINGS: &str = r#"{ // Settings.
  "node": "o1", "zone": "a", "region": "r", "service": "orders", "caller_addr": "127.0.0.1:1",
  "peer_addr": "127.0.0.1:2", "admin_addr": "127.0.0.1:3", "backend_addr": "127.0.0.1:4",
  "platform": ["http://127.0.0.1:5"], "peer_threads": 2 }"#;

/// Reads the text with both parsers and checks that the errors are located within it.
fn parse(text: &str) {
    let source = Source::new("f.jsonc", text);
    let settings = parse_settings(&source).err().unwrap_or_default();
    let mesh = parse_mesh(std::slice::from_ref(&source))
        .err()
        .unwrap_or_default();
    let lines = text.matches('\n').count() + 1;
    for diagnostic in settings.iter().chain(&mesh) {
        assert!((1..=lines).contains(&diagnostic.line), "{diagnostic}");
        assert!(diagnostic.column >= 1, "{diagnostic}");
    }
}

/// Replaces `len` characters, starting at index `at`, by `new`.
fn mutate(text: &str, at: usize, len: usize, new: &str) -> String {
    let chars = text.chars().count();
    let at = at % (chars + 1);
    let head: String = text.chars().take(at).collect();
    let tail: String = text.chars().skip(at + len).collect();
    head + new + &tail
}

proptest! {
    /// Guards against a parser that panics on text that is not JSON.
    #[test]
    fn random_text_is_parsed_or_rejected(text in ".{0,200}") {
        parse(&text);
    }

    /// Guards against a parser that panics on valid files with a small mutation.
    #[test]
    fn mutated_files_are_parsed_or_rejected(
        at in any::<usize>(),
        len in 0_usize..12,
        new in r#"([{}\[\]",:/*0-9eE.+\\-]|null|true|\PC){0,6}"#,
    ) {
        parse(&mutate(MESH, at, len, &new));
        parse(&mutate(SETTINGS, at, len, &new));
    }

    /// Guards against numbers that the schema accepts but the Rust type cannot store.
    #[test]
    fn any_number_is_parsed_or_rejected(number in r"-?[0-9]{1,25}(\.[0-9]{1,3})?([eE]-?[0-9]{1,4})?") {
        parse(&MESH.replace("12", &number).replace("0.4", &number));
        parse(&SETTINGS.replace(": 2 ", &format!(": {number} ")));
    }
}

/// Guards against a stack overflow on deep nesting, which would abort the process.
#[rstest]
#[case::lists("[")]
#[case::objects("{\"a\":")]
#[case::comments("/*")]
fn deep_nesting_does_not_overflow_the_stack(#[case] opening: &str) {
    parse(&opening.repeat(200_000));
}

/// Guards against a rendered mesh that parses to another mesh than the accepted one.
#[test]
fn rendered_mesh_parses_back_to_the_same_mesh() {
    let stop = r#"{ "stops": { "s": { "backend_server": "o1", "start": "2026-12-04T10:00:00Z",
        "deadline": "2026-12-04T10:00:00.250Z" } } }"#;
    let mesh = parse_mesh(&[Source::new("a", MESH), Source::new("b", stop)]).unwrap();
    assert_eq!(parse_mesh(&render_mesh(&mesh)).unwrap(), mesh);
}
