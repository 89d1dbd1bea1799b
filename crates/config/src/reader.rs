//! Reads typed settings from a tree and collects findings.
//!
//! A function that can't read a value adds a finding and returns `None`, and the caller reads on, so that one
//! pass reports every error.

use std::collections::BTreeSet;

use jy_types::finding::Finding;
use jy_types::finding::FindingList;
use jy_types::finding::SourceLocation;
use jy_types::name::Name;

use crate::tree::NodeValue;
use crate::tree::TreeField;
use crate::tree::TreeNode;

/// Minimum normalized Damerau-Levenshtein similarity for suggesting a known name in place of an unknown one.
const MIN_NAME_SIMILARITY: f64 = 0.7;

/// Result of checking settings.
pub type Result<T> = std::result::Result<T, FindingList>;

/// Findings collected so far.
#[derive(Clone, Debug, Default)]
pub struct FindingLog {
    findings: Vec<Finding>,
    /// Locations of rejected values.
    rejected: BTreeSet<SourceLocation>,
}

impl FindingLog {
    /// Creates an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn add(
        &mut self,
        location: &SourceLocation,
        message: impl Into<Name>,
        hint: impl Into<Name>,
    ) {
        self.findings.push(Finding {
            location: location.clone(),
            message: message.into(),
            hint: hint.into(),
        });
    }

    /// Adds a finding about an invalid value. Only the first finding about a value is kept: the check against
    /// the definition of its parameter comes first and says more than that of the setting that uses the value.
    pub fn reject(&mut self, node: &TreeNode, message: impl Into<Name>, hint: impl Into<Name>) {
        if self.rejected.insert(node.location.clone()) {
            self.add(&node.location, message, hint);
        }
    }

    /// Adds the findings of another check.
    pub fn extend(&mut self, list: FindingList) {
        self.findings.extend(list.0);
    }

    /// Returns the value if there are no findings.
    ///
    /// # Errors
    ///
    /// Returns the findings, sorted by location and without duplicates, if there are any.
    ///
    /// # Panics
    ///
    /// Panics if there is neither a value nor a finding, which is a bug in the reader.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T> {
        self.findings.sort();
        self.findings.dedup();
        if self.findings.is_empty() {
            return Ok(value.expect("the reader must return a value if it adds no findings"));
        }
        Err(FindingList(self.findings))
    }
}

/// Reads the settings of one object and records which names are known.
pub struct ObjectReader<'a> {
    /// Description of the object in error messages.
    description: &'static str,
    location: &'a SourceLocation,
    fields: &'a [TreeField],
    /// Names of the settings requested so far.
    known: Vec<&'static str>,
}

impl<'a> ObjectReader<'a> {
    /// Creates a reader for an object and reports duplicate settings. `description` names the object in error
    /// messages. Adds a finding and returns `None` if the node is not an object.
    pub fn new(
        description: &'static str,
        node: &'a TreeNode,
        log: &mut FindingLog,
    ) -> Option<Self> {
        let NodeValue::Object(fields) = &node.value else {
            wrong_type(node, "an object", log);
            return None;
        };
        for (index, field) in fields.iter().enumerate() {
            if fields[..index].iter().any(|other| other.name == field.name) {
                let message = format!("{:?} is set twice in {description}", field.name);
                log.add(&field.location, message, "remove one of the two");
            }
        }
        Some(Self {
            description,
            location: &node.location,
            fields,
            known: Vec::new(),
        })
    }

