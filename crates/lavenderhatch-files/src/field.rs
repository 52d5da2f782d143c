//! Fields that an object may have, and the validation of objects against them.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use lavenderhatch_core::names::invalid_name_reason;
use serde_json::{Map, Value as Json};

use crate::diagnostic::Diagnostic;
use crate::document::{Document, find_property};

/// Type of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FieldType {
    /// Any string.
    Text,
    /// A string that is a valid name.
    Name,
    /// `IP:PORT`.
    Address,
    /// One of a fixed list of strings.
    Choice(&'static [&'static str]),
    /// A whole number from 0 to 2^64 - 1.
    Integer,
    /// A whole number from 0 to 2^32 - 1.
    SmallInteger,
    /// A finite number.
    Number,
    /// `true` or `false`.
    Boolean,
    /// A list of strings.
    TextList,
    /// A list of `IP:PORT`.
    AddressList,
    /// A list of URLs with at least one entry.
    UrlList,
    /// A time in the format of RFC 3339, converted to milliseconds since the Unix epoch.
    Time,
}

/// A key that an object may have, and the type of its value.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) kind: FieldType,
    pub(crate) is_required: bool,
}

impl Field {
    pub(crate) const fn required(name: &'static str, kind: FieldType) -> Self {
        Self {
            name,
            kind,
            is_required: true,
        }
    }

    pub(crate) const fn optional(name: &'static str, kind: FieldType) -> Self {
        Self {
            name,
            kind,
            is_required: false,
        }
    }
}

/// Reads an object and validates it against `fields`.
///
/// Returns `None` if the object has errors, which are added to `diagnostics`.
pub(crate) fn read_object(
    doc: &Document<'_>,
    object: &Object<'_>,
    fields: &[Field],
    diagnostics: &mut Vec<Diagnostic>,
) -> Option<Map<String, Json>> {
    let before = diagnostics.len();
    doc.check_duplicate_keys(object, diagnostics);
    let mut map = Map::new();
    for prop in &object.properties {
        let name = prop.name.as_str();
        let Some(field) = fields.iter().find(|field| field.name == name) else {
            diagnostics.push(unknown_key_diagnostic(doc, prop, fields));
            continue;
        };
        match read_value(field.kind, &prop.value) {
            Ok(value) => {
                map.insert(name.to_owned(), value);
            }
            Err(err) => {
                let message = format!("{name:?} {}", err.message);
                diagnostics.push(doc.error_at(prop.value.range(), message, err.remedy));
            }
        }
    }
    for field in fields.iter().filter(|field| field.is_required) {
        if find_property(object, field.name).is_none() {
            let message = format!("{:?} is missing", field.name);
            diagnostics.push(doc.error_at(object.range, message, format!("add {:?}", field.name)));
        }
    }
    (diagnostics.len() == before).then_some(map)
}

/// Creates a diagnostic for an unknown key, which lists the allowed keys.
pub(crate) fn unknown_key_diagnostic(
    doc: &Document<'_>,
    prop: &ObjectProp<'_>,
    fields: &[Field],
) -> Diagnostic {
    let known: Vec<&str> = fields.iter().map(|field| field.name).collect();
    let message = format!("unknown key {:?}", prop.name.as_str());
    doc.error_at(
        prop.range,
        message,
        format!("use one of: {}", known.join(", ")),
    )
}

struct ValueError {
    message: String,
    remedy: String,
}

fn value_error(message: impl Into<String>, remedy: impl Into<String>) -> ValueError {
    ValueError {
        message: message.into(),
        remedy: remedy.into(),
    }
}

