//! Makes the accepted form of a workspace from its file and its template.

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

/// A text and the name that findings give it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SourceText {
    /// File name.
    pub name: Name,
    /// Its text.
    pub text: String,
}

/// Renders a workspace. `load` reads the file of templates that the workspace names; its error is
/// the cause in words.
///
/// # Errors
///
/// All findings of both files with their place.
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

/// Renders a workspace whose file was read.
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
        zones: plain(&file.zones),
        zones_out: plain(&file.zones_out),
        services,
        token: 0,
        accepted: None,
    })
}

/// Drops the places of names.
fn plain(names: &[LocatedName]) -> Vec<Name> {
    names.iter().map(|(name, _)| name.clone()).collect()
}

/// Reads the file of templates.
fn load_templates(
    (path, place): &LocatedName,
    load: impl FnOnce(&str) -> std::result::Result<SourceText, String>,
    log: &mut FindingLog,
) -> Option<Vec<TemplateSpec>> {
    let source = match load(path) {
        Ok(source) => source,
        Err(cause) => {
            let message = format!("the templates at {path:?} can't be read: {cause}");
            log.add(place, message, "give a path relative to this file");
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

/// Finds a template by name.
fn find_template<'a>(
    (name, place): &LocatedName,
    templates: &'a [TemplateSpec],
    log: &mut FindingLog,
) -> Option<&'a TemplateSpec> {
    let found = templates.iter().find(|template| template.name == *name);
    if found.is_none() {
        let names: Vec<_> = templates.iter().map(|template| &template.name).collect();
        let message = format!("unknown template {name:?}");
        log.add(place, message, reader::name_hint(name, &names));
    }
    found
}

/// Checks given values against the template's parameters.
fn check_parameters(template: &TemplateSpec, given: &[TreeField], log: &mut FindingLog) {
    for field in given {
        if let Some(spec) = template.parameter(&field.name) {
            parameter::check_value(spec, &field.node, log);
            continue;
        }
        let message = format!(
            "unknown parameter {:?} of template {:?}",
            field.name, template.name
        );
        let hint = reader::name_hint(&field.name, &template.parameter_names());
        log.add(&field.place, message, hint);
    }
}

/// Renders one service.
fn render_service(
    file: &WorkspaceFile,
    template: &TemplateSpec,
    entry: &ServiceEntry,
    log: &mut FindingLog,
) -> Option<ServiceSpec> {
    check_parameters(template, &entry.parameters, log);
    let kind = find_kind(&entry.kind, template, log)?;
    let values = values_for(file, template, entry);
    let mut complete = true;
    for name in substitute::references(&kind.body) {
        if !values.contains_key(name) {
            let message = format!("service {:?} needs parameter {name:?}", entry.name);
            let hint = "set it in \"parameters\" of the service or of the workspace";
            log.add(&entry.place, message, hint);
            complete = false;
        }
    }
    check_use(template, kind, entry, log);
    let body = substitute::apply(&kind.body, &values);
    complete.then(|| service::read(&entry.name, &body, log))?
}

/// Reports values given for a service whose kind does not use them.
fn check_use(
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
            log.add(&field.place, message, reader::name_hint(&field.name, &used));
        }
    }
}

/// Finds a kind of service by name.
fn find_kind<'a>(
    (name, place): &LocatedName,
    template: &'a TemplateSpec,
    log: &mut FindingLog,
) -> Option<&'a ServiceKind> {
    let found = template.kinds.iter().find(|kind| kind.name == *name);
    if found.is_none() {
        let names: Vec<_> = template.kinds.iter().map(|kind| &kind.name).collect();
        let message = format!("template {:?} has no kind {name:?}", template.name);
        log.add(place, message, reader::name_hint(name, &names));
    }
    found
}

/// Collects the values of parameters: the service's own, else the workspace's, else the default.
fn values_for(file: &WorkspaceFile, template: &TemplateSpec, entry: &ServiceEntry) -> ValueMap {
    let defaults = template.parameters.iter().filter_map(|spec| {
        let default = spec.default.clone()?;
        Some((spec.name.clone(), default))
    });
    let given = file.parameters.iter().chain(&entry.parameters);
    let given = given.map(|field| (field.name.clone(), field.node.clone()));
    defaults.chain(given).collect()
}
