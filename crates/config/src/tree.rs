//! A JSON text with comments as a tree in which every node knows its place.

use jsonc_parser::CollectOptions;
use jsonc_parser::ParseOptions;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use jsonc_parser::parse_to_ast;
use jy_types::finding::Finding;
use jy_types::finding::FindingList;
use jy_types::finding::SourceLocation;
use jy_types::name::Name;

/// Result of this module.
pub type Result<T> = std::result::Result<T, FindingList>;

/// A value and where it stands.
#[derive(Clone, Debug, PartialEq)]
pub struct TreeNode {
    /// Where its text begins.
    pub place: SourceLocation,
    /// The value.
    pub value: NodeValue,
}

/// What a node holds.
#[derive(Clone, Debug, PartialEq)]
pub enum NodeValue {
    /// `null`.
    Null,
    /// `true` or `false`.
    Boolean(bool),
    /// A number as it is written.
    Number(Name),
    /// A string.
    Text(Name),
    /// A list.
    List(Vec<TreeNode>),
    /// An object; a name may stand twice.
    Object(Vec<TreeField>),
}

/// One setting of an object.
#[derive(Clone, Debug, PartialEq)]
pub struct TreeField {
    /// Its name.
    pub name: Name,
    /// Where the name stands.
    pub place: SourceLocation,
    /// Its value.
    pub node: TreeNode,
}

impl NodeValue {
    /// Names the kind of value for a message.
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

/// Parses a text. `source` names it in places.
///
/// # Errors
///
/// One finding: the first place that is not JSON with comments.
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
        .ok_or_else(|| builder.syntax_finding(0, "The text holds no value"))?;
    Ok(builder.node(&value))
}

/// Turns the parser's tree, which knows byte ranges, into one that knows lines and columns.
struct TreeBuilder<'a> {
    source: Name,
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> TreeBuilder<'a> {
    /// Indexes the lines of a text.
    fn new(source: &str, text: &'a str) -> Self {
        let after_breaks = text.match_indices('\n').map(|(index, _)| index + 1);
        Self {
            source: source.into(),
            text,
            line_starts: std::iter::once(0).chain(after_breaks).collect(),
        }
    }

    /// Returns the place of a byte.
    fn place(&self, offset: usize) -> SourceLocation {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let column = self.text[start..offset].chars().count() + 1;
        SourceLocation {
            source: self.source.clone(),
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
        }
    }

    /// Describes a text that is not JSON with comments.
    fn syntax_finding(&self, offset: usize, cause: &str) -> FindingList {
        FindingList(vec![Finding {
            place: self.place(offset),
            message: format!("not JSON with comments: {}", lower_first(cause)).into(),
            hint: "mend this place first; what follows it could not be checked".into(),
        }])
    }

    /// Copies a value with its place.
    fn node(&self, value: &ast::Value<'_>) -> TreeNode {
        let copy = match value {
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
            place: self.place(value.start()),
            value: copy,
        }
    }

    /// Copies a setting with its place.
    fn field(&self, property: &ast::ObjectProp<'_>) -> TreeField {
        TreeField {
            name: property.name.as_str().into(),
            place: self.place(property.name.start()),
            node: self.node(&property.value),
        }
    }
}

/// Lowers the first letter of the parser's message.
fn lower_first(text: &str) -> String {
    let mut letters = text.chars();
    letters.next().map_or_else(String::new, |first| {
        first.to_lowercase().chain(letters).collect()
    })
}
