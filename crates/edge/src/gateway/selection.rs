//! Choice of the agents that a request is sent to, and what their reports tell of them.

use std::net::SocketAddr;
use std::time::Duration;

use jy_kernel::clock;
use jy_policy::budget::SendPurpose;
use jy_policy::choice::LargeBody;
use jy_policy::choice::PickDemand;
use jy_policy::moving::TYPICAL_MOVE_GAP_MS;
use jy_policy::moving::max_wait_ms;
use jy_policy::moving::wait_objective;
use jy_ranges::table::RangeOwner;
use jy_types::name::Name;
use tokio::time::timeout;

use super::CallState;
use super::CallerGateway;
use super::MAX_GATES_ASKED;
use crate::forward::GateOutcome;
use crate::forward::GateReport;
use crate::forward::MEMORY_RETRY_MS;
use crate::snapshot::FleetSnapshot;
use crate::transfer;

impl CallerGateway {
    /// Whether a service is divided by key, so that requests go to the owner of their key.
    pub(super) fn is_keyed(&self, service: &str) -> bool {
        let snapshot = self.snapshot.borrow();
        let routes = snapshot.routes.as_ref();
        let rule = routes.and_then(|routes| routes.services.get(service));
        rule.is_some_and(|rule| rule.keyed)
    }

    /// Chooses the next agent. If a key has no reachable owner at the first attempt, waits for another owner. Returns
    /// `None` if no other one is to be asked, or if there is no memory for a response.
    pub(super) async fn next_node(&self, call: &mut CallState, is_keyed: bool) -> Option<Name> {
        if call.attempts_started >= MAX_GATES_ASKED {
            return None;
        }
        if !self.pool.admits_unsent() {
            call.last_failure = "no-memory";
            call.retry_ms = call.retry_ms.max(MEMORY_RETRY_MS);
            return None;
        }
        if !is_keyed {
            return self.pick_node(call);
        }
        let owner_node = self.key_owner(call);
        if owner_node.is_some() || call.attempts_started > 0 {
            return owner_node;
        }
        call.retry_ms = call.retry_ms.max(TYPICAL_MOVE_GAP_MS);
        call.last_failure = "no-holder";
        self.wait_for_owner_change(call).await;
        self.key_owner(call)
    }

    /// Chooses an untried agent for a request to a service that is not divided by key.
    fn pick_node(&self, call: &CallState) -> Option<Name> {
        let now = clock::now();
        let choices = {
            let snapshot = self.snapshot.borrow();
            snapshot.route_choices(now, &call.job.service, &self.zone)
        };
        let mut rng = self.rng.borrow_mut();
        let endpoints = self.endpoints.borrow();
        let mut demand = PickDemand::new(&call.tried);
        if transfer::needs_grant(call.job.request.body.len() as u64) {
            demand = demand.with_large_body(LargeBody {
                at: &self.node,
                objective_ms: call.rule.objective_ms,
            });
        }
        endpoints.pick(now, &choices, demand, &mut *rng)
    }

    /// Chooses an agent to hedge a slow request, if the attempts and the retry budget allow it.
    pub(super) fn pick_hedge_node(&self, call: &CallState) -> Option<Name> {
        if !self.pool.has_memory() {
            return None;
        }
        let node = self.pick_node(call)?;
        let has_attempts = call.backends_reached + 1 < call.rule.max_attempts;
        (has_attempts
            && self.spend_retry_budget(clock::now(), &call.job.service, SendPurpose::Hedge))
        .then_some(node)
    }

    /// Returns the agent whose backend server owns a request's key, if it may be asked.
    fn key_owner(&self, call: &CallState) -> Option<Name> {
        let snapshot = self.snapshot.borrow();
        let table = snapshot.table(&call.job.service)?;
        let owner = &table.find(call.job.key?)?.owner;
        let observed = snapshot.instances.get(&owner.node)?;
        // The owner is asked even if its record has lapsed, because no other backend server has the key while
        // the table names this owner. An agent that is shutting down serves its keys until it stops.
        let backend = observed.record.backend.as_ref();
        let is_current = backend.is_some_and(|backend| backend.incarnation == owner.incarnation);
        let is_zone_out =
            observed.lapsed.is_some() && snapshot.zones_out.contains(&observed.record.zone);
        let endpoints = self.endpoints.borrow();
        let is_excluded = is_zone_out || endpoints.is_backing_off(clock::now(), &owner.node);
        let is_usable = is_current && !is_excluded && !call.tried.contains(&owner.node);
        is_usable.then(|| Name::clone(&owner.node))
    }

    /// Waits until the request's key has another owner or fence, for at most [`max_wait_ms`].
    pub(super) async fn wait_for_owner_change(&self, call: &CallState) {
        self.refresh_requested.notify_one();
        let previous_owner = owner_of(&self.snapshot.borrow(), call);
        let mut updates = self.snapshot.subscribe();
        let now = clock::now();
        let (objective, deadline) = (call.job.objective, call.job.deadline);
        let objective = if call.age_ms > 0 {
            wait_objective(now, objective, call.rule.objective_ms, deadline)
        } else {
            objective
        };
        let wait_ms = max_wait_ms(now, objective, deadline);
        let max_wait = Duration::from_millis(wait_ms);
        let changed = updates.wait_for(|snapshot| owner_of(snapshot, call) != previous_owner);
        let _is_changed = timeout(max_wait, changed).await;
    }

    /// Returns the address of another agent's gate, or `None` for this agent.
    pub(super) fn gate_address(&self, node: &Name) -> Option<SocketAddr> {
        if *node == self.node {
            return None;
        }
        let snapshot = self.snapshot.borrow();
        snapshot
            .instances
            .get(node)
            .map(|observed| observed.record.gate)
    }

    /// Updates the endpoint table from the report of an attempt.
    pub(super) fn apply_report(&self, node: &Name, report: &GateReport) {
        let now = clock::now();
        let mut endpoints = self.endpoints.borrow_mut();
        match report.load {
            Some(load) => endpoints.record_report(now, node, load),
            None => endpoints.record_unreachable(now, node),
        }
        match &report.outcome {
            GateOutcome::Answered(response) => {
                endpoints.record_outcome(node, !response.status.is_server_error());
            }
            GateOutcome::Unknown { .. } => endpoints.record_outcome(node, false),
            GateOutcome::NotRun { cause, .. } if cause.reached_backend() => {
                endpoints.record_outcome(node, false);
            }
            GateOutcome::NotRun { .. } => {}
        }
    }
}

/// Returns the owner and the fence of a request's key.
fn owner_of(snapshot: &FleetSnapshot, call: &CallState) -> Option<(RangeOwner, u64)> {
    let range = snapshot.table(&call.job.service)?.find(call.job.key?)?;
    Some((range.owner.clone(), range.fence))
}
