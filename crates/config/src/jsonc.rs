//! Reading fields of a JSON-with-comments file and noting what is wrong.
//!
//! A reader never stops at the first mistake: each accessor notes its own
//! complaint and returns `None`, and the caller goes on.

use std::{cell::RefCell, fmt::Display, ops::RangeInclusive, str::FromStr};

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value},
    common::Ranged,
    parse_to_ast,
};

use crate::{Diagnostic, Diagnostics};

/// One file and what is wrong with it.
pub(crate) struct Document<'a> {
    file: &'a str,
    text: &'a str,
    complaints: RefCell<Vec<Diagnostic>>,
}

/// A place in a file, for complaints about relations between fields.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    byte: usize,
    field: String,
}

/// The fields of one object.
pub(crate) struct Fields<'a, 'd> {
    document: &'d Document<'a>,
    path: String,
    object: &'d Object<'a>,
    known: RefCell<Vec<&'static str>>,
}

/// A value that an accessor is about to judge.
struct Found<'a, 'd> {
    value: &'d Value<'a>,
    place: Place,
}

impl<'a> Document<'a> {
    /// Reads the file's one object by `read`.
    ///
    /// Fails with all complaints if there is at least one.
    pub(crate) fn read<T>(
        file: &'a str,
        text: &'a str,
        read: impl FnOnce(&Fields<'_, '_>) -> Option<T>,
    ) -> Result<T, Diagnostics> {
        let document = Document { file, text, complaints: RefCell::new(Vec::new()) };
        let result = document.read_root(read);
        let mut complaints = document.complaints.into_inner();
        complaints.sort_by_key(|c| (c.line, c.column));
        match result {
            Some(value) if complaints.is_empty() => Ok(value),
            _ => Err(Diagnostics(complaints)),
        }
    }

