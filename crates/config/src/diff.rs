//! What differs between two fleets, by path.

use serde::Serialize;
use serde_json::Value;

use crate::Fleet;

/// Fields by which members of a list are told apart.
const ID_FIELD: &str = "id";

/// What happened to a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiffKind {
    /// Only the new fleet has it.
    Added,
    /// Both have it, with other values.
    Changed,
    /// Only the old fleet has it.
    Removed,
}

/// One path that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DiffEntry {
    /// Such as `teams[adjusters].rate_per_s`.
    pub path: String,
    /// What happened.
    pub kind: DiffKind,
    /// The value before.
    #[serde(skip_serializing_if = "Value::is_null")]
    pub before: Value,
    /// The value after.
    #[serde(skip_serializing_if = "Value::is_null")]
    pub after: Value,
}

/// Lists what differs, in the order of the file.
pub fn diff_fleets(before: Option<&Fleet>, after: &Fleet) -> Vec<DiffEntry> {
    let before = before.map(to_value).unwrap_or(Value::Object(Default::default()));
    let mut found = Vec::new();
    compare("", &before, &to_value(after), &mut found);
    found
}

fn to_value(fleet: &Fleet) -> Value {
    serde_json::to_value(fleet).unwrap_or_default()
}

fn compare(path: &str, before: &Value, after: &Value, found: &mut Vec<DiffEntry>) {
    match (before, after) {
        (before, after) if before == after => {}
        (Value::Null, _) => push(path, DiffKind::Added, before, after, found),
        (_, Value::Null) => push(path, DiffKind::Removed, before, after, found),
        (Value::Object(_), Value::Object(_)) => {
            for name in member_names(before, after) {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                compare(&path, &before[&name], &after[&name], found);
            }
        }
        (Value::Array(olds), Value::Array(news)) if has_ids(olds) && has_ids(news) => {
            for id in ids(olds, news) {
                compare(&format!("{path}[{id}]"), by_id(olds, &id), by_id(news, &id), found);
            }
        }
        _ => push(path, DiffKind::Changed, before, after, found),
    }
}

fn push(path: &str, kind: DiffKind, before: &Value, after: &Value, found: &mut Vec<DiffEntry>) {
    let (before, after) = (before.clone(), after.clone());
    found.push(DiffEntry { path: path.to_owned(), kind, before, after });
}

fn member_names(before: &Value, after: &Value) -> Vec<String> {
    let names = |value: &Value| -> Vec<String> {
        value.as_object().map(|object| object.keys().cloned().collect()).unwrap_or_default()
    };
    merge(names(before), names(after))
}

fn ids(olds: &[Value], news: &[Value]) -> Vec<String> {
    let ids = |values: &[Value]| -> Vec<String> { values.iter().filter_map(id_of).collect() };
    merge(ids(olds), ids(news))
}

fn merge(mut olds: Vec<String>, news: Vec<String>) -> Vec<String> {
    for name in news {
        if !olds.contains(&name) {
            olds.push(name);
        }
    }
    olds
}

fn has_ids(values: &[Value]) -> bool {
    values.iter().all(|value| id_of(value).is_some())
}

fn id_of(value: &Value) -> Option<String> {
    value[ID_FIELD].as_str().map(str::to_owned)
}

fn by_id<'a>(values: &'a [Value], id: &str) -> &'a Value {
    values.iter().find(|value| value[ID_FIELD] == id).unwrap_or(&Value::Null)
}
