//! Parsing of a file into a syntax tree, and conversion of ranges to locations.

use std::collections::HashSet;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::diagnostic::{Diagnostic, Location};
use crate::source::Source;

/// JSON with comments and trailing commas, without other extensions.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
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

/// A file that is being parsed.
#[derive(Clone, Copy)]
pub(crate) struct Document<'a> {
    source: &'a Source,
}

impl<'a> Document<'a> {
    pub(crate) fn new(source: &'a Source) -> Self {
        Self { source }
    }

    /// Parses the text, which must consist of one object.
    pub(crate) fn parse(&self) -> Result<Object<'a>, Diagnostic> {
        let collect = CollectOptions::default();
        let parsed = parse_to_ast(&self.source.text, &collect, &PARSE_OPTIONS).map_err(|err| {
            let location = self.location(err.range());
            Diagnostic::new(location, err.kind().to_string(), "write JSON with comments")
        })?;
        let file_start = Range::new(0, 0);
        match parsed.value {
            Some(Value::Object(object)) => Ok(object),
            value => {
                let range = value.map_or(file_start, |value| value.range());
                let remedy = "write one object in braces";
                Err(Diagnostic::new(
                    self.location(range),
                    "the file contains no object",
                    remedy,
                ))
            }
        }
    }

    /// Returns the location of the start of a range.
    pub(crate) fn location(&self, range: Range) -> Location {
        let text = &self.source.text;
        let mut start = range.start.min(text.len());
        while !text.is_char_boundary(start) {
            start -= 1;
        }
        let before = &text[..start];
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Location {
            file: self.source.name.clone(),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }

    /// Creates a diagnostic at the start of a range.
    pub(crate) fn error_at(
        &self,
        range: Range,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Diagnostic {
        Diagnostic::new(self.location(range), message, remedy)
    }

    /// Reports keys that occur more than once in an object.
    pub(crate) fn check_duplicate_keys(
        &self,
        object: &Object<'a>,
        diagnostics: &mut Vec<Diagnostic>,
    ) {
        let mut seen = HashSet::with_capacity(object.properties.len());
        for prop in &object.properties {
            let name = prop.name.as_str();
            if !seen.insert(name) {
                let message = format!("{name:?} occurs twice in this object");
                diagnostics.push(self.error_at(prop.range, message, "remove one of the two"));
            }
        }
    }
}

/// Finds the property with this key.
pub(crate) fn find_property<'o, 'a>(
    object: &'o Object<'a>,
    key: &str,
) -> Option<&'o ObjectProp<'a>> {
    object
        .properties
        .iter()
        .find(|prop| prop.name.as_str() == key)
}
