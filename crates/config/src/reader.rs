//! Reads typed settings from a tree and collects findings on the way.
//!
//! A reader returns none where it added a finding, so that one pass reports everything.

use std::collections::BTreeSet;

use jy_types::finding::Finding;
use jy_types::finding::FindingList;
use jy_types::finding::SourceLocation;
use jy_types::name::Name;

use crate::tree::NodeValue;
use crate::tree::TreeField;
use crate::tree::TreeNode;

/// Names at least this similar are offered as what was meant.
const SIMILAR_ENOUGH: f64 = 0.7;

/// Result of this module.
pub type Result<T> = std::result::Result<T, FindingList>;

/// Findings collected so far.
#[derive(Clone, Debug, Default)]
pub struct FindingLog {
    findings: Vec<Finding>,
    refused: BTreeSet<SourceLocation>,
}

impl FindingLog {
    /// Makes an empty log.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a finding.
    pub fn add(&mut self, place: &SourceLocation, message: impl Into<Name>, hint: impl Into<Name>) {
        self.findings.push(Finding {
            place: place.clone(),
            message: message.into(),
            hint: hint.into(),
        });
    }

    /// Refuses a value. Only the first refusal of a value is kept: a parameter's definition says
    /// more than the setting that the value ends up in.
    pub fn refuse(&mut self, node: &TreeNode, message: impl Into<Name>, hint: impl Into<Name>) {
        if self.refused.insert(node.place.clone()) {
            self.add(&node.place, message, hint);
        }
    }

    /// Adds the findings of another check.
    pub fn extend(&mut self, list: FindingList) {
        self.findings.extend(list.0);
    }

    /// Returns the value if nothing was found.
    ///
    /// # Errors
    ///
    /// All findings, in the order of their places, each once.
    ///
    /// # Panics
    ///
    /// If there is neither a value nor a finding, which is a fault of the reader.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T> {
        self.findings.sort();
        self.findings.dedup();
        if self.findings.is_empty() {
            return Ok(value.expect("a value without findings must be complete"));
        }
        Err(FindingList(self.findings))
    }
}

/// Reads the settings of one object.
pub struct ObjectReader<'a> {
    what: &'static str,
    place: &'a SourceLocation,
    fields: &'a [TreeField],
    known: Vec<&'static str>,
}

impl<'a> ObjectReader<'a> {
    /// Starts on an object; `what` names it in messages.
    pub fn new(what: &'static str, node: &'a TreeNode, log: &mut FindingLog) -> Option<Self> {
        let NodeValue::Object(fields) = &node.value else {
            wrong_type(node, "an object", log);
            return None;
        };
        for (index, field) in fields.iter().enumerate() {
            if fields[..index].iter().any(|other| other.name == field.name) {
                let message = format!("{:?} is set twice in {what}", field.name);
                log.add(&field.place, message, "keep one of the two");
            }
        }
        Some(Self {
            what,
            place: &node.place,
            fields,
            known: Vec::new(),
        })
    }

    /// Returns where the object stands.
    #[must_use]
    pub const fn place(&self) -> &'a SourceLocation {
        self.place
    }

    /// Returns a setting's value if it is there.
    pub fn node(&mut self, name: &'static str) -> Option<&'a TreeNode> {
        self.known.push(name);
        let field = self.fields.iter().find(|field| &*field.name == name)?;
        Some(&field.node)
    }

    /// Reads a setting that must be there.
    pub fn required<T>(
        &mut self,
        name: &'static str,
        log: &mut FindingLog,
        read: impl FnOnce(&'a TreeNode, &mut FindingLog) -> Option<T>,
    ) -> Option<T> {
        let Some(node) = self.node(name) else {
            let message = format!("{name:?} is missing in {}", self.what);
            log.add(self.place, message, format!("add \"{name}\": ..."));
            return None;
        };
        read(node, log)
    }

    /// Reads a setting that may be left out.
    pub fn optional<T>(
        &mut self,
        name: &'static str,
        log: &mut FindingLog,
        read: impl FnOnce(&'a TreeNode, &mut FindingLog) -> Option<T>,
    ) -> Option<T> {
        read(self.node(name)?, log)
    }

    /// Reports every setting that was not asked for.
    pub fn finish(self, log: &mut FindingLog) {
        for field in self.fields {
            if self.known.iter().any(|known| **known == *field.name) {
                continue;
            }
            let message = format!("unknown setting {:?} in {}", field.name, self.what);
            log.add(&field.place, message, name_hint(&field.name, &self.known));
        }
    }
}

/// Offers the known name that is nearest, or all of them.
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
        Some((score, known)) if score >= SIMILAR_ENOUGH => format!("did you mean {known:?}?"),
        Some(_) => {
            let names: Vec<_> = known.iter().map(AsRef::as_ref).collect();
            format!("known here: {}", names.join(", "))
        }
        None => "nothing is known here".into(),
    }
}

