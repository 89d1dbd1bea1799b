//! Compares two configurations of a workspace setting by setting.

use std::collections::BTreeMap;
use std::fmt;

use jy_types::workspace::WorkspaceRecord;
use serde::Serialize;
use serde_json::Value;

/// Fields that describe the write of a record and are no part of the configuration.
const METADATA_FIELDS: [&str; 2] = ["token", "accepted"];

/// One setting that differs.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SettingChange {
    /// Path of the setting, such as `services.verifier.slots`.
    pub setting: String,
    /// Value before, or `None` if the setting was added.
    pub before: Option<Value>,
    /// Value after, or `None` if the setting was removed.
    pub after: Option<Value>,
}

impl fmt::Display for SettingChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => write!(f, "~ {}: {before} -> {after}", self.setting),
            (None, Some(after)) => write!(f, "+ {}: {after}", self.setting),
            (Some(before), None) => write!(f, "- {}: {before}", self.setting),
            (None, None) => Ok(()),
        }
    }
}

/// Returns the settings that differ, sorted by path.
#[must_use]
pub fn changes(
    before: Option<&WorkspaceRecord>,
    after: Option<&WorkspaceRecord>,
) -> Vec<SettingChange> {
    let before = settings(before);
    let after = settings(after);
    let paths: std::collections::BTreeSet<_> = before.keys().chain(after.keys()).collect();
    paths
        .into_iter()
        .filter(|path| before.get(*path) != after.get(*path))
        .map(|path| SettingChange {
            setting: path.clone(),
            before: before.get(path).cloned(),
            after: after.get(path).cloned(),
        })
        .collect()
}

/// Formats the changes, one per line.
#[must_use]
pub fn text(changes: &[SettingChange]) -> String {
    let lines = changes.iter().map(|change| format!("  {change}\n"));
    lines.collect()
}

/// Flattens a record to a map from path to value.
///
/// Items with a name, such as services, are keyed by it, so that their order does not matter. Items without
/// a name, such as routes, are keyed by their index.
fn settings(record: Option<&WorkspaceRecord>) -> BTreeMap<String, Value> {
    let mut settings = BTreeMap::new();
    let value = record.and_then(|record| serde_json::to_value(record).ok());
    if let Some(Value::Object(fields)) = value {
        for (name, value) in fields {
            if !METADATA_FIELDS.contains(&name.as_str()) {
                flatten(name, value, &mut settings);
            }
        }
    }
    settings
}

/// Adds a value under its path, or the values inside it if it is an object or an array of objects.
fn flatten(path: String, value: Value, settings: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                flatten(format!("{path}.{name}"), value, settings);
            }
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            for (index, mut item) in items.into_iter().enumerate() {
                let name = item
                    .as_object_mut()
                    .and_then(|fields| fields.remove("name"));
                let name = name.and_then(|name| name.as_str().map(str::to_owned));
                let name = name.unwrap_or_else(|| index.to_string());
                flatten(format!("{path}.{name}"), item, settings);
            }
        }
        value => {
            settings.insert(path, value);
        }
    }
}
