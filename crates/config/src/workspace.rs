//! Workspace files: which template, which availability zones, which services.

use jy_types::finding::SourceLocation;
use jy_types::name::Name;

use crate::reader;
use crate::reader::FindingLog;
use crate::reader::ObjectReader;
use crate::tree::NodeValue;
use crate::tree::TreeField;
use crate::tree::TreeNode;

/// A name and where it stands.
pub type LocatedName = (Name, SourceLocation);

/// A workspace as its file has it.
#[derive(Clone, Debug)]
pub struct WorkspaceFile {
    /// Its name.
    pub name: Name,
    /// Path of the file of templates, relative to this file.
    pub templates: LocatedName,
    /// Name of its template.
    pub template: LocatedName,
    /// Availability zones it may use.
    pub zones: Vec<LocatedName>,
    /// Availability zones taken out.
    pub zones_out: Vec<LocatedName>,
    /// Values of parameters for all its services.
    pub parameters: Vec<TreeField>,
    /// Its services.
    pub services: Vec<ServiceEntry>,
}

/// One service as the workspace's file has it.
#[derive(Clone, Debug)]
pub struct ServiceEntry {
    /// Its name.
    pub name: Name,
    /// Where it begins.
    pub place: SourceLocation,
    /// Its kind in the template.
    pub kind: LocatedName,
    /// Values of parameters for this service alone.
    pub parameters: Vec<TreeField>,
}

/// Reads a workspace file. Findings go to `log`; none comes back if a setting could not be read.
pub fn read(node: &TreeNode, log: &mut FindingLog) -> Option<WorkspaceFile> {
    let mut file = ObjectReader::new("a workspace", node, log)?;
    let name = file.required("workspace", log, reader::name);
    let templates = file.required("templates", log, placed_text);
    let template = file.required("template", log, placed_text);
    let zones = file.required("zones", log, reader::names);
    let zones_out = file.optional("zones_out", log, reader::names);
    let parameters = file.optional("parameters", log, read_parameters);
    let services = file.required("services", log, read_services);
    file.finish(log);
    let zones_out = zones_out.unwrap_or_default();
    if let Some(zones) = &zones {
        check_zones(&node.place, zones, &zones_out, log);
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

/// Reads a string with its place.
fn placed_text(node: &TreeNode, log: &mut FindingLog) -> Option<LocatedName> {
    Some((reader::text(node, log)?, node.place.clone()))
}

/// Checks that some zone is left and that only listed ones are taken out.
fn check_zones(
    place: &SourceLocation,
    zones: &[LocatedName],
    zones_out: &[LocatedName],
    log: &mut FindingLog,
) {
    let names: Vec<_> = zones.iter().map(|(name, _)| name.clone()).collect();
    for (name, place) in zones_out {
        if !names.contains(name) {
            let message = format!("zone {name:?} is taken out but not listed in \"zones\"");
            log.add(place, message, reader::name_hint(name, &names));
        }
    }
    let out = |name: &Name| zones_out.iter().any(|(other, _)| other == name);
    if names.is_empty() {
        log.add(
            place,
            "\"zones\" is empty",
            "list at least one availability zone",
        );
    } else if names.iter().all(out) {
        let message = "\"zones_out\" takes out every zone: no service has an endpoint left";
        let place = zones_out.first().map_or(place, |(_, place)| place);
        log.add(place, message, "leave at least one zone in");
    }
}

/// Returns the values of parameters.
fn read_parameters(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<TreeField>> {
    ObjectReader::new("the parameters", node, log)?;
    match &node.value {
        NodeValue::Object(fields) => Some(fields.clone()),
        _ => None,
    }
}

/// Reads the list of services.
fn read_services(node: &TreeNode, log: &mut FindingLog) -> Option<Vec<ServiceEntry>> {
    let items = reader::items(node, log)?;
    if items.is_empty() {
        log.add(
            &node.place,
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
            log.add(&service.place, message, "rename one of the two");
        }
        services.push(service);
    }
    Some(services)
}

/// Reads one service.
fn read_service(node: &TreeNode, log: &mut FindingLog) -> Option<ServiceEntry> {
    let mut service = ObjectReader::new("a service", node, log)?;
    let name = service.required("name", log, reader::name);
    let kind = service.required("kind", log, placed_text);
    let parameters = service.optional("parameters", log, read_parameters);
    service.finish(log);
    Some(ServiceEntry {
        name: name?,
        place: node.place.clone(),
        kind: kind?,
        parameters: parameters.unwrap_or_default(),
    })
}
