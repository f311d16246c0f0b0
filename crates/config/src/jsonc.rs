//! Typed access to the fields of a JSON-with-comments file, with error recovery.
//!
//! Reading doesn't stop at the first problem: each accessor reports its own diagnostic and returns
//! `None`, and the caller continues with the next field.

use std::{cell::RefCell, fmt::Display, ops::RangeInclusive, str::FromStr};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value},
    common::Ranged,
    parse_to_ast,
};

use crate::{Diagnostic, Diagnostics};

/// A file and the diagnostics reported for it.
pub(crate) struct Document<'a> {
    file: &'a str,
    text: &'a str,
    diagnostics: RefCell<Vec<Diagnostic>>,
}

/// Position of a field in a file, for diagnostics about relations between fields.
#[derive(Clone, Debug)]
pub(crate) struct Position {
    byte: usize,
    field: String,
}

/// The fields of one object.
pub(crate) struct Fields<'a, 'd> {
    document: &'d Document<'a>,
    path: String,
    object: &'d Object<'a>,
    known_fields: RefCell<Vec<&'static str>>,
}

/// The value of a field and its position.
struct FieldValue<'a, 'd> {
    value: &'d Value<'a>,
    position: Position,
}

impl<'a> Document<'a> {
    /// Reads the file's top-level object with `read`.
    ///
    /// Fails with all diagnostics if at least one was reported.
    pub(crate) fn read<T>(
        file: &'a str,
        text: &'a str,
        read: impl FnOnce(&Fields<'_, '_>) -> Option<T>,
    ) -> Result<T, Diagnostics> {
        let document = Document { file, text, diagnostics: RefCell::new(Vec::new()) };
        let result = document.read_root(read);
        let mut diagnostics = document.diagnostics.into_inner();
        diagnostics.sort_by_key(|d| (d.line, d.column));
        match result {
            Some(value) if diagnostics.is_empty() => Ok(value),
            _ => Err(Diagnostics(diagnostics)),
        }
    }

    fn read_root<T>(&self, read: impl FnOnce(&Fields<'_, '_>) -> Option<T>) -> Option<T> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &ParseOptions::default());
        let parsed = match parsed {
            Ok(parsed) => parsed.value,
            Err(error) => {
                let position = Position { byte: error.range().start, field: "(file)".to_owned() };
                self.report(&position, error.kind().to_string(), "JSON with comments");
                return None;
            }
        };
        let Some(Value::Object(object)) = parsed else {
            let position = Position { byte: 0, field: "(file)".to_owned() };
            self.report(&position, "the file holds no object", "one object in braces");
            return None;
        };
        let fields = Fields::new(self, String::new(), &object);
        let result = read(&fields);
        fields.check_field_names();
        result
    }

    /// Reports a problem at a position.
    pub(crate) fn report(&self, position: &Position, wrong: impl Display, expected: impl Display) {
        let (line, column) = self.line_and_column(position.byte);
        self.diagnostics.borrow_mut().push(Diagnostic {
            file: self.file.to_owned(),
            line,
            column,
            field: position.field.clone(),
            wrong: wrong.to_string(),
            expected: expected.to_string(),
        });
    }

    fn line_and_column(&self, byte: usize) -> (usize, usize) {
        let before = self.text.get(..byte).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let line_start = before.rfind('\n').map_or(0, |i| i + 1);
        (line, before[line_start..].chars().count() + 1)
    }
}

impl<'a, 'd> Fields<'a, 'd> {
    fn new(document: &'d Document<'a>, path: String, object: &'d Object<'a>) -> Fields<'a, 'd> {
        Fields { document, path, object, known_fields: RefCell::default() }
    }

    /// The document, for diagnostics about relations between fields.
    pub(crate) fn document(&self) -> &'d Document<'a> {
        self.document
    }

    /// Position of a field, or of the object if the field is missing.
    pub(crate) fn position(&self, name: &str) -> Position {
        let byte = self.object.get(name).map_or(self.object.start(), |p| p.value.start());
        Position { byte, field: self.path_of(name) }
    }

    /// Reads a string that must not be empty.
    pub(crate) fn text(&self, name: &'static str) -> Option<String> {
        let field = self.required(name, "a text")?;
        match field.value {
            Value::StringLit(text) if !text.value.is_empty() => Some(text.value.to_string()),
            other => self.reject(&field, other, "a text that is not empty"),
        }
    }

    /// Reads an id, which consists of lower-case letters, digits and hyphens.
    pub(crate) fn id<T: From<String>>(&self, name: &'static str) -> Option<T> {
        let text = self.text(name)?;
        let id = self.checked_id(&self.position(name), text)?;
        Some(id.into())
    }

    /// Reads a list of ids.
    pub(crate) fn ids<T: From<String>>(&self, name: &'static str) -> Option<Vec<(T, Position)>> {
        let expected = "a list of ids";
        let field = self.required(name, expected)?;
        let Value::Array(array) = field.value else {
            return self.reject(&field, field.value, expected);
        };
        let mut ids = Vec::new();
        for (index, value) in array.elements.iter().enumerate() {
            let position = Position {
                byte: value.start(),
                field: format!("{}[{index}]", field.position.field),
            };
            let Value::StringLit(text) = value else {
                self.document.report(&position, describe(value), "an id");
                continue;
            };
            let id = self.checked_id(&position, text.value.to_string());
            ids.extend(id.map(|id| (id.into(), position)));
        }
        Some(ids)
    }

    /// Reads an integer within a range.
    pub(crate) fn integer(&self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let field = self.required(name, &expected)?;
        self.check_integer(&field, &range, &expected)
    }

