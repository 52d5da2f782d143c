//! Reads files one by one and checks them as a whole.

use std::collections::BTreeMap;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use lavenderhatch_core::Mesh;
use lavenderhatch_core::mesh::{MeshPath, MeshSpec, ValidationError};
use lavenderhatch_core::names::invalid_name_reason;
use serde_json::{Map, Value as Json};

use super::tables::{LIMITS, LIMITS_SECTION, SECTIONS};
use crate::diagnostic::{Diagnostic, Place};
use crate::document::Document;
use crate::field::{Field, read_object};
use crate::source::Source;

/// A range in a file. Its line and column are counted only for faults, because that takes a look at
/// the whole line.
#[derive(Clone, Copy)]
struct Spot<'a> {
    doc: Document<'a>,
    range: Range,
}

impl Spot<'_> {
    fn place(&self) -> Place {
        self.doc.place(self.range)
    }
}

/// What was read so far of a set of files.
#[derive(Default)]
pub(super) struct MeshReader<'a> {
    sections: Map<String, Json>,
    spots: BTreeMap<MeshPath, Spot<'a>>,
    faults: Vec<Diagnostic>,
}

impl<'a> MeshReader<'a> {
    /// Reads one file.
    pub(super) fn read(&mut self, source: &'a Source) {
        let doc = Document::new(source);
        let object = match doc.parse() {
            Ok(object) => object,
            Err(fault) => {
                self.faults.push(fault);
                return;
            }
        };
        doc.check_repeated_keys(&object, &mut self.faults);
        for prop in &object.properties {
            self.read_section(&doc, prop);
        }
    }

    /// Checks what was read as a whole.
    pub(super) fn finish(mut self) -> Result<Mesh, Vec<Diagnostic>> {
        if self.faults.is_empty() {
            let sections = Json::Object(std::mem::take(&mut self.sections));
            match serde_json::from_value::<MeshSpec>(sections) {
                Ok(parts) => match Mesh::validate(parts) {
                    Ok(mesh) => return Ok(mesh),
                    Err(faults) => faults.iter().for_each(|fault| self.add_mesh_fault(fault)),
                },
                Err(err) => self.add_type_fault(&err),
            }
        }
        self.faults.sort();
        self.faults.dedup();
        Err(self.faults)
    }

    fn read_section(&mut self, doc: &Document<'a>, prop: &ObjectProp<'_>) {
        let name = prop.name.as_str();
        let Value::Object(object) = &prop.value else {
            let message = format!("{name:?} is not an object");
            self.faults
                .push(doc.fault(prop.value.range(), message, "write an object in braces"));
            return;
        };
        if name == LIMITS_SECTION {
            self.read_limits(doc, prop, object);
            return;
        }
        match SECTIONS.iter().find(|(section, _)| *section == name) {
            Some((section, fields)) => self.read_named(doc, section, fields, object),
            None => {
                let known: Vec<&str> = SECTIONS.iter().map(|(section, _)| *section).collect();
                let message = format!("unknown key {name:?}");
                let remedy = format!("use one of: {}, {LIMITS_SECTION}", known.join(", "));
                self.faults.push(doc.fault(prop.range, message, remedy));
            }
        }
    }

    fn read_limits(&mut self, doc: &Document<'a>, prop: &ObjectProp<'_>, object: &Object<'_>) {
        if self.sections.contains_key(LIMITS_SECTION) {
            let message = "limits are given in another file as well";
            self.faults
                .push(doc.fault(prop.range, message, "give limits in one file"));
            return;
        }
        self.remember_spots(doc, LIMITS_SECTION, "", prop, object);
        if let Some(map) = read_object(doc, object, LIMITS, &mut self.faults) {
            self.sections
                .insert(LIMITS_SECTION.to_owned(), Json::Object(map));
        }
    }

    fn read_named(
        &mut self,
        doc: &Document<'a>,
        section: &'static str,
        fields: &[Field],
        objects: &Object<'_>,
    ) {
        doc.check_repeated_keys(objects, &mut self.faults);
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
        if let Some(fault) = invalid_name_reason(name) {
            let message = format!("name {name:?} {fault}");
            self.faults
                .push(doc.fault(prop.range, message, "use 1 to 63 of a-z, 0-9 and -"));
        }
        if let Some(other) = self.spots.get(&MeshPath::key(section, name, "")) {
            let other = other.place();
            let message = format!(
                "{name:?} is described at {}:{}:{} as well",
                other.file, other.line, other.column
            );
            self.faults
                .push(doc.fault(prop.range, message, "remove one of the two"));
            return;
        }
        let Value::Object(object) = &prop.value else {
            let message = format!("{name:?} is not an object");
            self.faults
                .push(doc.fault(prop.value.range(), message, "write an object in braces"));
            return;
        };
        self.remember_spots(doc, section, name, prop, object);
        if let Some(map) = read_object(doc, object, fields, &mut self.faults) {
            let objects = self
                .sections
                .entry(section)
                .or_insert_with(|| Json::Object(Map::new()));
            if let Some(objects) = objects.as_object_mut() {
                objects.insert(name.to_owned(), Json::Object(map));
            }
        }
    }

    fn remember_spots(
        &mut self,
        doc: &Document<'a>,
        section: &'static str,
        name: &str,
        prop: &ObjectProp<'_>,
        object: &Object<'_>,
    ) {
        let mut remember = |key: &str, range: Range| {
            let spot = Spot { doc: *doc, range };
            self.spots.insert(MeshPath::key(section, name, key), spot);
        };
        remember("", prop.range);
        for inner in &object.properties {
            remember(inner.name.as_str(), inner.value.range());
        }
    }

    fn add_mesh_fault(&mut self, fault: &ValidationError) {
        let of_object = MeshPath::key(fault.path.section, &fault.path.object, "");
        let spot = self.spots.get(&fault.path);
        let spot = spot.or_else(|| self.spots.get(&of_object));
        let unplaced = Place {
            file: fault.path.to_string(),
            line: 1,
            column: 1,
        };
        let place = spot.map_or(unplaced, Spot::place);
        self.faults.push(Diagnostic::new(
            place,
            fault.message.clone(),
            fault.remedy.clone(),
        ));
    }

    /// The tables admit only what the types behind them can store; a difference between the two is
    /// reported at the first place of the set.
    fn add_type_fault(&mut self, err: &serde_json::Error) {
        let first = self.spots.values().next().map(Spot::place);
        let place = first.unwrap_or(Place {
            file: "mesh".to_owned(),
            line: 1,
            column: 1,
        });
        let remedy = "compare the values with the file format reference";
        self.faults
            .push(Diagnostic::new(place, err.to_string(), remedy));
    }
}
