//! Acceptance of configurations that are too large for the root object.

use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{Error, ErrorKind, Mesh, Timestamp, Version};
use lavenderhatch_platform::accept::{Proposal, accept, read_accepted};
use lavenderhatch_platform::{
    Faults, MemoryPlatform, Object, ObjectMeta, Platform, PlatformError, Precondition,
};
use rstest::rstest;

const MINUTE_MS: u64 = 60_000;

/// A mesh with this many services. 40,000 services take about 1.4 MB, more than fits into an
/// object.
fn mesh(services: u32, slots: u32) -> Mesh {
    let services: serde_json::Map<_, _> = (0..services)
        .map(|n| {
            (
                format!("service-{n:08}"),
                serde_json::json!({ "slots": slots }),
            )
        })
        .collect();
    let spec = serde_json::json!({ "services": services });
    Mesh::validate(serde_json::from_value::<MeshSpec>(spec).unwrap()).unwrap()
}

fn apply(platform: &impl Platform, mesh: &Mesh, minute: u64) -> Result<Version, Error> {
    let nonce = format!("n{minute}");
    let proposal = Proposal {
        mesh,
        author: "ada",
        reason: "test",
        nonce: &nonce,
    };
    accept(platform, &proposal, Timestamp(minute * MINUTE_MS))
}

fn part_count(platform: &MemoryPlatform) -> usize {
    platform.list("mesh/part/").unwrap().len()
}

/// Guards against a large configuration that is lost, truncated, or assembled from its parts in the
/// wrong order.
#[rstest]
#[case::small(10, 0)]
#[case::large(40_000, 2)]
fn accepted_configuration_reads_back(#[case] services: u32, #[case] expected_parts: usize) {
    let platform = MemoryPlatform::default();
    let mesh = mesh(services, 12);
    assert_eq!(apply(&platform, &mesh, 0).unwrap(), Version(1));
    assert_eq!(part_count(&platform), expected_parts);
    let (root, read) = read_accepted(&platform).unwrap().unwrap();
    assert_eq!((root.version, &read), (Version(1), &mesh));
}

/// Guards against a configuration assembled from a part that was modified in the platform.
#[test]
fn modified_part_is_refused() {
    let platform = MemoryPlatform::default();
    apply(&platform, &mesh(40_000, 12), 0).unwrap();
    let part = platform.list("mesh/part/").unwrap().remove(0);
    platform
        .put(&part.name, b"{}", Precondition::Version(part.version))
        .unwrap();
    let err = read_accepted(&platform).unwrap_err();
    assert!(err.message().contains("has the digest"), "{err}");
}

/// Guards against parts that are removed while a daemon may still read them, and against
/// unreferenced parts that are never removed.
#[test]
fn unreferenced_parts_are_removed_after_an_hour() {
    let platform = MemoryPlatform::default();
    apply(&platform, &mesh(40_000, 1), 0).unwrap();
    apply(&platform, &mesh(40_000, 2), 1).unwrap();
    apply(&platform, &mesh(1, 3), 60).unwrap();
    assert_eq!(part_count(&platform), 4, "59 minutes without a reference");
    apply(&platform, &mesh(1, 4), 61).unwrap();
    assert_eq!(
        part_count(&platform),
        2,
        "the parts of version 1 are removed"
    );
    apply(&platform, &mesh(1, 5), 121).unwrap();
    assert_eq!(part_count(&platform), 0);
}

/// Guards against the removal of a retired part when a new configuration refers to it again.
#[test]
fn part_that_is_referenced_again_stays() {
    let platform = MemoryPlatform::default();
    let large = mesh(40_000, 1);
    apply(&platform, &large, 0).unwrap();
    apply(&platform, &mesh(1, 1), 1).unwrap();
    apply(&platform, &large, 90).unwrap();
    assert_eq!(read_accepted(&platform).unwrap().unwrap().1, large);
}

/// A platform on which another operator applies a configuration just before each removal.
struct ContendedPlatform {
    platform: MemoryPlatform,
    other: Mesh,
}

impl Platform for ContendedPlatform {
    fn get(&self, name: &str) -> Result<Option<Object>, PlatformError> {
        self.platform.get(name)
    }
    fn list(&self, prefix: &str) -> Result<Vec<ObjectMeta>, PlatformError> {
        self.platform.list(prefix)
    }
    fn put(
        &self,
        name: &str,
        value: &[u8],
        precondition: Precondition,
    ) -> Result<u64, PlatformError> {
        self.platform.put(name, value, precondition)
    }
    fn delete(&self, name: &str, version: u64) -> Result<(), PlatformError> {
        let _ = apply(&self.platform, &self.other, 91);
        self.platform.delete(name, version)
    }
    fn watch(
        &self,
        name: &str,
        seen: u64,
        timeout: std::time::Duration,
    ) -> Result<Option<Object>, PlatformError> {
        self.platform.watch(name, seen, timeout)
    }
}

/// Guards against removing a part that another operator has referred to between listing and
/// removal.
#[test]
fn part_that_another_operator_references_again_stays() {
    let platform = MemoryPlatform::default();
    let large = mesh(40_000, 1);
    apply(&platform, &large, 0).unwrap();
    apply(&platform, &mesh(1, 1), 1).unwrap();
    let contended = ContendedPlatform {
        platform: platform.clone(),
        other: large.clone(),
    };
    apply(&contended, &mesh(1, 2), 90).unwrap();
    assert_eq!(read_accepted(&platform).unwrap().unwrap().1, large);
}

/// Guards against a proposal that is accepted twice, or not at all, when responses of the platform
/// are lost.
#[rstest]
fn lost_responses_lead_to_one_version(#[values(1, 2, 3)] lost_answers: u32) {
    let platform = MemoryPlatform::default();
    let faults = Faults {
        lost_answers,
        ..Faults::default()
    };
    platform.set_faults(faults);
    let mesh = mesh(40_000, 1);
    assert_eq!(apply(&platform, &mesh, 0).unwrap(), Version(1));
    assert_eq!(read_accepted(&platform).unwrap().unwrap().1, mesh);
}

/// Guards against a root object that exceeds the platform's size limit because of a long reason.
#[test]
fn long_reason_is_refused() {
    let platform = MemoryPlatform::default();
    let mesh = mesh(1, 1);
    let reason = "x".repeat(5000);
    let proposal = Proposal {
        mesh: &mesh,
        author: "ada",
        reason: &reason,
        nonce: "n",
    };
    let err = accept(&platform, &proposal, Timestamp(0)).unwrap_err();
    assert_eq!(err.kind(), ErrorKind::TooLarge);
    assert!(platform.get("mesh/root").unwrap().is_none());
}