    /// Returns the location of the object.
    #[must_use]
    pub const fn location(&self) -> &'a SourceLocation {
        self.location
    }

    /// Returns the value of a setting, or `None` if it is not set.
    pub fn node(&mut self, name: &'static str) -> Option<&'a TreeNode> {
        self.known.push(name);
        let field = self.fields.iter().find(|field| &*field.name == name)?;
        Some(&field.node)
    }

    /// Reads a required setting.
    pub fn required<T>(
        &mut self,
        name: &'static str,
        log: &mut FindingLog,
        read: impl FnOnce(&'a TreeNode, &mut FindingLog) -> Option<T>,
    ) -> Option<T> {
        let Some(node) = self.node(name) else {
            let message = format!("{name:?} is missing in {}", self.description);
            log.add(self.location, message, format!("add \"{name}\": ..."));
            return None;
        };
        read(node, log)
    }

    /// Reads an optional setting.
    pub fn optional<T>(
        &mut self,
        name: &'static str,
        log: &mut FindingLog,
        read: impl FnOnce(&'a TreeNode, &mut FindingLog) -> Option<T>,
    ) -> Option<T> {
        read(self.node(name)?, log)
    }

    /// Reports every setting of the object that was not requested.
    pub fn finish(self, log: &mut FindingLog) {
        for field in self.fields {
            if self.known.iter().any(|known| **known == *field.name) {
                continue;
            }
            let message = format!("unknown setting {:?} in {}", field.name, self.description);
            log.add(
                &field.location,
                message,
                name_hint(&field.name, &self.known),
            );
        }
    }
}

/// Returns a hint that suggests the most similar known name, or lists all if none is similar enough.
#[must_use]
pub fn name_hint(name: &str, known: &[impl AsRef<str>]) -> String {
    let nearest = known
        .iter()
        .map(|known| {
            (
                strsim::normalized_damerau_levenshtein(name, known.as_ref()),
                known.as_ref(),
            )
        })
        .max_by(|left, right| left.0.total_cmp(&right.0));
    match nearest {
        Some((score, known)) if score >= MIN_NAME_SIMILARITY => format!("did you mean {known:?}?"),
        Some(_) => {
            let names: Vec<_> = known.iter().map(AsRef::as_ref).collect();
            format!("known here: {}", names.join(", "))
        }
        None => "no names are known here".into(),
    }
}

/// Adds a finding about a value of the wrong type.
pub fn wrong_type(node: &TreeNode, expected: &str, log: &mut FindingLog) {
    let message = format!("expected {expected}, found {}", node.value.kind());
    log.reject(node, message, format!("write {expected} here"));
}

/// Reads a non-empty string.
pub fn text(node: &TreeNode, log: &mut FindingLog) -> Option<Name> {
    match &node.value {
        NodeValue::Text(text) if !text.is_empty() => Some(text.clone()),
        NodeValue::Text(_) => {
            log.reject(node, "the string is empty", "write a value here");
            None
        }
        _ => {
            wrong_type(node, "a string", log);
            None
        }
    }
}

/// Reads a name. It consists of ASCII letters, digits, `-`, `_` and `.`, so that it can be used in a path, a
/// header and a key.
pub fn name(node: &TreeNode, log: &mut FindingLog) -> Option<Name> {
    let name = text(node, log)?;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    if !name.chars().all(is_allowed) {
        let message = format!("{name:?} is not a valid name");
        log.reject(node, message, "use ASCII letters, digits, '-', '_' and '.'");
        return None;
    }
    Some(name)
}

/// Reads a boolean.
pub fn boolean(node: &TreeNode, log: &mut FindingLog) -> Option<bool> {
    if let NodeValue::Boolean(value) = node.value {
        return Some(value);
    }
    wrong_type(node, "true or false", log);
    None
}

/// Returns a function that reads an integer from `min` to `max`.
pub fn integer(min: u64, max: u64) -> impl Fn(&TreeNode, &mut FindingLog) -> Option<u64> {
    move |node, log| {
        let NodeValue::Number(text) = &node.value else {
            wrong_type(node, "a whole number", log);
            return None;
        };
        let value = text.parse::<u64>().ok();
        let value_in_range = value.filter(|value| (min..=max).contains(value));
        if value_in_range.is_none() {
            let message = format!("{text} is out of range");
            let hint = format!("use a whole number from {min} to {max}");
            log.reject(node, message, hint);
        }
        value_in_range
    }
}

/// Returns a function that reads a number from `min` to `max`.
pub fn number(min: f64, max: f64) -> impl Fn(&TreeNode, &mut FindingLog) -> Option<f64> {
    move |node, log| {
        let NodeValue::Number(text) = &node.value else {
            wrong_type(node, "a number", log);
            return None;
        };
        let value = text.parse::<f64>().ok();
        let value_in_range = value.filter(|value| (min..=max).contains(value));
        if value_in_range.is_none() {
            let message = format!("{text} is out of range");
            log.reject(node, message, format!("use a number from {min} to {max}"));
        }
        value_in_range
    }
}

/// Returns the items of a list. Adds a finding if the node is not a list.
pub fn items<'a>(node: &'a TreeNode, log: &mut FindingLog) -> Option<&'a [TreeNode]> {
    if let NodeValue::List(items) = &node.value {
        return Some(items);
    }
    wrong_type(node, "a list", log);
    None
}

/// Reads a list of names with their locations and reports duplicates.
pub fn names(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<(Name, SourceLocation)>> {
    let mut names: Vec<(Name, SourceLocation)> = Vec::new();
    for item in items(node, log)? {
        let Some(name) = name(item, log) else {
            continue;
        };
        if names.iter().any(|(other, _)| *other == name) {
            let message = format!("{name:?} is listed twice");
            log.add(&item.location, message, "remove one of the two");
        }
        names.push((name, item.location.clone()));
    }
    Some(names)
}
