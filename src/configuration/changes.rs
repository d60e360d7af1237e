//! Lists the differences between two configurations, for conflicts, dry runs and audit records.

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use super::raw::RawConfiguration;

/// Lists the differences between two documents with one line per entry, such as
/// `changed data-centres/caerdydd: state "in" -> "out"`.
pub fn list_changes(before: &RawConfiguration, after: &RawConfiguration) -> Vec<String> {
    let before = entries_by_path(before);
    let after = entries_by_path(after);
    let mut changes = Vec::new();
    for (path, old) in &before {
        match after.get(path) {
            None => changes.push(format!("removed {path}")),
            Some(new) if new != old => {
                changes.push(format!("changed {path}: {}", field_changes(old, new)));
            }
            Some(_) => {}
        }
    }
    let added = after.keys().filter(|path| !before.contains_key(*path));
    changes.extend(added.map(|path| format!("added {path}")));
    changes
}

/// Returns the entries of all lists by their path `list/id`.
fn entries_by_path(document: &impl Serialize) -> IndexMap<String, Value> {
    let mut entries = IndexMap::new();
    let Ok(Value::Object(lists)) = serde_json::to_value(document) else { return entries };
    for (list, values) in lists {
        for value in values.as_array().into_iter().flatten() {
            let id = value.get("id").and_then(Value::as_str).unwrap_or_default();
            entries.insert(format!("{list}/{id}"), value.clone());
        }
    }
    entries
}

fn field_changes(old: &Value, new: &Value) -> String {
    let (Some(old), Some(new)) = (old.as_object(), new.as_object()) else { return String::new() };
    let names = old.keys().chain(new.keys().filter(|name| !old.contains_key(*name)));
    let absent = Value::Null;
    let changed = names.filter(|name| old.get(*name) != new.get(*name)).map(|name| {
        let (old, new) = (old.get(name).unwrap_or(&absent), new.get(name).unwrap_or(&absent));
        format!("{name} {old} -> {new}")
    });
    changed.collect::<Vec<_>>().join(", ")
}
