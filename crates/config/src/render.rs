//! Renders a workspace record from a workspace file and its template.

use jy_types::name::Name;
use jy_types::workspace::ServiceSpec;
use jy_types::workspace::WorkspaceRecord;

use crate::parameter;
use crate::reader;
use crate::reader::FindingLog;
use crate::reader::Result;
use crate::service;
use crate::substitute;
use crate::substitute::ValueMap;
use crate::template;
use crate::template::ServiceKind;
use crate::template::TemplateSpec;
use crate::tree;
use crate::tree::TreeField;
use crate::workspace;
use crate::workspace::LocatedName;
use crate::workspace::ServiceEntry;
use crate::workspace::WorkspaceFile;

/// Text of a file and the name under which findings refer to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceText {
    /// Name of the file.
    pub name: Name,
    /// Text of the file.
    pub text: String,
}

/// Renders a workspace. `load` reads the template file at the path that the workspace sets, and returns a
/// description of the cause if it fails.
///
/// # Errors
///
/// Returns all findings in both files if either can't be parsed or a setting is invalid.
pub fn render(
    source: &SourceText,
    load: impl FnOnce(&str) -> std::result::Result<SourceText, String>,
) -> Result<WorkspaceRecord> {
    let node = tree::parse(&source.name, &source.text)?;
    let mut log = FindingLog::new();
    let file = workspace::read(&node, &mut log);
    let record = file.and_then(|file| render_file(&file, load, &mut log));
    log.finish(record)
}

/// Renders a workspace from its parsed file.
fn render_file(
    file: &WorkspaceFile,
    load: impl FnOnce(&str) -> std::result::Result<SourceText, String>,
    log: &mut FindingLog,
) -> Option<WorkspaceRecord> {
    let templates = load_templates(&file.templates, load, log)?;
    let template = find_template(&file.template, &templates, log)?;
    check_parameters(template, &file.parameters, log);
    let services: Vec<_> = file
        .services
        .iter()
        .filter_map(|entry| render_service(file, template, entry, log))
        .collect();
    Some(WorkspaceRecord {
        name: file.name.clone(),
        zones: without_locations(&file.zones),
        zones_out: without_locations(&file.zones_out),
        services,
        token: 0,
        accepted: None,
    })
}

fn without_locations(names: &[LocatedName]) -> Vec<Name> {
    names.iter().map(|(name, _)| name.clone()).collect()
}

/// Reads and parses the template file.
fn load_templates(
    (path, location): &LocatedName,
    load: impl FnOnce(&str) -> std::result::Result<SourceText, String>,
    log: &mut FindingLog,
) -> Option<Vec<TemplateSpec>> {
    let source = match load(path) {
        Ok(source) => source,
        Err(cause) => {
            let message = format!("template file {path:?} can't be read: {cause}");
            log.add(
                location,
                message,
                "use a path relative to the workspace file",
            );
            return None;
        }
    };
    match template::parse(&source.name, &source.text) {
        Ok(templates) => Some(templates),
        Err(findings) => {
            log.extend(findings);
            None
        }
    }
}

/// Finds a template by name. Adds a finding if there is none.
fn find_template<'a>(
    (name, location): &LocatedName,
    templates: &'a [TemplateSpec],
    log: &mut FindingLog,
) -> Option<&'a TemplateSpec> {
    let found = templates.iter().find(|template| template.name == *name);
    if found.is_none() {
        let names: Vec<_> = templates.iter().map(|template| &template.name).collect();
        let message = format!("unknown template {name:?}");
        log.add(location, message, reader::name_hint(name, &names));
    }
    found
}

/// Checks the values that a workspace or a service sets against the template's parameters.
fn check_parameters(template: &TemplateSpec, fields: &[TreeField], log: &mut FindingLog) {
    for field in fields {
        if let Some(spec) = template.parameter(&field.name) {
            parameter::check_value(spec, &field.node, log);
            continue;
        }
        let message = format!(
            "unknown parameter {:?} of template {:?}",
            field.name, template.name
        );
        let hint = reader::name_hint(&field.name, &template.parameter_names());
        log.add(&field.location, message, hint);
    }
}

fn render_service(
    file: &WorkspaceFile,
    template: &TemplateSpec,
    entry: &ServiceEntry,
    log: &mut FindingLog,
) -> Option<ServiceSpec> {
    check_parameters(template, &entry.parameters, log);
    let kind = find_kind(&entry.kind, template, log)?;
    let values = parameter_values(file, template, entry);
    let mut complete = true;
    for name in substitute::references(&kind.body) {
        if !values.contains_key(name) {
            let message = format!("service {:?} needs parameter {name:?}", entry.name);
            let hint = "set it in \"parameters\" of the service or of the workspace";
            log.add(&entry.location, message, hint);
            complete = false;
        }
    }
    check_unused_parameters(template, kind, entry, log);
    let body = substitute::apply(&kind.body, &values);
    complete.then(|| service::read(&entry.name, &body, log))?
}

/// Reports parameters that a service sets but its kind does not use.
fn check_unused_parameters(
    template: &TemplateSpec,
    kind: &ServiceKind,
    entry: &ServiceEntry,
    log: &mut FindingLog,
) {
    let used = substitute::references(&kind.body);
    for field in &entry.parameters {
        let known = template.parameter(&field.name).is_some();
        if known && !used.contains(&&*field.name) {
            let message = format!(
                "kind {:?} does not use parameter {:?}",
                kind.name, field.name
            );
            log.add(
                &field.location,
                message,
                reader::name_hint(&field.name, &used),
            );
        }
    }
}

/// Finds a kind of service by name. Adds a finding if there is none.
fn find_kind<'a>(
    (name, location): &LocatedName,
    template: &'a TemplateSpec,
    log: &mut FindingLog,
) -> Option<&'a ServiceKind> {
    let found = template.kinds.iter().find(|kind| kind.name == *name);
    if found.is_none() {
        let names: Vec<_> = template.kinds.iter().map(|kind| &kind.name).collect();
        let message = format!("template {:?} has no kind {name:?}", template.name);
        log.add(location, message, reader::name_hint(name, &names));
    }
    found
}

/// Collects the values of all parameters for a service. A value set by the service overrides that of the
/// workspace, which overrides the default of the template.
fn parameter_values(
    file: &WorkspaceFile,
    template: &TemplateSpec,
    entry: &ServiceEntry,
) -> ValueMap {
    let defaults = template.parameters.iter().filter_map(|spec| {
        let default = spec.default.clone()?;
        Some((spec.name.clone(), default))
    });
    let set_fields = file.parameters.iter().chain(&entry.parameters);
    let set_values = set_fields.map(|field| (field.name.clone(), field.node.clone()));
    defaults.chain(set_values).collect()
}
