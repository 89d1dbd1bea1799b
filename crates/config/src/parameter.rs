//! Parameters of templates: type, default, limits and allowed values.

use jy_types::finding::SourceLocation;
use jy_types::name::Name;

use crate::reader;
use crate::reader::FindingLog;
use crate::reader::ObjectReader;
use crate::tree::NodeValue;
use crate::tree::TreeField;
use crate::tree::TreeNode;

/// Largest magnitude of a numeric parameter.
const NUMBER_LIMIT: f64 = 1e12;

/// What a parameter holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParameterKind {
    /// A whole number.
    Whole,
    /// A number.
    Number,
    /// `true` or `false`.
    Boolean,
    /// A string.
    Text,
    /// A list of strings.
    List,
}

/// Types of parameters as templates write them.
const KINDS: [(&str, ParameterKind); 5] = [
    ("whole", ParameterKind::Whole),
    ("number", ParameterKind::Number),
    ("boolean", ParameterKind::Boolean),
    ("text", ParameterKind::Text),
    ("list", ParameterKind::List),
];

/// One parameter of a template.
#[derive(Clone, Debug)]
pub struct ParameterSpec {
    /// Its name.
    pub name: Name,
    /// Where it is defined.
    pub place: SourceLocation,
    /// What it holds.
    pub kind: ParameterKind,
    /// The value where a workspace gives none; none if it must give one.
    pub default: Option<TreeNode>,
    /// The values allowed; empty if all are.
    pub allowed: Vec<NodeValue>,
    /// Smallest number allowed.
    pub least: Option<f64>,
    /// Largest number allowed.
    pub most: Option<f64>,
}

/// Reads the definition of a parameter.
pub fn read_spec(field: &TreeField, log: &mut FindingLog) -> Option<ParameterSpec> {
    let mut object = ObjectReader::new("a parameter", &field.node, log)?;
    let kind = object.required("type", log, read_kind);
    let default = object.node("default").cloned();
    let allowed = object.optional("allowed", log, reader::items);
    let bound = reader::number(-NUMBER_LIMIT, NUMBER_LIMIT);
    let least = object.optional("least", log, &bound);
    let most = object.optional("most", log, &bound);
    object.optional("help", log, reader::text);
    object.finish(log);
    let allowed = allowed.unwrap_or_default().iter();
    let spec = ParameterSpec {
        name: field.name.clone(),
        place: field.place.clone(),
        kind: kind?,
        default,
        allowed: allowed.map(|node| node.value.clone()).collect(),
        least,
        most,
    };
    if let Some(default) = &spec.default {
        check_value(&spec, default, log);
    }
    Some(spec)
}

/// Reads the type of a parameter.
fn read_kind(node: &TreeNode, log: &mut FindingLog) -> Option<ParameterKind> {
    let text = reader::text(node, log)?;
    let found = KINDS.iter().find(|(name, _)| *name == &*text);
    if found.is_none() {
        let names = KINDS.map(|(name, _)| name);
        let message = format!("unknown type {text:?} of a parameter");
        log.refuse(node, message, reader::name_hint(&text, &names));
    }
    found.map(|(_, kind)| *kind)
}

/// Checks a value against the definition of its parameter.
pub fn check_value(spec: &ParameterSpec, node: &TreeNode, log: &mut FindingLog) {
    if !has_kind(spec.kind, node) {
        let message = format!(
            "parameter {:?} expects {}, found {}",
            spec.name,
            kind_text(spec.kind),
            node.value.kind()
        );
        let hint = format!("its definition is at {}", spec.place);
        log.refuse(node, message, hint);
        return;
    }
    check_range(spec, node, log);
    if !spec.allowed.is_empty() && !spec.allowed.contains(&node.value) {
        let allowed: Vec<_> = spec.allowed.iter().map(scalar_text).collect();
        let message = format!(
            "{} is not allowed for {:?}",
            scalar_text(&node.value),
            spec.name
        );
        log.refuse(node, message, format!("use one of: {}", allowed.join(", ")));
    }
}

/// Checks a number against the bounds of its parameter.
fn check_range(spec: &ParameterSpec, node: &TreeNode, log: &mut FindingLog) {
    let NodeValue::Number(text) = &node.value else {
        return;
    };
    let value = text.parse::<f64>().unwrap_or(f64::NAN);
    let low = spec.least.filter(|least| value < *least);
    let high = spec.most.filter(|most| value > *most);
    let hint = match (low, high) {
        (Some(least), _) => format!("use at least {least}"),
        (_, Some(most)) => format!("use at most {most}"),
        _ => return,
    };
    let message = format!("{text} is out of range for parameter {:?}", spec.name);
    log.refuse(node, message, hint);
}

/// Whether a value is of a parameter's type.
fn has_kind(kind: ParameterKind, node: &TreeNode) -> bool {
    match (kind, &node.value) {
        (ParameterKind::Whole, NodeValue::Number(text)) => text.parse::<u64>().is_ok(),
        (ParameterKind::Number, NodeValue::Number(_))
        | (ParameterKind::Boolean, NodeValue::Boolean(_))
        | (ParameterKind::Text, NodeValue::Text(_)) => true,
        (ParameterKind::List, NodeValue::List(items)) => items
            .iter()
            .all(|item| matches!(item.value, NodeValue::Text(_))),
        _ => false,
    }
}

/// Names a type for a message.
const fn kind_text(kind: ParameterKind) -> &'static str {
    match kind {
        ParameterKind::Whole => "a whole number",
        ParameterKind::Number => "a number",
        ParameterKind::Boolean => "true or false",
        ParameterKind::Text => "a string",
        ParameterKind::List => "a list of strings",
    }
}

/// Writes a value for a message or inside a string.
#[must_use]
pub fn scalar_text(value: &NodeValue) -> String {
    match value {
        NodeValue::Text(text) | NodeValue::Number(text) => text.to_string(),
        NodeValue::Boolean(value) => value.to_string(),
        other => other.kind().to_owned(),
    }
}
