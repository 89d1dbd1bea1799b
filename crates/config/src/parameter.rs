//! Parameters of templates: their types, defaults, bounds and allowed values.

use jy_types::finding::SourceLocation;
use jy_types::name::Name;

use crate::reader;
use crate::reader::FindingLog;
use crate::reader::ObjectReader;
use crate::tree::NodeValue;
use crate::tree::TreeField;
use crate::tree::TreeNode;

/// Maximum magnitude of the bounds of a numeric parameter.
const MAX_NUMBER_MAGNITUDE: f64 = 1e12;

/// Type of a parameter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ParameterKind {
    /// A non-negative integer.
    Integer,
    /// A number.
    Number,
    /// `true` or `false`.
    Boolean,
    /// A string.
    Text,
    /// A list of strings.
    List,
}

/// Names of the parameter types in templates.
const KINDS: [(&str, ParameterKind); 5] = [
    ("whole", ParameterKind::Integer),
    ("number", ParameterKind::Number),
    ("boolean", ParameterKind::Boolean),
    ("text", ParameterKind::Text),
    ("list", ParameterKind::List),
];

/// One parameter of a template.
#[derive(Clone, Debug)]
pub struct ParameterSpec {
    /// Name of the parameter.
    pub name: Name,
    /// Location of the definition.
    pub location: SourceLocation,
    /// Type of the value.
    pub kind: ParameterKind,
    /// Value used if the workspace sets none. `None` if the workspace must set one.
    pub default: Option<TreeNode>,
    /// Allowed values. An empty list allows every value.
    pub allowed: Vec<NodeValue>,
    /// Minimum of a number, inclusive.
    pub min: Option<f64>,
    /// Maximum of a number, inclusive.
    pub max: Option<f64>,
}

/// Reads the definition of a parameter and checks its default value.
pub fn read_spec(field: &TreeField, log: &mut FindingLog) -> Option<ParameterSpec> {
    let mut object = ObjectReader::new("a parameter", &field.node, log)?;
    let kind = object.required("type", log, read_kind);
    let default = object.node("default").cloned();
    let allowed = object.optional("allowed", log, reader::items);
    let bound = reader::number(-MAX_NUMBER_MAGNITUDE, MAX_NUMBER_MAGNITUDE);
    let min = object.optional("least", log, &bound);
    let max = object.optional("most", log, &bound);
    object.optional("help", log, reader::text);
    object.finish(log);
    let allowed = allowed.unwrap_or_default().iter();
    let spec = ParameterSpec {
        name: field.name.clone(),
        location: field.location.clone(),
        kind: kind?,
        default,
        allowed: allowed.map(|node| node.value.clone()).collect(),
        min,
        max,
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
        let message = format!("unknown parameter type {text:?}");
        log.reject(node, message, reader::name_hint(&text, &names));
    }
    found.map(|(_, kind)| *kind)
}

/// Checks a value against the definition of its parameter.
pub fn check_value(spec: &ParameterSpec, node: &TreeNode, log: &mut FindingLog) {
    if !has_kind(spec.kind, node) {
        let message = format!(
            "parameter {:?} expects {}, found {}",
            spec.name,
            kind_description(spec.kind),
            node.value.kind()
        );
        let hint = format!("the parameter is defined at {}", spec.location);
        log.reject(node, message, hint);
        return;
    }
    check_range(spec, node, log);
    if !spec.allowed.is_empty() && !spec.allowed.contains(&node.value) {
        let allowed: Vec<_> = spec.allowed.iter().map(scalar_text).collect();
        let message = format!(
            "{} is not allowed for parameter {:?}",
            scalar_text(&node.value),
            spec.name
        );
        log.reject(node, message, format!("use one of: {}", allowed.join(", ")));
    }
}

/// Checks a number against the bounds of its parameter.
fn check_range(spec: &ParameterSpec, node: &TreeNode, log: &mut FindingLog) {
    let NodeValue::Number(text) = &node.value else {
        return;
    };
    let value = text.parse::<f64>().unwrap_or(f64::NAN);
    let violated_min = spec.min.filter(|min| value < *min);
    let violated_max = spec.max.filter(|max| value > *max);
    let hint = match (violated_min, violated_max) {
        (Some(min), _) => format!("use at least {min}"),
        (_, Some(max)) => format!("use at most {max}"),
        _ => return,
    };
    let message = format!("{text} is out of range for parameter {:?}", spec.name);
    log.reject(node, message, hint);
}

/// Returns whether a value has the type of a parameter.
fn has_kind(kind: ParameterKind, node: &TreeNode) -> bool {
    match (kind, &node.value) {
        (ParameterKind::Integer, NodeValue::Number(text)) => text.parse::<u64>().is_ok(),
        (ParameterKind::Number, NodeValue::Number(_))
        | (ParameterKind::Boolean, NodeValue::Boolean(_))
        | (ParameterKind::Text, NodeValue::Text(_)) => true,
        (ParameterKind::List, NodeValue::List(items)) => items
            .iter()
            .all(|item| matches!(item.value, NodeValue::Text(_))),
        _ => false,
    }
}

/// Describes a parameter type in error messages.
const fn kind_description(kind: ParameterKind) -> &'static str {
    match kind {
        ParameterKind::Integer => "a whole number",
        ParameterKind::Number => "a number",
        ParameterKind::Boolean => "true or false",
        ParameterKind::Text => "a string",
        ParameterKind::List => "a list of strings",
    }
}

/// Formats a value for error messages and for substitution in strings. Lists, objects and `null` are
/// written as the name of their type.
#[must_use]
pub fn scalar_text(value: &NodeValue) -> String {
    match value {
        NodeValue::Text(text) | NodeValue::Number(text) => text.to_string(),
        NodeValue::Boolean(value) => value.to_string(),
        other => other.kind().to_owned(),
    }
}
