//! Answers requests of operators: the agent's state, members, owners of units, metrics, and leaving the fleet.

use std::collections::BTreeMap;
use std::rc::Rc;

use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use jy_feed::view::FleetView;
use jy_feed::view::PageMap;
use jy_feed::view::ServiceKey;
use jy_kernel::clock;
use jy_types::assign::Grant;
use jy_types::assign::PageRecord;
use jy_types::key::KeyHash;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::status::AgentStatus;
use jy_types::status::DRAIN_PATH;
use jy_types::status::MEMBERS_PATH;
use jy_types::status::METRICS_PATH;
use jy_types::status::MemberStatus;
use jy_types::status::OWNER_PATH;
use jy_types::status::OwnerShare;
use jy_types::status::OwnerStatus;
use jy_types::status::SERVICES_PATH;
use jy_types::status::STATUS_PATH;
use jy_types::status::ServiceStatus;

use crate::feed::FeedService;
use crate::gate::GateService;
use crate::http::Answer;
use crate::http::json;
use crate::http::not_found;
use crate::identity::AgentIdentity;
use crate::lease::LeaseService;
use crate::metrics::AgentMetrics;
use crate::shutdown::LeaveSignal;

/// Name of this service.
pub const SERVICE: &str = "operator";

/// Paths of this listener, listed in the answer to any other path.
const PATHS: [&str; 6] = [
    STATUS_PATH,
    MEMBERS_PATH,
    OWNER_PATH,
    SERVICES_PATH,
    DRAIN_PATH,
    METRICS_PATH,
];

const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Answers requests of operators from the state of the services below.
pub struct OperatorService {
    /// Id and settings of this agent.
    pub identity: Rc<AgentIdentity>,
    /// Provides the view of the records.
    pub feed: Rc<FeedService>,
    /// Provides the end of this agent's lease.
    pub lease: Rc<LeaseService>,
    /// Provides the numbers of requests in flight and of owned units.
    pub gate: Rc<GateService>,
    /// The metrics of this agent.
    pub metrics: Rc<AgentMetrics>,
    /// Signals the agent to leave.
    pub leave: LeaveSignal,
}

impl OperatorService {
    /// Handles one request of an operator.
    #[must_use]
    pub fn handle(&self, request: &Request) -> Answer {
        let view = self.feed.view();
        match (request.method(), request.path()) {
            (&Method::GET, STATUS_PATH) => json(StatusCode::OK, &self.status(&view)),
            (&Method::GET, MEMBERS_PATH) => json(StatusCode::OK, &members(&view)),
            (&Method::GET, SERVICES_PATH) => json(StatusCode::OK, &services(&view)),
            (&Method::GET, OWNER_PATH) => owner(&view, request.uri().query().unwrap_or_default()),
            (&Method::GET, METRICS_PATH) => self.metrics(),
            (&Method::POST, DRAIN_PATH) => {
                self.leave.raise();
                json(StatusCode::ACCEPTED, &true)
            }
            _ => not_found(&PATHS),
        }
    }

    /// Returns the state of this agent.
    fn status(&self, view: &FleetView) -> AgentStatus {
        let id = self.identity.id.clone();
        AgentStatus {
            state: view.member(&id).map(|member| member.state),
            id,
            place: self.identity.settings.place.clone(),
            revision: self.feed.revision(),
            lease_left_ms: self.lease.lease_until().since(clock::now()),
            controller: view.term.as_ref().map(|term| term.value.holder.clone()),
            term: view.term.as_ref().map_or(0, |term| term.value.term),
            watches_store: self.feed.is_watching(),
            store_reachable: self.feed.store_reachable(),
            in_flight: self.gate.in_flight(),
            units: u32::try_from(self.gate.unit_count()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the metrics as text.
    fn metrics(&self) -> Answer {
        let lease_left_ms = self.lease.lease_until().since(clock::now());
        let text = self
            .metrics
            .encode(lease_left_ms, self.feed.revision(), self.gate.unit_count());
        Response::build(StatusCode::OK)
            .insert_header(("content-type", METRICS_CONTENT_TYPE))
            .body(text)
            .map_into_boxed_body()
    }
}

/// Returns the status of all members.
fn members(view: &FleetView) -> Vec<MemberStatus> {
    view.members
        .values()
        .map(|member| MemberStatus {
            id: member.value.id.clone(),
            state: member.value.state,
            place: member.value.place.clone(),
            operator_addr: member.value.operator_addr,
            endpoint: member.value.endpoint.clone(),
        })
        .collect()
}

/// Returns the number of units of each owner, for all services that are divided by key.
fn services(view: &FleetView) -> Vec<ServiceStatus> {
    view.pages
        .iter()
        .map(|(service, pages)| service_status(service, pages))
        .collect()
}

/// Counts the units of one service by owner, and those that have no owner or are moving.
fn service_status(service: &ServiceKey, pages: &PageMap) -> ServiceStatus {
    let mut units_by_owner: BTreeMap<AgentId, u32> = BTreeMap::new();
    let mut unassigned = 0;
    let mut moving = 0;
    for page in pages.values() {
        for grant in grants(&page.value) {
            moving += u32::from(grant.next_owner.is_some());
            let owner = grant
                .owner
                .and_then(|owner| page.value.owners.get(usize::from(owner)));
            match owner {
                Some(owner) => *units_by_owner.entry(owner.clone()).or_default() += 1,
                None => unassigned += 1,
            }
        }
    }
    ServiceStatus {
        workspace: service.0.clone(),
        service: service.1.clone(),
        owners: units_by_owner
            .into_iter()
            .map(|(owner, units)| OwnerShare { owner, units })
            .collect(),
        unassigned,
        moving,
    }
}

/// Returns the grants of a page: those of its slices and of its pinned keys.
fn grants(page: &PageRecord) -> impl Iterator<Item = &Grant> {
    page.slices
        .iter()
        .chain(page.pins.iter().map(|pin| &pin.grant))
}

/// Answers a query for the owner of a key.
fn owner(view: &FleetView, query: &str) -> Answer {
    let fields: BTreeMap<String, String> = serde_urlencoded::from_str(query).unwrap_or_default();
    let (Some(workspace), Some(service), Some(key)) = (
        fields.get("workspace"),
        fields.get("service"),
        fields.get("key"),
    ) else {
        let text = format!("{OWNER_PATH} needs workspace, service and key in its query");
        return json(StatusCode::BAD_REQUEST, &text);
    };
    let service_key: ServiceKey = (workspace.as_str().into(), service.as_str().into());
    let hash = KeyHash::new(key);
    let unit = view.unit_of(&service_key, hash);
    let Some(grant) = view.grant(&service_key, unit) else {
        let text =
            format!("{workspace}/{service} has no assignment; is it divided by key and accepted?");
        return json(StatusCode::NOT_FOUND, &text);
    };
    let status = OwnerStatus {
        slice: hash.slice().0,
        pinned: matches!(unit, Unit::Key(_)),
        owner: grant.owner,
        fence: grant.fence.0,
        next_owner: grant.next_owner,
    };
    json(StatusCode::OK, &status)
}
