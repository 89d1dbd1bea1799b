//! Puts the values of parameters in place of `${name}`.
//!
//! A string that is one reference becomes the value itself, with the value's own place, so that a
//! later finding points at the line that gave it. Inside a longer string a reference becomes text.
//! In a list, a reference to a list is replaced by its items.

use std::collections::BTreeMap;

use jy_types::name::Name;

use crate::parameter::scalar_text;
use crate::reader::FindingLog;
use crate::reader::name_hint;
use crate::tree::NodeValue;
use crate::tree::TreeField;
use crate::tree::TreeNode;

/// Values of parameters by name.
pub type ValueMap = BTreeMap<Name, TreeNode>;

/// A piece of a string.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TextPiece<'a> {
    /// Text as it stands.
    Plain(&'a str),
    /// The name of a parameter.
    Reference(&'a str),
}

/// Splits a string at its references. An unclosed `${` is plain text.
fn pieces(text: &str) -> Vec<TextPiece<'_>> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once("${") {
        let Some((name, tail)) = after.split_once('}') else {
            break;
        };
        if !before.is_empty() {
            pieces.push(TextPiece::Plain(before));
        }
        pieces.push(TextPiece::Reference(name));
        rest = tail;
    }
    if !rest.is_empty() {
        pieces.push(TextPiece::Plain(rest));
    }
    pieces
}

/// Returns the names of the parameters that a tree refers to.
#[must_use]
pub fn references(node: &TreeNode) -> Vec<&str> {
    match &node.value {
        NodeValue::Text(text) => pieces(text)
            .into_iter()
            .filter_map(|piece| match piece {
                TextPiece::Reference(name) => Some(name),
                TextPiece::Plain(_) => None,
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
                    log.add(&node.place, message, name_hint(name, known));
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

/// Returns a tree with every reference replaced. A reference without a value stays as it is; the
/// caller reports it.
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
        place: node.place.clone(),
        value,
    }
}

/// Replaces the references of a setting's value.
fn apply_field(field: &TreeField, values: &ValueMap) -> TreeField {
    TreeField {
        node: apply(&field.node, values),
        ..field.clone()
    }
}

/// Replaces the references of a list's item; a list in place of a reference joins its parent.
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

/// Replaces the references of a string.
fn apply_text(node: &TreeNode, text: &str, values: &ValueMap) -> TreeNode {
    let pieces = pieces(text);
    if let [TextPiece::Reference(name)] = pieces.as_slice() {
        return values.get(*name).unwrap_or(node).clone();
    }
    let write = |piece: &TextPiece<'_>| match piece {
        TextPiece::Plain(text) => (*text).to_owned(),
        TextPiece::Reference(name) => values
            .get(*name)
            .map_or_else(|| format!("${{{name}}}"), |node| scalar_text(&node.value)),
    };
    let text: String = pieces.iter().map(write).collect();
    TreeNode {
        place: node.place.clone(),
        value: NodeValue::Text(text.into()),
    }
}
