//! Reads files one by one and checks them as a whole.

use std::collections::BTreeMap;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use lavenderhatch_core::Mesh;
use lavenderhatch_core::mesh::{MeshFault, MeshParts, MeshPath};
use lavenderhatch_core::names::name_fault;
use serde_json::{Map, Value as Json};

use super::tables::{LIMITS, LIMITS_SECTION, SECTIONS};
use crate::document::{Document, find};
use crate::fault::{FileFault, Place};
use crate::field::{Field, read_object};
use crate::source::Source;

/// What was read so far of a set of files.
#[derive(Default)]
pub(super) struct MeshReader {
    sections: Map<String, Json>,
    places: BTreeMap<MeshPath, Place>,
    faults: Vec<FileFault>,
}

impl MeshReader {
    /// Reads one file.
    pub(super) fn read(&mut self, source: &Source) {
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
    pub(super) fn finish(mut self) -> Result<Mesh, Vec<FileFault>> {
        if self.faults.is_empty() {
            let sections = Json::Object(std::mem::take(&mut self.sections));
            match serde_json::from_value::<MeshParts>(sections) {
                Ok(parts) => match Mesh::check(parts) {
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

    fn read_section(&mut self, doc: &Document<'_>, prop: &ObjectProp<'_>) {
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

    fn read_limits(&mut self, doc: &Document<'_>, prop: &ObjectProp<'_>, object: &Object<'_>) {
        if self.sections.contains_key(LIMITS_SECTION) {
            let message = "limits are given in another file as well";
            self.faults
                .push(doc.fault(prop.range, message, "give limits in one file"));
            return;
        }
        self.remember_places(doc, LIMITS_SECTION, "", prop, object);
        if let Some(map) = read_object(doc, object, LIMITS, &mut self.faults) {
            self.sections
                .insert(LIMITS_SECTION.to_owned(), Json::Object(map));
        }
    }

    fn read_named(
        &mut self,
        doc: &Document<'_>,
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
        doc: &Document<'_>,
        section: &'static str,
        fields: &[Field],
        prop: &ObjectProp<'_>,
    ) {
        let name = prop.name.as_str();
        if let Some(fault) = name_fault(name) {
            let message = format!("name {name:?} {fault}");
            self.faults
                .push(doc.fault(prop.range, message, "use 1 to 63 of a-z, 0-9 and -"));
        }
        if let Some(other) = self.places.get(&MeshPath::key(section, name, "")) {
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
        self.remember_places(doc, section, name, prop, object);
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

    fn remember_places(
        &mut self,
        doc: &Document<'_>,
        section: &'static str,
        name: &str,
        prop: &ObjectProp<'_>,
        object: &Object<'_>,
    ) {
        self.places
            .insert(MeshPath::key(section, name, ""), doc.place(prop.range));
        for inner in &object.properties {
            let key = inner.name.as_str();
            let value = find(object, key).map_or(inner.range, |prop| prop.value.range());
            self.places
                .insert(MeshPath::key(section, name, key), doc.place(value));
        }
    }

    fn add_mesh_fault(&mut self, fault: &MeshFault) {
        let of_object = MeshPath::key(fault.path.section, &fault.path.object, "");
        let place = self
            .places
            .get(&fault.path)
            .or_else(|| self.places.get(&of_object));
        let unplaced = Place {
            file: fault.path.to_string(),
            line: 1,
            column: 1,
        };
        let place = place.cloned().unwrap_or(unplaced);
        self.faults.push(FileFault::new(
            place,
            fault.message.clone(),
            fault.remedy.clone(),
        ));
    }

    /// The tables admit only what the types behind them can store; a difference between the two is
    /// reported at the first place of the set.
    fn add_type_fault(&mut self, err: &serde_json::Error) {
        let first = self.places.values().next().cloned();
        let place = first.unwrap_or(Place {
            file: "mesh".to_owned(),
            line: 1,
            column: 1,
        });
        let remedy = "compare the values with the file format reference";
        self.faults
            .push(FileFault::new(place, err.to_string(), remedy));
    }
}
