//! Reads mesh files one by one and validates them as a whole.

use std::collections::BTreeMap;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use lavenderhatch_core::Mesh;
use lavenderhatch_core::mesh::{MeshPath, MeshSpec, ValidationError};
use lavenderhatch_core::names::invalid_name_reason;
use serde_json::{Map, Value as Json};

use super::schema::{LIMITS, LIMITS_SECTION, SECTIONS};
use crate::diagnostic::{Diagnostic, Location};
use crate::document::Document;
use crate::field::{Field, read_object};
use crate::source::Source;

/// A range in a file.
///
/// Its line and column are computed only for diagnostics, because counting them scans the text in
/// front of the range.
#[derive(Clone, Copy)]
struct SourceRange<'a> {
    doc: Document<'a>,
    range: Range,
}

impl SourceRange<'_> {
    fn location(&self) -> Location {
        self.doc.location(self.range)
    }
}

/// Reads a set of mesh files and collects their content and their errors.
#[derive(Default)]
pub(super) struct MeshReader<'a> {
    sections: Map<String, Json>,
    ranges: BTreeMap<MeshPath, SourceRange<'a>>,
    diagnostics: Vec<Diagnostic>,
}

impl<'a> MeshReader<'a> {
    /// Reads one file.
    pub(super) fn read(&mut self, source: &'a Source) {
        let doc = Document::new(source);
        let object = match doc.parse() {
            Ok(object) => object,
            Err(diagnostic) => {
                self.diagnostics.push(diagnostic);
                return;
            }
        };
        doc.check_duplicate_keys(&object, &mut self.diagnostics);
        for prop in &object.properties {
            self.read_section(&doc, prop);
        }
    }

    /// Validates the files that were read as a whole.
    pub(super) fn finish(mut self) -> Result<Mesh, Vec<Diagnostic>> {
        if self.diagnostics.is_empty() {
            let sections = Json::Object(std::mem::take(&mut self.sections));
            match serde_json::from_value::<MeshSpec>(sections) {
                Ok(spec) => match Mesh::validate(spec) {
                    Ok(mesh) => return Ok(mesh),
                    Err(errors) => errors.iter().for_each(|err| self.add_validation_error(err)),
                },
                Err(err) => self.add_type_error(&err),
            }
        }
        self.diagnostics.sort();
        self.diagnostics.dedup();
        Err(self.diagnostics)
    }

    fn read_section(&mut self, doc: &Document<'a>, prop: &ObjectProp<'_>) {
        let name = prop.name.as_str();
        let Value::Object(object) = &prop.value else {
            let message = format!("{name:?} is not an object");
            self.diagnostics.push(doc.error_at(
                prop.value.range(),
                message,
                "write an object in braces",
            ));
            return;
        };
        if name == LIMITS_SECTION {
            self.read_limits(doc, prop, object);
            return;
        }
        match SECTIONS.iter().find(|(section, _)| *section == name) {
            Some((section, fields)) => self.read_named_section(doc, section, fields, object),
            None => {
                let known: Vec<&str> = SECTIONS.iter().map(|(section, _)| *section).collect();
                let message = format!("unknown key {name:?}");
                let remedy = format!("use one of: {}, {LIMITS_SECTION}", known.join(", "));
                self.diagnostics
                    .push(doc.error_at(prop.range, message, remedy));
            }
        }
    }

    fn read_limits(&mut self, doc: &Document<'a>, prop: &ObjectProp<'_>, object: &Object<'_>) {
        if self.sections.contains_key(LIMITS_SECTION) {
            let message = "limits are also set in another file";
            self.diagnostics
                .push(doc.error_at(prop.range, message, "set limits in one file only"));
            return;
        }
        self.record_ranges(doc, LIMITS_SECTION, "", prop, object);
        if let Some(map) = read_object(doc, object, LIMITS, &mut self.diagnostics) {
            self.sections
                .insert(LIMITS_SECTION.to_owned(), Json::Object(map));
        }
    }

    fn read_named_section(
        &mut self,
        doc: &Document<'a>,
        section: &'static str,
        fields: &[Field],
        objects: &Object<'_>,
    ) {
        doc.check_duplicate_keys(objects, &mut self.diagnostics);
        for prop in &objects.properties {
            self.read_named_object(doc, section, fields, prop);
        }
    }

    fn read_named_object(
        &mut self,
        doc: &Document<'a>,
        section: &'static str,
        fields: &[Field],
        prop: &ObjectProp<'_>,
    ) {
        let name = prop.name.as_str();
        if let Some(reason) = invalid_name_reason(name) {
            let message = format!("name {name:?} {reason}");
            self.diagnostics.push(doc.error_at(
                prop.range,
                message,
                "use 1 to 63 of a-z, 0-9 and -",
            ));
        }
        if let Some(other) = self.ranges.get(&MeshPath::key(section, name, "")) {
            let other = other.location();
            let message = format!(
                "{name:?} is also defined at {}:{}:{}",
                other.file, other.line, other.column
            );
            self.diagnostics
                .push(doc.error_at(prop.range, message, "remove one of the two"));
            return;
        }
        let Value::Object(object) = &prop.value else {
            let message = format!("{name:?} is not an object");
            self.diagnostics.push(doc.error_at(
                prop.value.range(),
                message,
                "write an object in braces",
            ));
            return;
        };
        self.record_ranges(doc, section, name, prop, object);
        if let Some(map) = read_object(doc, object, fields, &mut self.diagnostics) {
            let objects = self
                .sections
                .entry(section)
                .or_insert_with(|| Json::Object(Map::new()));
            if let Some(objects) = objects.as_object_mut() {
                objects.insert(name.to_owned(), Json::Object(map));
            }
        }
    }

    fn record_ranges(
        &mut self,
        doc: &Document<'a>,
        section: &'static str,
        name: &str,
        prop: &ObjectProp<'_>,
        object: &Object<'_>,
    ) {
        let mut record = |key: &str, range: Range| {
            let range = SourceRange { doc: *doc, range };
            self.ranges.insert(MeshPath::key(section, name, key), range);
        };
        record("", prop.range);
        for inner in &object.properties {
            record(inner.name.as_str(), inner.value.range());
        }
    }

    fn add_validation_error(&mut self, error: &ValidationError) {
        let object_path = MeshPath::key(error.path.section, &error.path.object, "");
        let range = self.ranges.get(&error.path);
        let range = range.or_else(|| self.ranges.get(&object_path));
        let unknown = Location {
            file: error.path.to_string(),
            line: 1,
            column: 1,
        };
        let location = range.map_or(unknown, SourceRange::location);
        self.diagnostics.push(Diagnostic::new(
            location,
            error.message.clone(),
            error.remedy.clone(),
        ));
    }

    /// Reports a value that the schema allows but the Rust type cannot store. The schema should
    /// exclude such values, so the error has no location of its own and is reported at the first
    /// location of the set.
    fn add_type_error(&mut self, err: &serde_json::Error) {
        let first = self.ranges.values().next().map(SourceRange::location);
        let location = first.unwrap_or(Location {
            file: "mesh".to_owned(),
            line: 1,
            column: 1,
        });
        let remedy = "compare the values with the file format reference";
        self.diagnostics
            .push(Diagnostic::new(location, err.to_string(), remedy));
    }
}
