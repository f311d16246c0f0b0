//! Structural diff of two fleets, by path.

use serde::Serialize;
use serde_json::Value;

use crate::Fleet;

/// Field that identifies the members of a list.
const ID_FIELD: &str = "id";

/// How a path differs.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiffKind {
    /// Present only in the new fleet.
    Added,
    /// Present in both fleets with different values.
    Changed,
    /// Present only in the old fleet.
    Removed,
}

/// A path whose value differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DiffEntry {
    /// Path of the value, such as `teams[adjusters].rate_per_s`.
    pub path: String,
    /// How it differs.
    pub kind: DiffKind,
    /// Value in the old fleet; null if absent.
    #[serde(skip_serializing_if = "Value::is_null")]
    pub before: Value,
    /// Value in the new fleet; null if absent.
    #[serde(skip_serializing_if = "Value::is_null")]
    pub after: Value,
}

/// Lists the differences in the order of the file.
pub fn diff_fleets(before: Option<&Fleet>, after: &Fleet) -> Vec<DiffEntry> {
    let before = before.map(to_value).unwrap_or(Value::Object(Default::default()));
    let mut entries = Vec::new();
    compare("", &before, &to_value(after), &mut entries);
    entries
}

fn to_value(fleet: &Fleet) -> Value {
    serde_json::to_value(fleet).unwrap_or_default()
}

fn compare(path: &str, before: &Value, after: &Value, entries: &mut Vec<DiffEntry>) {
    match (before, after) {
        (before, after) if before == after => {}
        (Value::Null, _) => push(path, DiffKind::Added, before, after, entries),
        (_, Value::Null) => push(path, DiffKind::Removed, before, after, entries),
        (Value::Object(_), Value::Object(_)) => {
            for name in member_names(before, after) {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                compare(&path, &before[&name], &after[&name], entries);
            }
        }
        (Value::Array(before), Value::Array(after)) if has_ids(before) && has_ids(after) => {
            for id in ids(before, after) {
                compare(&format!("{path}[{id}]"), by_id(before, &id), by_id(after, &id), entries);
            }
        }
        _ => push(path, DiffKind::Changed, before, after, entries),
    }
}

fn push(path: &str, kind: DiffKind, before: &Value, after: &Value, entries: &mut Vec<DiffEntry>) {
    let (before, after) = (before.clone(), after.clone());
    entries.push(DiffEntry { path: path.to_owned(), kind, before, after });
}

fn member_names(before: &Value, after: &Value) -> Vec<String> {
    let names = |value: &Value| -> Vec<String> {
        value.as_object().map(|object| object.keys().cloned().collect()).unwrap_or_default()
    };
    merge(names(before), names(after))
}

fn ids(before: &[Value], after: &[Value]) -> Vec<String> {
    let ids = |values: &[Value]| -> Vec<String> { values.iter().filter_map(id_of).collect() };
    merge(ids(before), ids(after))
}

fn merge(mut before: Vec<String>, after: Vec<String>) -> Vec<String> {
    for name in after {
        if !before.contains(&name) {
            before.push(name);
        }
    }
    before
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
