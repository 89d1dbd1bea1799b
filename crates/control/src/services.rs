//! Review of one keyed service: reads its units, owners and loads and writes the pages that change.

use std::collections::BTreeMap;
use std::sync::Arc;

use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_types::assign::Fence;
use jy_types::key::PAGES;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::member::MemberState;
use jy_types::record::page_key;
use jy_types::time::Millis;
use jy_types::workspace::WorkspaceRecord;
use rand::Rng;
use rand::rngs::SmallRng;

use crate::api::BrokenRule;
use crate::api::ControlAction;
use crate::api::ControlSettings;
use crate::grants::GrantRules;
use crate::grants::ReleaseMap;
use crate::grants::place_units;
use crate::hot_keys::place_keys;
use crate::loads::LoadTable;
use crate::members::MemberTracker;
use crate::owners::OwnerEligibility;
use crate::owners::OwnerTable;
use crate::pages::PageDraft;
use crate::pages::UnitChange;
use crate::rebalance::BalanceLimits;
use crate::rebalance::rebalance;
use crate::tables::ServiceTable;
use crate::tables::has_pending_verdict;
use crate::tables::newest_page;
use crate::tables::recorded_page;
use crate::writes::PendingWrites;
use crate::writes::WriteBody;

/// Longest time that units of lost owners wait for verdicts on other suspects.
const REASSIGNMENT_DELAY_MS: u64 = 400;

/// Time that a new service waits for further endpoints before its first units are granted.
const NEW_SERVICE_DELAY_MS: u64 = 500;

/// Time that a new service waits if some of its endpoints are still joining.
const JOINING_ENDPOINT_DELAY_MS: u64 = 8_000;

/// Shares of a warm owner's load that a new owner may be given, one per step of the ramp.
const RAMP_SHARES: [f64; 4] = [0.125, 0.25, 0.5, 0.75];

const RAMP_STEP_MS: u64 = 2_000;

/// Time after the start of a term from which slices without a reported load no longer delay balancing.
const SAMPLE_TIMEOUT_MS: u64 = 60_000;

/// Time over which loads are smoothed: a load is backed by the requests of that time.
const SMOOTHING_WINDOW_S: f64 = 7.0;

/// Term in which this agent holds the controller's role.
#[derive(Clone, Debug)]
pub struct RoleTerm {
    pub term: u64,
    pub started_at: Millis,
    /// Number of grants made in this term.
    grant_count: u32,
}

impl RoleTerm {
    #[must_use]
    pub const fn new(term: u64, started_at: Millis) -> Self {
        Self {
            term,
            started_at,
            grant_count: 0,
        }
    }

    /// Counts a grant and returns its fence.
    fn next_fence(&mut self) -> u64 {
        self.grant_count += 1;
        Fence::new(self.term, self.grant_count).0
    }
}

/// State of a service that is not in its records.
#[derive(Clone, Debug, Default)]
pub struct ServiceTracker {
    /// Time from which each endpoint may take units; zero if it was warm when the term began.
    endpoints: BTreeMap<AgentId, Millis>,
    was_reviewed: bool,
    /// Time since which units of lost owners have been waiting.
    lost_since: Option<Millis>,
    /// Time since which a service without any owner has had endpoints.
    unowned_since: Option<Millis>,
    /// Whether the last review wanted writes that could not be sent yet.
    has_unsent_writes: bool,
}

impl ServiceTracker {
    /// Returns whether the service needs another review even if no record changes.
    #[must_use]
    pub const fn needs_review(&self) -> bool {
        self.lost_since.is_some() || self.unowned_since.is_some() || self.has_unsent_writes
    }
}

/// Inputs of one review of a service.
#[derive(Debug)]
pub struct ServiceReview<'a> {
    pub now: Millis,
    pub settings: &'a ControlSettings,
    pub view: &'a FleetView,
    /// Workspace of the service.
    pub workspace: &'a WorkspaceRecord,
    pub service: &'a ServiceKey,
    pub members: &'a MemberTracker,
    pub role: &'a mut RoleTerm,
    /// Source of the random tokens that identify written pages.
    pub rng: &'a mut SmallRng,
    pub pending_writes: &'a mut PendingWrites,
    pub loads: &'a mut LoadTable,
    /// Units that their owners released, with the fences of the released grants.
    pub releases: &'a mut ReleaseMap,
    pub tracker: &'a mut ServiceTracker,
}

