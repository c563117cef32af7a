//! Owns the check of JSON documents against a table of fields, so that every
//! mistake is reported with its place and what was expected, not only the
//! first.
//!
//! Invariant: a value that passes its schema is one that serde accepts too.

use std::fmt;

use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// One mistake in a JSON document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub struct Mistake {
    /// Path of the value, such as `$.teams.north.weight`.
    pub place: String,
    /// What was expected there, and what was found.
    pub expected: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.expected)
    }
}

/// The shape that a value must have.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// A name: 1 to 64 letters, digits, `-`, `_` or `.`.
    Name,
    /// Any text that is not empty.
    Text,
    /// An IP address with port, such as `127.0.0.1:7000`.
    Address,
    /// `true` or `false`.
    Flag,
    /// A whole number in a range, both ends included.
    Count(u64, u64),
    /// A number in a range, both ends included.
    Ratio(f64, f64),
    /// One of a closed list of words.
    Word(&'static [&'static str]),
    /// A list of values of one shape.
    List(&'static Shape),
    /// An object with names of the document's own choosing.
    Map(&'static Shape),
    /// An object with the fields of a table.
    Object(&'static [FieldRule]),
}

/// One field of an object.
#[derive(Debug, Clone, Copy)]
pub struct FieldRule {
    /// The field's name.
    pub name: &'static str,
    /// Its shape.
    pub shape: Shape,
    /// Whether it must be there.
    pub required: bool,
}

/// A field that must be there.
pub const fn required(name: &'static str, shape: Shape) -> FieldRule {
    FieldRule { name, shape, required: true }
}

/// A field that has a default.
pub const fn optional(name: &'static str, shape: Shape) -> FieldRule {
    FieldRule { name, shape, required: false }
}

const MAX_NAME_LENGTH: usize = 64;

/// Reads `text` as JSON of `shape`.
///
/// # Errors
/// Every mistake, in the order of the document's table.
pub fn read_document<T: DeserializeOwned>(text: &str, shape: &Shape) -> Result<T, Vec<Mistake>> {
    let value = parse_value(text)?;
    let mut mistakes = Vec::new();
    check_value("$", &value, shape, &mut mistakes);
    if !mistakes.is_empty() {
        return Err(mistakes);
    }
    serde_path_to_error::deserialize(value).map_err(|error| {
        vec![Mistake { place: format!("$.{}", error.path()), expected: error.inner().to_string() }]
    })
}

fn parse_value(text: &str) -> Result<Value, Vec<Mistake>> {
    serde_json::from_str(text).map_err(|error| {
        let place = format!("line {} column {}", error.line(), error.column());
        vec![Mistake { place, expected: format!("expected JSON: {error}") }]
    })
}

fn check_value(place: &str, value: &Value, shape: &Shape, mistakes: &mut Vec<Mistake>) {
    match shape {
        Shape::List(item) => check_list(place, value, item, mistakes),
        Shape::Map(item) => check_map(place, value, item, mistakes),
        Shape::Object(fields) => check_object(place, value, fields, mistakes),
        leaf => {
            if !leaf_fits(value, leaf) {
                mistakes.push(mistake(place, &expectation(leaf), value));
            }
        }
    }
}

fn check_list(place: &str, value: &Value, item: &Shape, mistakes: &mut Vec<Mistake>) {
    let Value::Array(items) = value else {
        mistakes.push(mistake(place, "a list", value));
        return;
    };
    for (position, entry) in items.iter().enumerate() {
        check_value(&format!("{place}[{position}]"), entry, item, mistakes);
    }
}

fn check_map(place: &str, value: &Value, item: &Shape, mistakes: &mut Vec<Mistake>) {
    let Value::Object(entries) = value else {
        mistakes.push(mistake(place, "an object", value));
        return;
    };
    for (name, entry) in entries {
        let entry_place = format!("{place}.{name}");
        if !is_name(name) {
            mistakes.push(mistake(&entry_place, NAME_EXPECTED, &Value::String(name.clone())));
        }
        check_value(&entry_place, entry, item, mistakes);
    }
}

fn check_object(place: &str, value: &Value, fields: &[FieldRule], mistakes: &mut Vec<Mistake>) {
    let Value::Object(entries) = value else {
        mistakes.push(mistake(place, "an object", value));
        return;
    };
    for field in fields {
        check_field(place, entries, field, mistakes);
    }
    for name in entries.keys() {
        if !fields.iter().any(|field| field.name == name) {
            let known: Vec<&str> = fields.iter().map(|field| field.name).collect();
            let expected = format!("unknown field; expected one of {}", known.join(", "));
            mistakes.push(Mistake { place: format!("{place}.{name}"), expected });
        }
    }
}

fn check_field(
    place: &str,
    entries: &Map<String, Value>,
    field: &FieldRule,
    mistakes: &mut Vec<Mistake>,
) {
    let field_place = format!("{place}.{}", field.name);
    match entries.get(field.name) {
        Some(value) => check_value(&field_place, value, &field.shape, mistakes),
        None if field.required => {
            let expected = format!("missing; expected {}", expectation(&field.shape));
            mistakes.push(Mistake { place: field_place, expected });
        }
        None => {}
    }
}

fn leaf_fits(value: &Value, shape: &Shape) -> bool {
    match shape {
        Shape::Name => value.as_str().is_some_and(is_name),
        Shape::Text => value.as_str().is_some_and(|text| !text.is_empty()),
        Shape::Address => value.as_str().is_some_and(is_address),
        Shape::Flag => value.is_boolean(),
        Shape::Count(least, most) => value.as_u64().is_some_and(|n| (*least..=*most).contains(&n)),
        Shape::Ratio(least, most) => value.as_f64().is_some_and(|n| (*least..=*most).contains(&n)),
        Shape::Word(words) => value.as_str().is_some_and(|word| words.contains(&word)),
        Shape::List(_) | Shape::Map(_) | Shape::Object(_) => true,
    }
}

const NAME_EXPECTED: &str = "a name of 1 to 64 letters, digits, '-', '_' or '.'";

fn expectation(shape: &Shape) -> String {
    match shape {
        Shape::Name => NAME_EXPECTED.to_owned(),
        Shape::Text => "a text that is not empty".to_owned(),
        Shape::Address => "an IP address with port, such as \"127.0.0.1:7000\"".to_owned(),
        Shape::Flag => "true or false".to_owned(),
        Shape::Count(least, most) => format!("a whole number from {least} to {most}"),
        Shape::Ratio(least, most) => format!("a number from {least} to {most}"),
        Shape::Word(words) => format!("one of {}", words.join(", ")),
        Shape::List(_) => "a list".to_owned(),
        Shape::Map(_) | Shape::Object(_) => "an object".to_owned(),
    }
}

fn mistake(place: &str, expected: &str, found: &Value) -> Mistake {
    Mistake { place: place.to_owned(), expected: format!("expected {expected}, found {found}") }
}

/// Whether `name` may name a service, a team, a node or a submission.
pub fn is_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH && name.chars().all(allowed)
}

fn is_address(text: &str) -> bool {
    text.parse::<std::net::SocketAddr>().is_ok()
}
