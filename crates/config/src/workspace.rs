//! Workspace files, which choose a template, availability zones and services.

use jy_types::finding::SourceLocation;
use jy_types::name::Name;

use crate::reader;
use crate::reader::FindingLog;
use crate::reader::ObjectReader;
use crate::tree::NodeValue;
use crate::tree::TreeField;
use crate::tree::TreeNode;

/// A name and its source location.
pub type LocatedName = (Name, SourceLocation);

/// A parsed workspace file.
#[derive(Clone, Debug)]
pub struct WorkspaceFile {
    /// Name of the workspace.
    pub name: Name,
    /// Path of the template file, relative to the workspace file.
    pub templates: LocatedName,
    /// Name of the template in that file.
    pub template: LocatedName,
    /// Availability zones that the workspace may use.
    pub zones: Vec<LocatedName>,
    /// Availability zones taken out of service.
    pub zones_out: Vec<LocatedName>,
    /// Parameter values for all services.
    pub parameters: Vec<TreeField>,
    /// Services of the workspace.
    pub services: Vec<ServiceEntry>,
}

/// An entry for one service in a workspace file.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: Name,
    /// Location of the entry.
    pub location: SourceLocation,
    /// Name of its kind in the template.
    pub kind: LocatedName,
    /// Parameter values for this service only.
    pub parameters: Vec<TreeField>,
}

/// Reads a workspace file. Adds findings to `log` and returns `None` if a required setting can't be read.
pub fn read(node: &TreeNode, log: &mut FindingLog) -> Option<WorkspaceFile> {
    let mut file = ObjectReader::new("a workspace", node, log)?;
    let name = file.required("workspace", log, reader::name);
    let templates = file.required("templates", log, located_text);
    let template = file.required("template", log, located_text);
    let zones = file.required("zones", log, reader::names);
    let zones_out = file.optional("zones_out", log, reader::names);
    let parameters = file.optional("parameters", log, read_parameters);
    let services = file.required("services", log, read_services);
    file.finish(log);
    let zones_out = zones_out.unwrap_or_default();
    if let Some(zones) = &zones {
        check_zones(&node.location, zones, &zones_out, log);
    }
    Some(WorkspaceFile {
        name: name?,
        templates: templates?,
        template: template?,
        zones: zones?,
        zones_out,
        parameters: parameters.unwrap_or_default(),
        services: services?,
    })
}

/// Reads a non-empty string with its location.
fn located_text(node: &TreeNode, log: &mut FindingLog) -> Option<LocatedName> {
    Some((reader::text(node, log)?, node.location.clone()))
}

/// Checks that at least one availability zone is in service, and that `zones_out` contains only zones that are
/// also in `zones`.
fn check_zones(
    location: &SourceLocation,
    zones: &[LocatedName],
    zones_out: &[LocatedName],
    log: &mut FindingLog,
) {
    let names: Vec<_> = zones.iter().map(|(name, _)| name.clone()).collect();
    for (name, location) in zones_out {
        if !names.contains(name) {
            let message = format!("zone {name:?} is in \"zones_out\" but not in \"zones\"");
            log.add(location, message, reader::name_hint(name, &names));
        }
    }
    let is_out = |name: &Name| zones_out.iter().any(|(other, _)| other == name);
    if names.is_empty() {
        log.add(
            location,
            "\"zones\" is empty",
            "list at least one availability zone",
        );
    } else if names.iter().all(is_out) {
        let message = "\"zones_out\" contains every zone, which leaves no endpoint for any service";
        let location = zones_out.first().map_or(location, |(_, location)| location);
        log.add(
            location,
            message,
            "remove at least one zone from \"zones_out\"",
        );
    }
}

/// Reads parameter values and reports duplicates.
fn read_parameters(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<TreeField>> {
    ObjectReader::new("the parameters", node, log)?;
    match &node.value {
        NodeValue::Object(fields) => Some(fields.clone()),
        _ => None,
    }
}

/// Reads the list of services and reports duplicate names.
fn read_services(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<ServiceEntry>> {
    let items = reader::items(node, log)?;
    if items.is_empty() {
        log.add(
            &node.location,
            "the workspace has no services",
            "add a service",
        );
    }
    let mut services: Vec<ServiceEntry> = Vec::new();
    for item in items {
        let Some(service) = read_service(item, log) else {
            continue;
        };
        if services.iter().any(|other| other.name == service.name) {
            let message = format!("service {:?} is defined twice", service.name);
            log.add(&service.location, message, "rename one of the two");
        }
        services.push(service);
    }
    Some(services)
}

fn read_service(node: &TreeNode, log: &mut FindingLog) -> Option<ServiceEntry> {
    let mut service = ObjectReader::new("a service", node, log)?;
    let name = service.required("name", log, reader::name);
    let kind = service.required("kind", log, located_text);
    let parameters = service.optional("parameters", log, read_parameters);
    service.finish(log);
    Some(ServiceEntry {
        name: name?,
        location: node.location.clone(),
        kind: kind?,
        parameters: parameters.unwrap_or_default(),
    })
}
