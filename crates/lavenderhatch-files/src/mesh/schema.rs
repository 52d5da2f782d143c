//! Schema of mesh files: the sections and the fields of their objects.

use crate::field::{Field, FieldType};

const KEY_POLICIES: &[&str] = &["optional", "required"];

const SERVICE: &[Field] = &[Field::required("slots", FieldType::SmallInteger)];

const ROUTE: &[Field] = &[
    Field::required("path", FieldType::Text),
    Field::optional("methods", FieldType::TextList),
    Field::required("service", FieldType::Name),
    Field::required("rank", FieldType::Name),
    Field::required("timeout_ms", FieldType::Integer),
    Field::required("idempotent", FieldType::Boolean),
    Field::optional("key", FieldType::Choice(KEY_POLICIES)),
];

const RANK: &[Field] = &[
    Field::required("target_ms", FieldType::Integer),
    Field::required("worth", FieldType::SmallInteger),
    Field::required("share", FieldType::Number),
];

const STOP: &[Field] = &[
    Field::required("backend_server", FieldType::Name),
    Field::required("start", FieldType::Time),
    Field::required("deadline", FieldType::Time),
];

pub(super) const LIMITS: &[Field] = &[
    Field::optional("retry_budget", FieldType::Number),
    Field::optional("max_body_bytes", FieldType::Integer),
    Field::optional("max_queue", FieldType::SmallInteger),
    Field::optional("claim_retention_h", FieldType::SmallInteger),
];

/// Name of the section that contains a single object instead of named objects.
pub(super) const LIMITS_SECTION: &str = "limits";

/// Sections that map names to objects, with the fields of these objects.
pub(super) const SECTIONS: &[(&str, &[Field])] = &[
    ("services", SERVICE),
    ("routes", ROUTE),
    ("ranks", RANK),
    ("stops", STOP),
];
