//! Substitutes parameter values for `${name}` references in a tree.
//!
//! A string that consists of one reference is replaced by the value itself with the value's own location, so
//! that a later finding points at the line that set the value. A reference within a longer string is replaced
//! by the value's text. A reference to a list, as an item of a list, is replaced by the items of that list.

use std::collections::BTreeMap;

use jy_types::name::Name;

use crate::parameter::scalar_text;
use crate::reader::FindingLog;
use crate::reader::name_hint;
use crate::tree::NodeValue;
use crate::tree::TreeField;
use crate::tree::TreeNode;

/// Parameter values by name.
pub type ValueMap = BTreeMap<Name, TreeNode>;

/// A part of a string.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TextSegment<'a> {
    /// Text without references.
    Literal(&'a str),
    /// Name of the referenced parameter.
    Reference(&'a str),
}

/// Splits a string into literal text and references. An unclosed `${` is literal text.
fn split_references(text: &str) -> Vec<TextSegment<'_>> {
    let mut segments = Vec::new();
    let mut remaining = text;
    while let Some((before, after)) = remaining.split_once("${") {
        let Some((name, tail)) = after.split_once('}') else {
            break;
        };
        if !before.is_empty() {
            segments.push(TextSegment::Literal(before));
        }
        segments.push(TextSegment::Reference(name));
        remaining = tail;
    }
    if !remaining.is_empty() {
        segments.push(TextSegment::Literal(remaining));
    }
    segments
}

/// Returns the names of the parameters that a tree references.
#[must_use]
pub fn references(node: &TreeNode) -> Vec<&str> {
    match &node.value {
        NodeValue::Text(text) => split_references(text)
            .into_iter()
            .filter_map(|segment| match segment {
                TextSegment::Reference(name) => Some(name),
                TextSegment::Literal(_) => None,
            })
            .collect(),
        NodeValue::List(items) => items.iter().flat_map(references).collect(),
        NodeValue::Object(fields) => {
            let nodes = fields.iter().map(|field| &field.node);
            nodes.flat_map(references).collect()
        }
        _ => Vec::new(),
    }
}

/// Reports references to parameters that the template does not define.
pub fn check_references(node: &TreeNode, known: &[Name], log: &mut FindingLog) {
    match &node.value {
        NodeValue::Text(_) => {
            for name in references(node) {
                if !known.iter().any(|known| &**known == name) {
                    let message = format!("unknown parameter {name:?}");
                    log.add(&node.location, message, name_hint(name, known));
                }
            }
        }
        NodeValue::List(items) => {
            for item in items {
                check_references(item, known, log);
            }
        }
        NodeValue::Object(fields) => {
            for field in fields {
                check_references(&field.node, known, log);
            }
        }
        _ => {}
    }
}

/// Returns a copy of the tree with all references replaced. A reference without a value is left unchanged;
/// the caller reports it.
#[must_use]
pub fn apply(node: &TreeNode, values: &ValueMap) -> TreeNode {
    let value = match &node.value {
        NodeValue::Text(text) => return apply_text(node, text, values),
        NodeValue::List(items) => NodeValue::List(
            items
                .iter()
                .flat_map(|item| apply_item(item, values))
                .collect(),
        ),
        NodeValue::Object(fields) => NodeValue::Object(
            fields
                .iter()
                .map(|field| apply_field(field, values))
                .collect(),
        ),
        other => other.clone(),
    };
    TreeNode {
        location: node.location.clone(),
        value,
    }
}

/// Replaces the references in the value of a setting.
fn apply_field(field: &TreeField, values: &ValueMap) -> TreeField {
    TreeField {
        node: apply(&field.node, values),
        ..field.clone()
    }
}

/// Replaces the references in an item of a list. If the item is a reference to a list, returns the items of
/// that list.
fn apply_item(item: &TreeNode, values: &ValueMap) -> Vec<TreeNode> {
    let replaced = apply(item, values);
    match (&item.value, replaced) {
        (
            NodeValue::Text(_),
            TreeNode {
                value: NodeValue::List(items),
                ..
            },
        ) => items,
        (_, replaced) => vec![replaced],
    }
}

/// Replaces the references in a string.
fn apply_text(node: &TreeNode, text: &str, values: &ValueMap) -> TreeNode {
    let segments = split_references(text);
    if let [TextSegment::Reference(name)] = segments.as_slice() {
        return values.get(*name).unwrap_or(node).clone();
    }
    let render = |segment: &TextSegment<'_>| match segment {
        TextSegment::Literal(text) => (*text).to_owned(),
        TextSegment::Reference(name) => values
            .get(*name)
            .map_or_else(|| format!("${{{name}}}"), |node| scalar_text(&node.value)),
    };
    let text: String = segments.iter().map(render).collect();
    TreeNode {
        location: node.location.clone(),
        value: NodeValue::Text(text.into()),
    }
}
