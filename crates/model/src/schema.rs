//! Owns the validation of JSON documents against a schema, a table of fields,
//! so that all errors are reported with their path and the expected value, not
//! only the first.
//!
//! Invariant: a value that passes its schema is also accepted by serde.

use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// One validation error in a JSON document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct ValidationError {
    /// Path of the value, such as `$.teams.north.weight`.
    #[serde(rename = "place")]
    pub path: String,
    /// The expected value, and the value found.
    pub expected: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.expected)
    }
}

/// Schema of a JSON value.
#[derive(Debug, Clone, Copy)]
pub enum ValueSchema {
    /// A name: 1 to 64 letters, digits, `-`, `_` or `.`.
    Name,
    /// A non-empty string.
    Text,
    /// An IP address with a port, such as `127.0.0.1:7000`.
    Address,
    /// `true` or `false`.
    Boolean,
    /// An integer in a range, bounds included.
    Integer(u64, u64),
    /// A number in a range, bounds included.
    Number(f64, f64),
    /// One of a closed list of strings.
    OneOf(&'static [&'static str]),
    /// An array whose items share one schema.
    List(&'static ValueSchema),
    /// An object with arbitrary valid names as keys and values of one schema.
    Map(&'static ValueSchema),
    /// An object with the given fields and no others.
    Object(&'static [FieldRule]),
}

/// Schema of one field of an object.
#[derive(Debug, Clone, Copy)]
pub struct FieldRule {
    /// Key of the field.
    pub name: &'static str,
    /// Schema of its value.
    pub schema: ValueSchema,
    /// Whether the field must be present.
    pub required: bool,
}

/// A field that must be present.
pub const fn required(name: &'static str, schema: ValueSchema) -> FieldRule {
    FieldRule { name, schema, required: true }
}

/// A field that may be absent and then has a default.
pub const fn optional(name: &'static str, schema: ValueSchema) -> FieldRule {
    FieldRule { name, schema, required: false }
}

const MAX_NAME_LENGTH: usize = 64;

/// Parses `text` as JSON, validates it against `schema` and deserializes it.
///
/// # Errors
/// Every validation error, in the order of the fields in the schema.
pub fn read_document<T: DeserializeOwned>(
    text: &str,
    schema: &ValueSchema,
) -> Result<T, Vec<ValidationError>> {
    let value = parse_value(text)?;
    let mut errors = Vec::new();
    check_value("$", &value, schema, &mut errors);
    if !errors.is_empty() {
        return Err(errors);
    }
    serde_path_to_error::deserialize(value).map_err(|error| {
        vec![ValidationError {
            path: format!("$.{}", error.path()),
            expected: error.inner().to_string(),
        }]
    })
}

fn parse_value(text: &str) -> Result<Value, Vec<ValidationError>> {
    serde_json::from_str(text).map_err(|error| {
        let path = format!("line {} column {}", error.line(), error.column());
        vec![ValidationError { path, expected: format!("expected JSON: {error}") }]
    })
}

fn check_value(path: &str, value: &Value, schema: &ValueSchema, errors: &mut Vec<ValidationError>) {
    match schema {
        ValueSchema::List(item) => check_list(path, value, item, errors),
        ValueSchema::Map(item) => check_map(path, value, item, errors),
        ValueSchema::Object(fields) => check_object(path, value, fields, errors),
        leaf => {
            if !matches_leaf(value, leaf) {
                errors.push(unexpected_value(path, &describe_schema(leaf), value));
            }
        }
    }
}

fn check_list(path: &str, value: &Value, item: &ValueSchema, errors: &mut Vec<ValidationError>) {
    let Value::Array(items) = value else {
        errors.push(unexpected_value(path, "a list", value));
        return;
    };
    for (position, entry) in items.iter().enumerate() {
        check_value(&format!("{path}[{position}]"), entry, item, errors);
    }
}

fn check_map(path: &str, value: &Value, item: &ValueSchema, errors: &mut Vec<ValidationError>) {
    let Value::Object(entries) = value else {
        errors.push(unexpected_value(path, "an object", value));
        return;
    };
    for (name, entry) in entries {
        let entry_path = format!("{path}.{name}");
        if !is_name(name) {
            errors.push(unexpected_value(&entry_path, NAME_EXPECTED, &Value::String(name.clone())));
        }
        check_value(&entry_path, entry, item, errors);
    }
}

fn check_object(
    path: &str,
    value: &Value,
    fields: &[FieldRule],
    errors: &mut Vec<ValidationError>,
) {
    let Value::Object(entries) = value else {
        errors.push(unexpected_value(path, "an object", value));
        return;
    };
    for field in fields {
        check_field(path, entries, field, errors);
    }
    for name in entries.keys() {
        if !fields.iter().any(|field| field.name == name) {
            let known: Vec<&str> = fields.iter().map(|field| field.name).collect();
            let expected = format!("unknown field; expected one of {}", known.join(", "));
            errors.push(ValidationError { path: format!("{path}.{name}"), expected });
        }
    }
}

fn check_field(
    path: &str,
    entries: &Map<String, Value>,
    field: &FieldRule,
    errors: &mut Vec<ValidationError>,
) {
    let field_path = format!("{path}.{}", field.name);
    match entries.get(field.name) {
        Some(value) => check_value(&field_path, value, &field.schema, errors),
        None if field.required => {
            let expected = format!("missing; expected {}", describe_schema(&field.schema));
            errors.push(ValidationError { path: field_path, expected });
        }
        None => {}
    }
}

fn matches_leaf(value: &Value, schema: &ValueSchema) -> bool {
    match schema {
        ValueSchema::Name => value.as_str().is_some_and(is_name),
        ValueSchema::Text => value.as_str().is_some_and(|text| !text.is_empty()),
        ValueSchema::Address => value.as_str().is_some_and(is_address),
        ValueSchema::Boolean => value.is_boolean(),
        ValueSchema::Integer(min, max) => {
            value.as_u64().is_some_and(|n| (*min..=*max).contains(&n))
        }
        ValueSchema::Number(min, max) => value.as_f64().is_some_and(|n| (*min..=*max).contains(&n)),
        ValueSchema::OneOf(choices) => value.as_str().is_some_and(|text| choices.contains(&text)),
        ValueSchema::List(_) | ValueSchema::Map(_) | ValueSchema::Object(_) => true,
    }
}

const NAME_EXPECTED: &str = "a name of 1 to 64 letters, digits, '-', '_' or '.'";

fn describe_schema(schema: &ValueSchema) -> String {
    match schema {
        ValueSchema::Name => NAME_EXPECTED.to_owned(),
        ValueSchema::Text => "a non-empty string".to_owned(),
        ValueSchema::Address => "an IP address with port, such as \"127.0.0.1:7000\"".to_owned(),
        ValueSchema::Boolean => "true or false".to_owned(),
        ValueSchema::Integer(min, max) => format!("an integer from {min} to {max}"),
        ValueSchema::Number(min, max) => format!("a number from {min} to {max}"),
        ValueSchema::OneOf(choices) => format!("one of {}", choices.join(", ")),
        ValueSchema::List(_) => "a list".to_owned(),
        ValueSchema::Map(_) | ValueSchema::Object(_) => "an object".to_owned(),
    }
}

fn unexpected_value(path: &str, expected: &str, found: &Value) -> ValidationError {
    ValidationError {
        path: path.to_owned(),
        expected: format!("expected {expected}, found {found}"),
    }
}

/// Whether `name` is a valid name of a service, team, node or submission.
pub fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(allowed)
}

fn is_address(text: &str) -> bool {
    text.parse::<std::net::SocketAddr>().is_ok()
}
