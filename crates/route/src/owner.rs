//! Agents that may serve a request according to the fleet view.

use std::collections::BTreeMap;

use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_types::key::KeyHash;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::member::MemberState;
use jy_types::name::Name;

/// Returns the unit of a key and its owner, if the unit has an owner that is live or leaving.
#[must_use]
pub fn find_owner(view: &FleetView, service: &ServiceKey, key: KeyHash) -> Option<(Unit, AgentId)> {
    let unit = view.unit_of(service, key);
    let id = view.grant(service, unit)?.owner?;
    let state = view.member(&id)?.state;
    matches!(state, MemberState::Live | MemberState::Leaving).then_some((unit, id))
}

/// Routing data of one service.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// Whether the service is divided by key.
    pub keyed: bool,
    /// Agents that serve the service; used for requests without a key.
    pub endpoints: Vec<AgentId>,
}

/// Routing data of all services, by workspace and service name.
pub type ServiceRoutes = BTreeMap<Name, BTreeMap<Name, ServiceRoute>>;

/// Collects the routing data of all services in a fleet view.
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
