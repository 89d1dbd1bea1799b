//! Parses JSON with comments into a tree in which every node has a source location.

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use jy_types::finding::Finding;
use jy_types::finding::FindingList;
use jy_types::finding::SourceLocation;
use jy_types::name::Name;

/// Result of parsing a text.
pub type Result<T> = std::result::Result<T, FindingList>;

/// A value and its source location.
#[derive(Clone, Debug, PartialEq)]
pub struct TreeNode {
    /// Location of the first character of the value.
    pub location: SourceLocation,
    /// The value.
    pub value: NodeValue,
}

/// Value of a node.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeValue {
    /// `null`.
    Null,
    /// `true` or `false`.
    Boolean(bool),
    /// A number, as written in the source.
    Number(Name),
    /// A string.
    Text(Name),
    /// A list.
    List(Vec<TreeNode>),
    /// An object, which may contain duplicate names.
    Object(Vec<TreeField>),
}

/// One setting of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct TreeField {
    /// Name of the setting.
    pub name: Name,
    /// Location of the name.
    pub location: SourceLocation,
    /// Value of the setting.
    pub node: TreeNode,
}

impl NodeValue {
    /// Describes the type of the value in error messages.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Null => "null",
            Self::Boolean(_) => "true or false",
            Self::Number(_) => "a number",
            Self::Text(_) => "a string",
            Self::List(_) => "a list",
            Self::Object(_) => "an object",
        }
    }
}

/// Parses JSON with comments. `source` names the text in locations.
///
/// # Errors
///
/// Returns one finding at the first syntax error.
pub fn parse(source: &str, text: &str) -> Result<TreeNode> {
    let builder = TreeBuilder::new(source, text);
    let options = ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options)
        .map_err(|error| builder.syntax_finding(error.range().start, &error.kind().to_string()))?;
    let value = parsed
        .value
        .ok_or_else(|| builder.syntax_finding(0, "The text contains no value"))?;
    Ok(builder.node(&value))
}

/// Converts the parser's tree, which has byte ranges, to one that has lines and columns.
struct TreeBuilder<'a> {
    source: Name,
    text: &'a str,
    /// Byte offset of the start of each line.
    line_starts: Vec<usize>,
}

impl<'a> TreeBuilder<'a> {
    /// Creates a builder for a text and indexes its lines.
    fn new(source: &str, text: &'a str) -> Self {
        let after_newlines = text.match_indices('\n').map(|(index, _)| index + 1);
        Self {
            source: source.into(),
            text,
            line_starts: std::iter::once(0).chain(after_newlines).collect(),
        }
    }

    /// Converts a byte offset to a line and column.
    fn location(&self, offset: usize) -> SourceLocation {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let column = self.text[start..offset].chars().count() + 1;
        SourceLocation {
            source: self.source.clone(),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }

    /// Returns the finding for a syntax error.
    fn syntax_finding(&self, offset: usize, cause: &str) -> FindingList {
        FindingList(vec![Finding {
            location: self.location(offset),
            message: format!("invalid JSON with comments: {}", lowercase_first(cause)).into(),
            hint: "fix this syntax error first; the text after it could not be checked".into(),
        }])
    }

    /// Converts a value.
    fn node(&self, value: &ast::Value<'_>) -> TreeNode {
        let node_value = match value {
            ast::Value::NullKeyword(_) => NodeValue::Null,
            ast::Value::BooleanLit(literal) => NodeValue::Boolean(literal.value),
            ast::Value::NumberLit(literal) => NodeValue::Number(literal.value.into()),
            ast::Value::StringLit(literal) => NodeValue::Text(literal.value.as_ref().into()),
            ast::Value::Array(array) => {
                NodeValue::List(array.elements.iter().map(|item| self.node(item)).collect())
            }
            ast::Value::Object(object) => NodeValue::Object(
                object
                    .properties
                    .iter()
                    .map(|field| self.field(field))
                    .collect(),
            ),
        };
        TreeNode {
            location: self.location(value.start()),
            value: node_value,
        }
    }

    /// Converts a property of an object.
    fn field(&self, property: &ast::ObjectProp<'_>) -> TreeField {
        TreeField {
            name: property.name.as_str().into(),
            location: self.location(property.name.start()),
            node: self.node(&property.value),
        }
    }
}

/// Converts the first character to lowercase, so that the parser's message can follow a colon.
fn lowercase_first(text: &str) -> String {
    let mut chars = text.chars();
    chars.next().map_or_else(String::new, |first| {
        first.to_lowercase().chain(chars).collect()
    })
}
