//! A parsed file: its syntax tree with places.

use std::collections::HashSet;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::diagnostic::{Diagnostic, Place};
use crate::source::Source;

/// JSON with comments and trailing commas, and nothing else beyond JSON.
const SYNTAX: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// A file whose text is being read.
#[derive(Clone, Copy)]
pub(crate) struct Document<'a> {
    source: &'a Source,
}

impl<'a> Document<'a> {
    pub(crate) fn new(source: &'a Source) -> Self {
        Self { source }
    }

    /// Parses the text, which must hold one object.
    pub(crate) fn parse(&self) -> Result<Object<'a>, Diagnostic> {
        let collect = CollectOptions::default();
        let parsed = parse_to_ast(&self.source.text, &collect, &SYNTAX).map_err(|err| {
            let place = self.place(err.range());
            Diagnostic::new(place, err.kind().to_string(), "write JSON with comments")
        })?;
        let whole = Range::new(0, 0);
        match parsed.value {
            Some(Value::Object(object)) => Ok(object),
            value => {
                let range = value.map_or(whole, |value| value.range());
                let remedy = "write one object in braces";
                Err(Diagnostic::new(
                    self.place(range),
                    "the file holds no object",
                    remedy,
                ))
            }
        }
    }

    /// Where a range starts.
    pub(crate) fn place(&self, range: Range) -> Place {
        let text = &self.source.text;
        let mut start = range.start.min(text.len());
        while !text.is_char_boundary(start) {
            start -= 1;
        }
        let before = &text[..start];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Place {
            file: self.source.name.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }

    /// A fault at a range.
    pub(crate) fn fault(
        &self,
        range: Range,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Diagnostic {
        Diagnostic::new(self.place(range), message, remedy)
    }

    /// Reports keys that stand twice in one object.
    pub(crate) fn check_repeated_keys(&self, object: &Object<'a>, faults: &mut Vec<Diagnostic>) {
        let mut seen = HashSet::with_capacity(object.properties.len());
        for prop in &object.properties {
            let name = prop.name.as_str();
            if !seen.insert(name) {
                let message = format!("{name:?} stands twice in this object");
                faults.push(self.fault(prop.range, message, "remove one of the two"));
            }
        }
    }
}

/// The value of a key, with its property.
pub(crate) fn find<'o, 'a>(object: &'o Object<'a>, key: &str) -> Option<&'o ObjectProp<'a>> {
    object
        .properties
        .iter()
        .find(|prop| prop.name.as_str() == key)
}
