//! Templates, which define parameters and the kinds of service that use them.

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

/// A template.
#[derive(Clone, Debug)]
pub struct TemplateSpec {
    /// Name of the template.
    pub name: Name,
    /// Location of the template's object.
    pub location: SourceLocation,
    /// Parameters that the kinds may reference.
    pub parameters: Vec<ParameterSpec>,
    /// Kinds of service that a workspace can use.
    pub kinds: Vec<ServiceKind>,
}

/// A kind of service: settings of a service that may contain references to parameters.
#[derive(Clone, Debug)]
pub struct ServiceKind {
    /// Name of the kind.
    pub name: Name,
    /// Settings, before parameter substitution.
    pub body: TreeNode,
}

impl TemplateSpec {
    /// Returns the parameter with the given name.
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

/// Parses a template file. `source` names the text in findings.
///
/// # Errors
///
/// Returns all findings if the text can't be parsed or a setting is invalid.
pub fn parse(source: &str, text: &str) -> Result<Vec<TemplateSpec>> {
    let node = tree::parse(source, text)?;
    let mut log = FindingLog::new();
    let templates = read_file(&node, &mut log);
    log.finish(templates)
}

/// Reads the templates of a file and reports duplicate names.
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
            log.add(&template.location, message, "rename one of the two");
        }
        templates.push(template);
    }
    Some(templates)
}

/// Reads one template and checks that its kinds reference only parameters that it defines.
fn read_template(node: &TreeNode, log: &mut FindingLog) -> Option<TemplateSpec> {
    let mut template = ObjectReader::new("a template", node, log)?;
    let name = template.required("name", log, reader::name);
    let parameters = template.optional("parameters", log, read_parameters);
    let kinds = template.required("kinds", log, read_kinds);
    template.finish(log);
    let spec = TemplateSpec {
        name: name?,
        location: node.location.clone(),
        parameters: parameters.unwrap_or_default(),
        kinds: kinds?,
    };
    let known = spec.parameter_names();
    for kind in &spec.kinds {
        substitute::check_references(&kind.body, &known, log);
    }
    Some(spec)
}

/// Reads the parameter definitions of a template.
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
            &node.location,
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

/// Returns the fields of an object that may have any names, and reports duplicates.
fn named_fields<'a>(
    description: &'static str,
    node: &'a TreeNode,
    log: &mut FindingLog,
) -> Option<&'a [TreeField]> {
    ObjectReader::new(description, node, log)?;
    match &node.value {
        NodeValue::Object(fields) => Some(fields),
        _ => None,
    }
}