impl ServiceReview<'_> {
    /// Reviews the service and returns the page writes that can be sent now.
    pub fn run(&mut self) -> Vec<ControlAction> {
        if !self.has_adopted_pins() {
            self.tracker.has_unsent_writes = true;
            return self.write_page(PAGES, &[]).into_iter().collect();
        }
        let owners = self.read_owners();
        let mut table = ServiceTable::new(self.view, self.pending_writes, self.service, owners);
        table.set_loads(self.loads.service(self.service));
        self.drop_stale_releases(&table);
        let rules = self.grant_rules(&table);
        place_units(&mut table, self.releases, rules);
        self.balance_loads(&mut table);
        self.write_changes(&table)
    }

    /// Returns whether the page of pinned keys has been written under this term. Until then a controller of
    /// an earlier term could still pin a key in a slice that this one moves.
    fn has_adopted_pins(&self) -> bool {
        recorded_page(self.view, self.service, PAGES)
            .is_some_and(|page| page.term >= self.role.term)
    }

    /// Returns the endpoints, each with the share of a warm owner's load that it may be given now.
    fn read_owners(&mut self) -> OwnerTable {
        let pages = self.view.pages.get(self.service);
        let holds = |id: &AgentId| {
            let mut pages = pages.iter().flat_map(|pages| pages.values());
            pages.any(|page| page.value.owners.contains(id))
        };
        let all_unassigned =
            pages.is_none_or(|pages| pages.values().all(|page| page.value.owners.is_empty()));
        let endpoints: Vec<AgentId> = self
            .view
            .endpoints(self.workspace, &self.service.1)
            .map(|member| member.id.clone())
            .filter(|id| !has_pending_verdict(self.pending_writes, id))
            .collect();
        let tracker = &mut *self.tracker;
        tracker.endpoints.retain(|id, _| endpoints.contains(id));
        let is_first_review = !tracker.was_reviewed;
        tracker.was_reviewed = true;
        let mut table = OwnerTable::default();
        for id in endpoints {
            let warm = all_unassigned || (is_first_review && holds(&id));
            let start = if warm { Millis::default() } else { self.now };
            let since = tracker.endpoints.entry(id.clone()).or_insert(start);
            let ramp = ramp_share(self.now, *since);
            table.add(id, OwnerEligibility::Endpoint, ramp);
        }
        table
    }

    /// Drops releases that match no planned move in the records.
    fn drop_stale_releases(&mut self, table: &ServiceTable) {
        let planned_moves: BTreeMap<_, _> = table
            .units
            .iter()
            .filter(|entry| entry.next_owner.is_some())
            .map(|entry| (entry.unit, entry.fence))
            .collect();
        self.releases
            .retain(|unit, fence| planned_moves.get(unit) == Some(fence));
    }

    /// Returns which grants and moves are allowed in this review.
    fn grant_rules(&mut self, table: &ServiceTable) -> GrantRules {
        let eligibility = |owner: usize| table.owners.get(owner).eligibility;
        let lost = table
            .units
            .iter()
            .any(|entry| entry.owner.map(eligibility) == Some(OwnerEligibility::Ended));
        let all_units_unowned = table.units.iter().all(|entry| entry.owner.is_none());
        let has_endpoints = table.owners.endpoints().next().is_some();
        let lost_since = lost.then(|| self.tracker.lost_since.unwrap_or(self.now));
        let unowned_since = (all_units_unowned && has_endpoints)
            .then(|| self.tracker.unowned_since.unwrap_or(self.now));
        self.tracker.lost_since = lost_since;
        self.tracker.unowned_since = unowned_since;
        let recent = self.now.minus(REASSIGNMENT_DELAY_MS * 4);
        let has_recent_suspects = self.members.has_suspects(recent);
        let delay_ms = if self.expects_endpoints() {
            JOINING_ENDPOINT_DELAY_MS
        } else {
            NEW_SERVICE_DELAY_MS
        };
        let is_disabled = |rule: BrokenRule| self.settings.broken == Some(rule);
        GrantRules {
            hold_lost: has_recent_suspects
                && lost_since.is_some_and(|since| self.now.since(since) < REASSIGNMENT_DELAY_MS),
            hold_new: unowned_since.is_some_and(|since| self.now.since(since) < delay_ms),
            skip_release: is_disabled(BrokenRule::WaitForOwner),
            keep_lost: is_disabled(BrokenRule::ReplaceDead),
            keep_target: is_disabled(BrokenRule::RetargetMoves),
            keep_drained: is_disabled(BrokenRule::DrainZones),
        }
    }

    /// Returns whether agents that serve this service are still joining.
    fn expects_endpoints(&self) -> bool {
        self.view.present().any(|member| {
            let serves = member.endpoint.as_ref().is_some_and(|endpoint| {
                endpoint.workspace == self.service.0 && endpoint.service == self.service.1
            });
            serves && member.state == MemberState::Joining
        })
    }

    /// Pins hot keys and balances loads once every owner has sent enough reports.
    fn balance_loads(&mut self, table: &mut ServiceTable) {
        let (now, since) = (self.now, self.role.started_at);
        if self.settings.broken == Some(BrokenRule::Rebalance) {
            return;
        }
        let loads = self.loads.service_mut(self.service);
        let measured = table
            .owners
            .endpoints()
            .filter(|(_, entry)| entry.units > 0)
            .all(|(_, entry)| loads.has_enough_reports(now, &entry.id, since));
        let measured = measured && (loads.is_sampled() || now.since(since) > SAMPLE_TIMEOUT_MS);
        if !measured {
            return;
        }
        let (view, service, term) = (self.view, self.service, self.role.term);
        let is_adopted_page =
            |page: u32| recorded_page(view, service, page).is_some_and(|page| page.term == term);
        let max_pins = self.settings.pinned_keys as usize;
        for (key, pinned) in place_keys(table, loads, max_pins, is_adopted_page) {
            loads.update_slice_for_pin(key, pinned);
        }
        let endpoints = table.owners.endpoints().count().max(1) as f64;
        let rate: f64 = table.owners.endpoints().map(|(_, entry)| entry.load).sum();
        let limits = BalanceLimits {
            max_imbalance: self.settings.imbalance_limit,
            sample_requests: rate / endpoints * SMOOTHING_WINDOW_S,
            max_moving: (self.settings.moving_share * table.units.len() as f64).ceil() as usize,
        };
        rebalance(table, limits);
    }

    /// Writes the changed pages until the write rate is used up.
    fn write_changes(&mut self, table: &ServiceTable) -> Vec<ControlAction> {
        let no_changes = Vec::new();
        let to_adopt = table.pages_to_adopt.iter().map(|page| (page, &no_changes));
        let mut pages: BTreeMap<_, _> = to_adopt.collect();
        pages.extend(&table.changes);
        let wanted = pages.len();
        let actions: Vec<ControlAction> = pages
            .into_iter()
            .filter_map(|(page, changes)| self.write_page(*page, changes))
            .collect();
        self.tracker.has_unsent_writes = actions.len() < wanted;
        actions
    }

    /// Writes one page with its changes; returns `None` if the page cannot be written now.
    fn write_page(&mut self, number: u32, changes: &[(Unit, UnitChange)]) -> Option<ControlAction> {
        let key = page_key(&self.service.0, &self.service.1, number);
        if !self.pending_writes.is_page_writable(&key) || !self.pending_writes.has_capacity() {
            return None;
        }
        let recorded = self
            .view
            .pages
            .get(self.service)
            .and_then(|pages| pages.get(&number));
        let term = self.role.term;
        let broken = self.settings.broken;
        let has_higher_term = recorded.is_some_and(|page| page.value.term > term);
        if has_higher_term && broken != Some(BrokenRule::HigherTerm) {
            return None;
        }
        let newest = newest_page(self.view, self.pending_writes, self.service, number);
        let mut draft = PageDraft::new(number, newest);
        for (unit, change) in changes {
            draft.apply(*unit, change, || {
                let fence = self.role.next_fence();
                if broken == Some(BrokenRule::GrowFences) {
                    return Fence::new(term, 1).0;
                }
                fence
            });
        }
        let page = draft.finish(term, self.rng.random());
        let expect = recorded.map_or(0, |page| page.revision);
        let body = WriteBody::Page(Arc::new(page));
        self.pending_writes.write(self.now, &key, expect, body)
    }
}

/// Returns the share of a warm owner's load for an owner that has been able to take units since `since`.
fn ramp_share(now: Millis, since: Millis) -> f64 {
    if since == Millis::default() {
        return 1.0;
    }
    let step = usize::try_from(now.since(since) / RAMP_STEP_MS).unwrap_or(usize::MAX);
    RAMP_SHARES.get(step).copied().unwrap_or(1.0)
}