fn read_value(kind: FieldType, value: &Value<'_>) -> Result<Json, ValueError> {
    match kind {
        FieldType::Boolean => match value {
            Value::BooleanLit(lit) => Ok(Json::Bool(lit.value)),
            _ => Err(value_error("is not a boolean", "write true or false")),
        },
        FieldType::Integer => read_number(value, |text| text.parse::<u64>().ok().map(Json::from))
            .ok_or_else(|| value_error("is not a whole number", "write a number such as 12")),
        FieldType::SmallInteger => {
            read_number(value, |text| text.parse::<u32>().ok().map(Json::from)).ok_or_else(|| {
                value_error(
                    "is not a whole number up to 4294967295",
                    "write a number such as 12",
                )
            })
        }
        FieldType::Number => read_number(value, read_finite)
            .ok_or_else(|| value_error("is not a number", "write a number such as 0.5")),
        FieldType::TextList => read_list(value, |_| Ok(())),
        FieldType::AddressList => read_list(value, check_address),
        FieldType::UrlList => {
            let list = read_list(value, check_url)?;
            match list.as_array().is_some_and(|list| !list.is_empty()) {
                true => Ok(list),
                false => Err(value_error("is empty", "give at least one URL")),
            }
        }
        _ => read_text(kind, string_value(value)?),
    }
}

fn read_text(kind: FieldType, text: &str) -> Result<Json, ValueError> {
    match kind {
        FieldType::Name => check_name(text)?,
        FieldType::Address => check_address(text)?,
        FieldType::Choice(choices) => check_choice(text, choices)?,
        FieldType::Time => return read_time(text),
        _ => {}
    }
    Ok(Json::from(text))
}

fn string_value<'v>(value: &'v Value<'_>) -> Result<&'v str, ValueError> {
    match value {
        Value::StringLit(lit) => Ok(&lit.value),
        _ => Err(value_error(
            "is not a string",
            "write a string in double quotes",
        )),
    }
}

fn read_number(value: &Value<'_>, parse: impl Fn(&str) -> Option<Json>) -> Option<Json> {
    match value {
        Value::NumberLit(lit) => parse(lit.value),
        _ => None,
    }
}

fn read_finite(text: &str) -> Option<Json> {
    let number = text.parse::<f64>().ok()?;
    number.is_finite().then(|| Json::from(number))
}

fn read_list(
    value: &Value<'_>,
    check: impl Fn(&str) -> Result<(), ValueError>,
) -> Result<Json, ValueError> {
    let Value::Array(array) = value else {
        return Err(value_error("is not a list", "write a list in brackets"));
    };
    let mut list = Vec::with_capacity(array.elements.len());
    for element in &array.elements {
        let text = string_value(element)?;
        check(text)?;
        list.push(Json::from(text));
    }
    Ok(Json::Array(list))
}

fn check_name(text: &str) -> Result<(), ValueError> {
    match invalid_name_reason(text) {
        None => Ok(()),
        Some(reason) => Err(value_error(
            format!("{reason}: {text:?}"),
            "use 1 to 63 of a-z, 0-9 and -",
        )),
    }
}

fn check_address(text: &str) -> Result<(), ValueError> {
    let parsed = text.parse::<std::net::SocketAddr>();
    parsed
        .map(|_| ())
        .map_err(|_| value_error(format!("is not an address: {text:?}"), "write IP:PORT"))
}

fn check_url(text: &str) -> Result<(), ValueError> {
    let error = || value_error(format!("is not a URL: {text:?}"), "write http://IP:PORT");
    let rest = text.strip_prefix("http://").ok_or_else(error)?;
    check_address(rest.trim_end_matches('/')).map_err(|_| error())
}

fn check_choice(text: &str, choices: &[&str]) -> Result<(), ValueError> {
    if choices.contains(&text) {
        return Ok(());
    }
    let remedy = format!("use one of: {}", choices.join(", "));
    Err(value_error(format!("is not known: {text:?}"), remedy))
}

fn read_time(text: &str) -> Result<Json, ValueError> {
    let error = || {
        value_error(
            format!("is not a time: {text:?}"),
            "write 2026-01-31T10:00:00Z",
        )
    };
    let time = humantime::parse_rfc3339(text).map_err(|_| error())?;
    let since = time
        .duration_since(std::time::UNIX_EPOCH)
        .map_err(|_| error())?;
    Ok(Json::from(since.as_millis() as u64))
}