    fn read_root<T>(&self, read: impl FnOnce(&Fields<'_, '_>) -> Option<T>) -> Option<T> {
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &ParseOptions::default());
        let parsed = match parsed {
            Ok(parsed) => parsed.value,
            Err(error) => {
                let place = Place { byte: error.range().start, field: "(file)".to_owned() };
                self.complain(&place, error.kind().to_string(), "JSON with comments");
                return None;
            }
        };
        let Some(Value::Object(object)) = parsed else {
            let place = Place { byte: 0, field: "(file)".to_owned() };
            self.complain(&place, "the file holds no object", "one object in braces");
            return None;
        };
        let fields = Fields::new(self, String::new(), &object);
        let result = read(&fields);
        fields.finish();
        result
    }

    /// Notes that something is wrong at a place.
    pub(crate) fn complain(&self, place: &Place, wrong: impl Display, expected: impl Display) {
        let (line, column) = self.line_and_column(place.byte);
        self.complaints.borrow_mut().push(Diagnostic {
            file: self.file.to_owned(),
            line,
            column,
            field: place.field.clone(),
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
        Fields { document, path, object, known: RefCell::default() }
    }

    /// The document, for complaints about relations between fields.
    pub(crate) fn document(&self) -> &'d Document<'a> {
        self.document
    }

    /// The place of a field, or of the object if the field is missing.
    pub(crate) fn place(&self, name: &str) -> Place {
        let byte = self.object.get(name).map_or(self.object.start(), |p| p.value.start());
        Place { byte, field: self.path_of(name) }
    }

    /// Reads a text that must not be empty.
    pub(crate) fn text(&self, name: &'static str) -> Option<String> {
        let found = self.required(name, "a text")?;
        match found.value {
            Value::StringLit(text) if !text.value.is_empty() => Some(text.value.to_string()),
            other => self.wrong(&found, other, "a text that is not empty"),
        }
    }

    /// Reads an id: lower-case letters, digits and hyphens.
    pub(crate) fn id<T: From<String>>(&self, name: &'static str) -> Option<T> {
        let text = self.text(name)?;
        let id = self.checked_id(&self.place(name), text)?;
        Some(id.into())
    }

    /// Reads a list of ids.
    pub(crate) fn ids<T: From<String>>(&self, name: &'static str) -> Option<Vec<(T, Place)>> {
        let expected = "a list of ids";
        let found = self.required(name, expected)?;
        let Value::Array(array) = found.value else {
            return self.wrong(&found, found.value, expected);
        };
        let mut ids = Vec::new();
        for (index, value) in array.elements.iter().enumerate() {
            let place =
                Place { byte: value.start(), field: format!("{}[{index}]", found.place.field) };
            let Value::StringLit(text) = value else {
                self.document.complain(&place, describe(value), "an id");
                continue;
            };
            let id = self.checked_id(&place, text.value.to_string());
            ids.extend(id.map(|id| (id.into(), place)));
        }
        Some(ids)
    }

    /// Reads a whole number within a range.
    pub(crate) fn integer(&self, name: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let expected = format!("a whole number from {} to {}", range.start(), range.end());
        let found = self.required(name, &expected)?;
        self.judge_integer(&found, &range, &expected)
    }

    /// Reads a whole number within a range, or takes the default.
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

    /// Reads a number that is not negative, or takes the default.
    pub(crate) fn weight_or(&self, name: &'static str, default: f64) -> Option<f64> {
        if !self.has(name) {
            return Some(default);
        }
        let expected = "a number of at least 0";
        let found = self.required(name, expected)?;
        let number = match found.value {
            Value::NumberLit(number) => number.value.parse::<f64>().ok(),
            _ => None,
        };
        match number {
            Some(number) if number >= 0.0 => Some(number),
            _ => self.wrong(&found, found.value, expected),
        }
    }

    /// Reads a text that has a form of its own, such as an address.
    pub(crate) fn parsed<T: FromStr>(&self, name: &'static str, expected: &str) -> Option<T> {
        let found = self.required(name, expected)?;
        let parsed = match found.value {
            Value::StringLit(text) => text.value.parse().ok(),
            _ => None,
        };
        match parsed {
            Some(value) => Some(value),
            None => self.wrong(&found, found.value, expected),
        }
    }

    /// Reads a list of texts that have a form of their own.
    pub(crate) fn parsed_list<T: FromStr>(
        &self,
        name: &'static str,
        expected: &str,
    ) -> Option<Vec<T>> {
        let list = format!("a list, each {expected}");
        let found = self.required(name, &list)?;
        let Value::Array(array) = found.value else {
            return self.wrong(&found, found.value, &list);
        };
        let mut values = Vec::new();
        for (index, value) in array.elements.iter().enumerate() {
            let place =
                Place { byte: value.start(), field: format!("{}[{index}]", found.place.field) };
            let parsed = match value {
                Value::StringLit(text) => text.value.parse().ok(),
                _ => None,
            };
            match parsed {
                Some(parsed) => values.push(parsed),
                None => self.document.complain(&place, describe(value), expected),
            }
        }
        Some(values)
    }

    /// Reads a list of objects, each by `read`.
    pub(crate) fn objects<T>(
        &self,
        name: &'static str,
        mut read: impl FnMut(&Fields<'_, '_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let expected = "a list of objects";
        let found = self.required(name, expected)?;
        let Value::Array(array) = found.value else {
            return self.wrong(&found, found.value, expected);
        };
        let mut values = Vec::new();
        for (index, value) in array.elements.iter().enumerate() {
            let path = format!("{}[{index}]", found.place.field);
            let Value::Object(object) = value else {
                let place = Place { byte: value.start(), field: path };
                self.document.complain(&place, describe(value), "an object");
                continue;
            };
            let fields = Fields::new(self.document, path, object);
            let value = read(&fields);
            fields.finish();
            values.extend(value);
        }
        Some(values)
    }

    /// Says whether the field is there, and that it is a known one.
    pub(crate) fn has(&self, name: &'static str) -> bool {
        self.known.borrow_mut().push(name);
        self.object.get(name).is_some()
    }

    /// Complains about fields that were never asked for, and doubled ones.
    fn finish(&self) {
        let known = self.known.borrow();
        let mut seen = Vec::new();
        for property in &self.object.properties {
            let name = property.name.as_str();
            let place = Place { byte: property.name.start(), field: self.path_of(name) };
            if !known.contains(&name) {
                self.document.complain(&place, "no such field", suggestion(name, &known));
            }
            if seen.contains(&name) {
                self.document.complain(&place, "the field is there twice", "one value");
            }
            seen.push(name);
        }
    }

    fn required(&self, name: &'static str, expected: &str) -> Option<Found<'a, 'd>> {
        let place = self.place(name);
        if !self.has(name) {
            self.document.complain(&place, "the field is missing", expected);
            return None;
        }
        self.object.get(name).map(|property| Found { value: &property.value, place })
    }

    fn judge_integer(
        &self,
        found: &Found<'_, '_>,
        range: &RangeInclusive<u64>,
        expected: &str,
    ) -> Option<u64> {
        let number = match found.value {
            Value::NumberLit(number) => number.value.parse::<u64>().ok(),
            _ => None,
        };
        match number {
            Some(number) if range.contains(&number) => Some(number),
            _ => self.wrong(found, found.value, expected),
        }
    }

    fn checked_id(&self, place: &Place, text: String) -> Option<String> {
        let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
        if text.chars().all(allowed) {
            return Some(text);
        }
        let wrong = format!("\"{text}\" is no id");
        self.document.complain(place, wrong, "lower-case letters, digits and hyphens");
        None
    }

    fn wrong<T>(&self, found: &Found<'_, '_>, value: &Value<'_>, expected: &str) -> Option<T> {
        self.document.complain(&found.place, describe(value), expected);
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

/// Names the field that was probably meant: the same stem with another unit,
/// or else lists what there is.
fn suggestion(name: &str, known: &[&str]) -> String {
    let stem =
        |name: &str| name.rsplit_once('_').map_or(name.to_owned(), |(stem, _)| stem.to_owned());
    match known.iter().find(|k| stem(k) == stem(name) || **k == stem(name) || stem(k) == name) {
        Some(meant) => format!("\"{meant}\""),
        None => format!("one of: {}", known.join(", ")),
    }
}
