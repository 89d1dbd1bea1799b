//! Who may serve a request, by the records.

use std::collections::BTreeMap;

use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_types::key::KeyHash;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::member::MemberState;
use jy_types::name::Name;

/// Returns the unit of a key and its owner, if the owner is there to serve it.
#[must_use]
pub fn owner(view: &FleetView, service: &ServiceKey, key: KeyHash) -> Option<(Unit, AgentId)> {
    let unit = view.unit_of(service, key);
    let id = view.grant(service, unit)?.owner?;
    let state = view.member(&id)?.state;
    matches!(state, MemberState::Live | MemberState::Leaving).then_some((unit, id))
}

/// What the records say of one service.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// Whether it is divided by key.
    pub keyed: bool,
    /// Its endpoints, where it is not.
    pub endpoints: Vec<AgentId>,
}

/// Services by workspace and name.
pub type ServiceRoutes = BTreeMap<Name, BTreeMap<Name, ServiceRoute>>;

/// Lists all services with their endpoints.
#[must_use]
pub fn service_routes(view: &FleetView) -> ServiceRoutes {
    let mut routes = ServiceRoutes::new();
    for (name, workspace) in &view.workspaces {
        let services = routes.entry(name.clone()).or_default();
        for service in &workspace.value.services {
            let endpoints = view
                .endpoints(&workspace.value, &service.name)
                .map(|member| member.id.clone())
                .collect();
            let keyed = service.keyed;
            services.insert(service.name.clone(), ServiceRoute { keyed, endpoints });
        }
    }
    routes
}
