//! Templates: parameters with their types and limits, and the kinds of service made from them.

use jy_types::finding::SourceLocation;
use jy_types::name::Name;

use crate::parameter;
use crate::parameter::ParameterSpec;
use crate::reader;
use crate::reader::FindingLog;
use crate::reader::ObjectReader;
use crate::reader::Result;
use crate::substitute;
use crate::tree;
use crate::tree::NodeValue;
use crate::tree::TreeField;
use crate::tree::TreeNode;

/// One template.
#[derive(Clone, Debug)]
pub struct TemplateSpec {
    /// Its name.
    pub name: Name,
    /// Where it begins.
    pub place: SourceLocation,
    /// Its parameters.
    pub parameters: Vec<ParameterSpec>,
    /// The kinds of service that workspaces choose from.
    pub kinds: Vec<ServiceKind>,
}

/// A kind of service: the settings of a service with parameters in them.
#[derive(Clone, Debug)]
pub struct ServiceKind {
    /// Its name.
    pub name: Name,
    /// The settings.
    pub body: TreeNode,
}

impl TemplateSpec {
    /// Returns a parameter by name.
    #[must_use]
    pub fn parameter(&self, name: &str) -> Option<&ParameterSpec> {
        self.parameters.iter().find(|spec| &*spec.name == name)
    }

    /// Returns the names of all parameters.
    #[must_use]
    pub fn parameter_names(&self) -> Vec<Name> {
        self.parameters
            .iter()
            .map(|spec| spec.name.clone())
            .collect()
    }
}

/// Parses a file of templates. `source` names the text in findings.
///
/// # Errors
///
/// All findings with their place.
pub fn parse(source: &str, text: &str) -> Result<Vec<TemplateSpec>> {
    let node = tree::parse(source, text)?;
    let mut log = FindingLog::new();
    let templates = read_file(&node, &mut log);
    log.finish(templates)
}

/// Reads the list of templates.
fn read_file(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<TemplateSpec>> {
    let mut file = ObjectReader::new("a template file", node, log)?;
    let items = file.required("templates", log, reader::items);
    file.finish(log);
    let mut templates: Vec<TemplateSpec> = Vec::new();
    for item in items? {
        let Some(template) = read_template(item, log) else {
            continue;
        };
        if templates.iter().any(|other| other.name == template.name) {
            let message = format!("template {:?} is defined twice", template.name);
            log.add(&template.place, message, "rename one of the two");
        }
        templates.push(template);
    }
    Some(templates)
}

/// Reads one template and checks that its kinds refer to its own parameters only.
fn read_template(node: &TreeNode, log: &mut FindingLog) -> Option<TemplateSpec> {
    let mut template = ObjectReader::new("a template", node, log)?;
    let name = template.required("name", log, reader::name);
    let parameters = template.optional("parameters", log, read_parameters);
    let kinds = template.required("kinds", log, read_kinds);
    template.finish(log);
    let spec = TemplateSpec {
        name: name?,
        place: node.place.clone(),
        parameters: parameters.unwrap_or_default(),
        kinds: kinds?,
    };
    let known = spec.parameter_names();
    for kind in &spec.kinds {
        substitute::check_references(&kind.body, &known, log);
    }
    Some(spec)
}

/// Reads the parameters of a template.
fn read_parameters(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<ParameterSpec>> {
    let specs = named_fields("the parameters", node, log)?
        .iter()
        .filter_map(|field| parameter::read_spec(field, log));
    Some(specs.collect())
}

/// Reads the kinds of service of a template.
fn read_kinds(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<ServiceKind>> {
    let fields = named_fields("the kinds", node, log)?;
    if fields.is_empty() {
        log.add(
            &node.place,
            "the template has no kinds",
            "add a kind of service",
        );
    }
    let kind = |field: &TreeField| ServiceKind {
        name: field.name.clone(),
        body: field.node.clone(),
    };
    Some(fields.iter().map(kind).collect())
}

/// Returns the fields of an object whose names are chosen by its author.
fn named_fields<'a>(
    what: &'static str,
    node: &'a TreeNode,
    log: &mut FindingLog,
) -> Option<&'a [TreeField]> {
    ObjectReader::new(what, node, log)?;
    match &node.value {
        NodeValue::Object(fields) => Some(fields),
        _ => None,
    }
}
