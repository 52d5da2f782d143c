//! Tables of the keys that an object may have, and the reader that applies them.

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::Ranged;
use lavenderhatch_core::names::invalid_name_reason;
use serde_json::{Map, Value as Json};

use crate::diagnostic::Diagnostic;
use crate::document::{Document, find};

/// Type of a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FieldType {
    /// Any text.
    Text,
    /// A text that is a checked name.
    Name,
    /// `IP:PORT`.
    Address,
    /// One of a fixed list of texts.
    Choice(&'static [&'static str]),
    /// A whole number from 0 to 2^64 - 1.
    Integer,
    /// A whole number from 0 to 2^32 - 1.
    SmallInteger,
    /// A finite number.
    Number,
    /// `true` or `false`.
    Boolean,
    /// A list of texts.
    TextList,
    /// A list of `IP:PORT`.
    AddressList,
    /// A list of URLs with at least one entry.
    UrlList,
    /// A time as in RFC 3339, stored in milliseconds since the Unix epoch.
    Time,
}

/// One key that an object may have.
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

/// Reads an object by its table. `None` means that faults were added.
pub(crate) fn read_object(
    doc: &Document<'_>,
    object: &Object<'_>,
    fields: &[Field],
    faults: &mut Vec<Diagnostic>,
) -> Option<Map<String, Json>> {
    let before = faults.len();
    doc.check_repeated_keys(object, faults);
    let mut map = Map::new();
    for prop in &object.properties {
        let name = prop.name.as_str();
        let Some(field) = fields.iter().find(|field| field.name == name) else {
            faults.push(unknown_key(doc, prop, fields));
            continue;
        };
        match read_value(field.kind, &prop.value) {
            Ok(value) => {
                map.insert(name.to_owned(), value);
            }
            Err(fault) => {
                let message = format!("{name:?} {}", fault.message);
                faults.push(doc.fault(prop.value.range(), message, fault.remedy));
            }
        }
    }
    for field in fields.iter().filter(|field| field.is_required) {
        if find(object, field.name).is_none() {
            let message = format!("{:?} is missing", field.name);
            faults.push(doc.fault(object.range, message, format!("add {:?}", field.name)));
        }
    }
    (faults.len() == before).then_some(map)
}

/// A fault that names the keys that are allowed.
pub(crate) fn unknown_key(
    doc: &Document<'_>,
    prop: &ObjectProp<'_>,
    fields: &[Field],
) -> Diagnostic {
    let known: Vec<&str> = fields.iter().map(|field| field.name).collect();
    let message = format!("unknown key {:?}", prop.name.as_str());
    doc.fault(
        prop.range,
        message,
        format!("use one of: {}", known.join(", ")),
    )
}

struct ValueFault {
    message: String,
    remedy: String,
}

fn value_fault(message: impl Into<String>, remedy: impl Into<String>) -> ValueFault {
    ValueFault {
        message: message.into(),
        remedy: remedy.into(),
    }
}

fn read_value(kind: FieldType, value: &Value<'_>) -> Result<Json, ValueFault> {
    match kind {
        FieldType::Boolean => match value {
            Value::BooleanLit(lit) => Ok(Json::Bool(lit.value)),
            _ => Err(value_fault("is not a boolean", "write true or false")),
        },
        FieldType::Integer => read_number(value, |text| text.parse::<u64>().ok().map(Json::from))
            .ok_or_else(|| value_fault("is not a whole number", "write a number such as 12")),
        FieldType::SmallInteger => {
            read_number(value, |text| text.parse::<u32>().ok().map(Json::from)).ok_or_else(|| {
                value_fault(
                    "is not a whole number up to 4294967295",
                    "write a number such as 12",
                )
            })
        }
        FieldType::Number => read_number(value, read_finite)
            .ok_or_else(|| value_fault("is not a number", "write a number such as 0.5")),
        FieldType::TextList => read_list(value, |_| Ok(())),
        FieldType::AddressList => read_list(value, check_address),
        FieldType::UrlList => {
            let list = read_list(value, check_url)?;
            match list.as_array().is_some_and(|list| !list.is_empty()) {
                true => Ok(list),
                false => Err(value_fault("is empty", "give at least one URL")),
            }
        }
        _ => read_text(kind, text_of(value)?),
    }
}

fn read_text(kind: FieldType, text: &str) -> Result<Json, ValueFault> {
    match kind {
        FieldType::Name => check_name(text)?,
        FieldType::Address => check_address(text)?,
        FieldType::Choice(choices) => check_choice(text, choices)?,
        FieldType::Time => return read_time(text),
        _ => {}
    }
    Ok(Json::from(text))
}

fn text_of<'v>(value: &'v Value<'_>) -> Result<&'v str, ValueFault> {
    match value {
        Value::StringLit(lit) => Ok(&lit.value),
        _ => Err(value_fault(
            "is not a text",
            "write a text in double quotes",
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
    check: impl Fn(&str) -> Result<(), ValueFault>,
) -> Result<Json, ValueFault> {
    let Value::Array(array) = value else {
        return Err(value_fault("is not a list", "write a list in brackets"));
    };
    let mut list = Vec::with_capacity(array.elements.len());
    for element in &array.elements {
        let text = text_of(element)?;
        check(text)?;
        list.push(Json::from(text));
    }
    Ok(Json::Array(list))
}

fn check_name(text: &str) -> Result<(), ValueFault> {
    match invalid_name_reason(text) {
        None => Ok(()),
        Some(fault) => Err(value_fault(
            format!("{fault}: {text:?}"),
            "use 1 to 63 of a-z, 0-9 and -",
        )),
    }
}

fn check_address(text: &str) -> Result<(), ValueFault> {
    let parsed = text.parse::<std::net::SocketAddr>();
    parsed
        .map(|_| ())
        .map_err(|_| value_fault(format!("is not an address: {text:?}"), "write IP:PORT"))
}

fn check_url(text: &str) -> Result<(), ValueFault> {
    let fault = || value_fault(format!("is not a URL: {text:?}"), "write http://IP:PORT");
    let rest = text.strip_prefix("http://").ok_or_else(fault)?;
    check_address(rest.trim_end_matches('/')).map_err(|_| fault())
}

fn check_choice(text: &str, choices: &[&str]) -> Result<(), ValueFault> {
    if choices.contains(&text) {
        return Ok(());
    }
    let remedy = format!("use one of: {}", choices.join(", "));
    Err(value_fault(format!("is not known: {text:?}"), remedy))
}

fn read_time(text: &str) -> Result<Json, ValueFault> {
    let fault = || {
        value_fault(
            format!("is not a time: {text:?}"),
            "write 2026-01-31T10:00:00Z",
        )
    };
    let time = humantime::parse_rfc3339(text).map_err(|_| fault())?;
    let since = time
        .duration_since(std::time::UNIX_EPOCH)
        .map_err(|_| fault())?;
    Ok(Json::from(since.as_millis() as u64))
}
