//! Conversion of a mesh to mesh files.

use std::time::{Duration, UNIX_EPOCH};

use lavenderhatch_core::Mesh;
use serde_json::Value as Json;

use crate::source::Source;

/// Renders a mesh as one file per section. Parsing the files gives the same mesh.
pub fn render_mesh(mesh: &Mesh) -> Vec<Source> {
    let Ok(Json::Object(sections)) = serde_json::to_value(mesh.spec()) else {
        return Vec::new();
    };
    let mut sources = Vec::new();
    for (name, mut section) in sections {
        if section.as_object().is_none_or(|objects| objects.is_empty()) {
            continue;
        }
        if name == "stops" {
            format_stop_times(&mut section);
        }
        let file = serde_json::json!({ &name: section });
        let text = serde_json::to_string_pretty(&file).unwrap_or_default() + "\n";
        sources.push(Source::new(format!("{name}.jsonc"), text));
    }
    sources
}

/// Converts the times of stops from milliseconds since the Unix epoch to RFC 3339.
fn format_stop_times(stops: &mut Json) {
    for stop in stops
        .as_object_mut()
        .into_iter()
        .flat_map(|stops| stops.values_mut())
    {
        for key in ["start", "deadline"] {
            let Some(millis) = stop[key].as_u64() else {
                continue;
            };
            let time = UNIX_EPOCH + Duration::from_millis(millis);
            stop[key] = Json::from(humantime::format_rfc3339(time).to_string());
        }
    }
}
