//! Meshes for tests.

use std::sync::Arc;

use lavenderhatch_core::mesh::MeshSpec;
use lavenderhatch_core::{ConfigSnapshot, Mesh, Timestamp, Version};

/// A mesh whose second service and body limit depend on the version.
pub(crate) fn mesh(version: u64) -> Mesh {
    let text = format!(
        r#"{{ "services": {{ "orders": {{ "slots": 12 }}, "s{version}": {{ "slots": 4 }} }},
             "limits": {{ "max_body_bytes": {} }} }}"#,
        1_000_000 + version
    );
    let parts: MeshSpec = serde_json::from_str(&text).unwrap();
    Mesh::validate(parts).unwrap()
}

/// A snapshot of [`mesh`] for a version.
pub(crate) fn snapshot(version: u64) -> ConfigSnapshot {
    ConfigSnapshot::new(Version(version), Arc::new(mesh(version)), Timestamp(1))
}