    /// Reads an integer within a range, or returns the default if the field is missing.
    pub(crate) fn integer_or(
        &self,
        name: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        match self.has(name) {
            true => self.integer(name, range),
            false => Some(default),
        }
    }

    /// Reads a non-negative number, or returns the default if the field is missing.
    pub(crate) fn weight_or(&self, name: &'static str, default: f64) -> Option<f64> {
        if !self.has(name) {
            return Some(default);
        }
        let expected = "a number of at least 0";
        let field = self.required(name, expected)?;
        let number = match field.value {
            Value::NumberLit(number) => number.value.parse::<f64>().ok(),
            _ => None,
        };
        match number {
            Some(number) if number >= 0.0 => Some(number),
            _ => self.reject(&field, field.value, expected),
        }
    }

    /// Reads a string and parses it, for example as an address.
    pub(crate) fn parsed<T: FromStr>(&self, name: &'static str, expected: &str) -> Option<T> {
        let field = self.required(name, expected)?;
        let parsed = match field.value {
            Value::StringLit(text) => text.value.parse().ok(),
            _ => None,
        };
        match parsed {
            Some(value) => Some(value),
            None => self.reject(&field, field.value, expected),
        }
    }

    /// Reads a list of strings and parses each.
    pub(crate) fn parsed_list<T: FromStr>(
        &self,
        name: &'static str,
        expected: &str,
    ) -> Option<Vec<T>> {
        let list = format!("a list, each {expected}");
        let field = self.required(name, &list)?;
        let Value::Array(array) = field.value else {
            return self.reject(&field, field.value, &list);
        };
        let mut values = Vec::new();
        for (index, value) in array.elements.iter().enumerate() {
            let position = Position {
                byte: value.start(),
                field: format!("{}[{index}]", field.position.field),
            };
            let parsed = match value {
                Value::StringLit(text) => text.value.parse().ok(),
                _ => None,
            };
            match parsed {
                Some(parsed) => values.push(parsed),
                None => self.document.report(&position, describe(value), expected),
            }
        }
        Some(values)
    }

    /// Reads a list of objects, each with `read`.
    pub(crate) fn objects<T>(
        &self,
        name: &'static str,
        mut read: impl FnMut(&Fields<'_, '_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let expected = "a list of objects";
        let field = self.required(name, expected)?;
        let Value::Array(array) = field.value else {
            return self.reject(&field, field.value, expected);
        };
        let mut values = Vec::new();
        for (index, value) in array.elements.iter().enumerate() {
            let path = format!("{}[{index}]", field.position.field);
            let Value::Object(object) = value else {
                let position = Position { byte: value.start(), field: path };
                self.document.report(&position, describe(value), "an object");
                continue;
            };
            let fields = Fields::new(self.document, path, object);
            let value = read(&fields);
            fields.check_field_names();
            values.extend(value);
        }
        Some(values)
    }

    /// Whether the field is present; also registers it as a known one.
    pub(crate) fn has(&self, name: &'static str) -> bool {
        self.known_fields.borrow_mut().push(name);
        self.object.get(name).is_some()
    }

    /// Reports unknown and duplicate fields, after all known ones were read.
    fn check_field_names(&self) {
        let known_fields = self.known_fields.borrow();
        let mut names = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let position = Position { byte: property.name.start(), field: self.path_of(name) };
            if !known_fields.contains(&name) {
                self.document.report(&position, "no such field", suggestion(name, &known_fields));
            }
            if names.contains(&name) {
                self.document.report(&position, "the field is there twice", "one value");
            }
            names.push(name);
        }
    }

    fn required(&self, name: &'static str, expected: &str) -> Option<FieldValue<'a, 'd>> {
        let position = self.position(name);
        if !self.has(name) {
            self.document.report(&position, "the field is missing", expected);
            return None;
        }
        self.object.get(name).map(|property| FieldValue { value: &property.value, position })
    }

    fn check_integer(
        &self,
        field: &FieldValue<'_, '_>,
        range: &RangeInclusive<u64>,
        expected: &str,
    ) -> Option<u64> {
        let number = match field.value {
            Value::NumberLit(number) => number.value.parse::<u64>().ok(),
            _ => None,
        };
        match number {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.reject(field, field.value, expected),
        }
    }

    fn checked_id(&self, position: &Position, text: String) -> Option<String> {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if text.chars().all(allowed) {
            return Some(text);
        }
        let wrong = format!("\"{text}\" is no id");
        self.document.report(position, wrong, "lower-case letters, digits and hyphens");
        None
    }

    fn reject<T>(
        &self,
        field: &FieldValue<'_, '_>,
        value: &Value<'_>,
        expected: &str,
    ) -> Option<T> {
        self.document.report(&field.position, describe(value), expected);
        None
    }

    fn path_of(&self, name: &str) -> String {
        match self.path.as_str() {
            "" => name.to_owned(),
            path => format!("{path}.{name}"),
        }
    }
}

fn describe(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) => format!("found \"{}\"", text.value),
        Value::NumberLit(number) => format!("found {}", number.value),
        Value::BooleanLit(boolean) => format!("found {}", boolean.value),
        Value::Object(_) => "found an object".to_owned(),
        Value::Array(_) => "found a list".to_owned(),
        Value::NullKeyword(_) => "found null".to_owned(),
    }
}

/// Suggests a known field with the same stem and another unit suffix, or else lists all known ones.
fn suggestion(name: &str, known: &[&str]) -> String {
    let stem =
        |name: &str| name.rsplit_once('_').map_or(name.to_owned(), |(stem, _)| stem.to_owned());
    match known.iter().find(|k| stem(k) == stem(name) || **k == stem(name) || stem(k) == name) {
        Some(meant) => format!("\"{meant}\""),
        None => format!("one of: {}", known.join(", ")),
    }
}