/// Adds a finding on a value of another kind than expected.
pub fn wrong_type(node: &TreeNode, expected: &str, log: &mut FindingLog) {
    let message = format!("expected {expected}, found {}", node.value.kind());
    log.refuse(node, message, format!("write {expected} here"));
}

/// Reads a string that is not empty.
pub fn text(node: &TreeNode, log: &mut FindingLog) -> Option<Name> {
    match &node.value {
        NodeValue::Text(text) if !text.is_empty() => Some(text.clone()),
        NodeValue::Text(_) => {
            log.refuse(node, "the string is empty", "write a value here");
            None
        }
        _ => {
            wrong_type(node, "a string", log);
            None
        }
    }
}

/// Reads a name: letters, digits, `-`, `_` and `.`, so that it fits a path, a header and a key.
pub fn name(node: &TreeNode, log: &mut FindingLog) -> Option<Name> {
    let name = text(node, log)?;
    let fits = |letter: char| letter.is_ascii_alphanumeric() || "-_.".contains(letter);
    if !name.chars().all(fits) {
        let message = format!("{name:?} is not a name");
        log.refuse(node, message, "use letters, digits, '-', '_' and '.'");
        return None;
    }
    Some(name)
}

/// Reads `true` or `false`.
pub fn boolean(node: &TreeNode, log: &mut FindingLog) -> Option<bool> {
    if let NodeValue::Boolean(value) = node.value {
        return Some(value);
    }
    wrong_type(node, "true or false", log);
    None
}

/// Reads a whole number within bounds.
pub fn whole(least: u64, most: u64) -> impl Fn(&TreeNode, &mut FindingLog) -> Option<u64> {
    move |node, log| {
        let NodeValue::Number(text) = &node.value else {
            wrong_type(node, "a whole number", log);
            return None;
        };
        let value = text.parse::<u64>().ok();
        let inside = value.filter(|value| (least..=most).contains(value));
        if inside.is_none() {
            let message = format!("{text} is out of range");
            let hint = format!("use a whole number from {least} to {most}");
            log.refuse(node, message, hint);
        }
        inside
    }
}

/// Reads a number within bounds.
pub fn number(least: f64, most: f64) -> impl Fn(&TreeNode, &mut FindingLog) -> Option<f64> {
    move |node, log| {
        let NodeValue::Number(text) = &node.value else {
            wrong_type(node, "a number", log);
            return None;
        };
        let value = text.parse::<f64>().ok();
        let inside = value.filter(|value| (least..=most).contains(value));
        if inside.is_none() {
            let message = format!("{text} is out of range");
            log.refuse(
                node,
                message,
                format!("use a number from {least} to {most}"),
            );
        }
        inside
    }
}

/// Returns the items of a list.
pub fn items<'a>(node: &'a TreeNode, log: &mut FindingLog) -> Option<&'a [TreeNode]> {
    if let NodeValue::List(items) = &node.value {
        return Some(items);
    }
    wrong_type(node, "a list", log);
    None
}

/// Reads a list of names in which none stands twice, with their places.
pub fn names(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<(Name, SourceLocation)>> {
    let mut names: Vec<(Name, SourceLocation)> = Vec::new();
    for item in items(node, log)? {
        let Some(name) = name(item, log) else {
            continue;
        };
        if names.iter().any(|(other, _)| *other == name) {
            let message = format!("{name:?} is listed twice");
            log.add(&item.place, message, "keep one of the two");
        }
        names.push((name, item.place.clone()));
    }
    Some(names)
}
