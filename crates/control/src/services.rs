//! One look at one keyed service: its units, owners and loads, and the pages to write.

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
use crate::tables::is_condemned;
use crate::tables::newest_page;
use crate::tables::recorded_page;
use crate::writes::PendingWrites;
use crate::writes::WriteBody;

/// Units of lost owners wait this long for further verdicts, in milliseconds.
const LOSS_GATHER_MS: u64 = 400;

/// A new service waits this long for further endpoints, in milliseconds.
const NEW_GATHER_MS: u64 = 500;

/// A new service waits this long for endpoints that are joining, in milliseconds.
const JOIN_GATHER_MS: u64 = 8_000;

/// Shares of a warm owner's load that a new one may be given, step by step.
const RAMP_SHARES: [f64; 4] = [0.125, 0.25, 0.5, 0.75];

/// Time from one step to the next, in milliseconds.
const RAMP_STEP_MS: u64 = 2_000;

/// Slices without a reported load hold up the others no longer than this in a term, in
/// milliseconds.
const SAMPLE_TIMEOUT_MS: u64 = 60_000;

/// Time over which loads are smoothed, in seconds: requests of that time stand behind them.
const SMOOTHING_S: f64 = 7.0;

/// The term in which this agent holds the role.
#[derive(Clone, Debug)]
pub struct RoleTerm {
    /// The term.
    pub term: u64,
    /// Since when.
    pub since: Millis,
    /// Grants of this term so far.
    grants: u32,
}

impl RoleTerm {
    /// Starts a term.
    #[must_use]
    pub const fn new(term: u64, since: Millis) -> Self {
        Self {
            term,
            since,
            grants: 0,
        }
    }

    /// Returns the fence of the next grant.
    fn next_fence(&mut self) -> u64 {
        self.grants += 1;
        Fence::new(self.term, self.grants).0
    }
}

/// What the controller keeps of a service besides its records.
#[derive(Clone, Debug, Default)]
pub struct ServiceTracker {
    /// Since when each endpoint may take units; zero if it was warm when the term began.
    endpoints: BTreeMap<AgentId, Millis>,
    /// Whether the service was looked at before.
    seen: bool,
    /// Since when units of lost owners wait.
    lost_since: Option<Millis>,
    /// Since when units without an owner could have one.
    new_since: Option<Millis>,
    /// Whether the last look wanted writes that could not go out yet.
    unfinished: bool,
}

impl ServiceTracker {
    /// Whether the service must be looked at again although nothing changed.
    #[must_use]
    pub const fn waits(&self) -> bool {
        self.lost_since.is_some() || self.new_since.is_some() || self.unfinished
    }
}

/// Everything that one look at a service needs.
#[derive(Debug)]
pub struct ServiceStep<'a> {
    /// The time.
    pub now: Millis,
    /// Settings.
    pub settings: &'a ControlSettings,
    /// Records.
    pub view: &'a FleetView,
    /// The service's workspace.
    pub workspace: &'a WorkspaceRecord,
    /// The service.
    pub service: &'a ServiceKey,
    /// Members and votes.
    pub members: &'a MemberTracker,
    /// The term.
    pub role: &'a mut RoleTerm,
    /// Source of tokens.
    pub rng: &'a mut SmallRng,
    /// Writes under way.
    pub ledger: &'a mut PendingWrites,
    /// Loads.
    pub loads: &'a mut LoadTable,
    /// Units that their owners released.
    pub releases: &'a mut ReleaseMap,
    /// What is kept of the service.
    pub notes: &'a mut ServiceTracker,
}

impl ServiceStep<'_> {
    /// Returns the writes of pages that are due.
    pub fn run(&mut self) -> Vec<ControlAction> {
        if !self.is_adopted() {
            self.notes.unfinished = true;
            return self.write_page(PAGES, &[]).into_iter().collect();
        }
        let owners = self.read_owners();
        let mut table = ServiceTable::new(self.view, self.ledger, self.service, owners);
        table.set_loads(self.loads.service(self.service));
        self.drop_stale_releases(&table);
        let rules = self.grant_rules(&table);
        place_units(&mut table, self.releases, rules);
        self.place_by_load(&mut table);
        self.write_changes(&table)
    }

    /// Whether the page of pinned keys was written under this term. Until then a controller of an
    /// earlier term could still pin a key in a slice that this one moves.
    fn is_adopted(&self) -> bool {
        recorded_page(self.view, self.service, PAGES)
            .is_some_and(|page| page.term >= self.role.term)
    }

    /// Returns the endpoints, each with the share of load that it may be given by now.
    fn read_owners(&mut self) -> OwnerTable {
        let pages = self.view.pages.get(self.service);
        let holds = |id: &AgentId| {
            let mut pages = pages.iter().flat_map(|pages| pages.values());
            pages.any(|page| page.value.owners.contains(id))
        };
        let nobody =
            pages.is_none_or(|pages| pages.values().all(|page| page.value.owners.is_empty()));
        let endpoints: Vec<AgentId> = self
            .view
            .endpoints(self.workspace, &self.service.1)
            .map(|member| member.id.clone())
            .filter(|id| !is_condemned(self.ledger, id))
            .collect();
        let notes = &mut *self.notes;
        notes.endpoints.retain(|id, _| endpoints.contains(id));
        let first = !notes.seen;
        notes.seen = true;
        let mut table = OwnerTable::default();
        for id in endpoints {
            let warm = nobody || (first && holds(&id));
            let start = if warm { Millis::default() } else { self.now };
            let since = notes.endpoints.entry(id.clone()).or_insert(start);
            let ramp = ramp_share(self.now, *since);
            table.add(id, OwnerEligibility::Endpoint, ramp);
        }
        table
    }

    /// Forgets releases that fit no planned move in the records.
    fn drop_stale_releases(&mut self, table: &ServiceTable) {
        let fitting: BTreeMap<_, _> = table
            .units
            .iter()
            .filter(|entry| entry.next.is_some())
            .map(|entry| (entry.unit, entry.fence))
            .collect();
        self.releases
            .retain(|unit, fence| fitting.get(unit) == Some(fence));
    }

    /// Tells what the passes over the units may do now.
    fn grant_rules(&mut self, table: &ServiceTable) -> GrantRules {
        let standing = |owner: usize| table.owners.get(owner).standing;
        let lost = table
            .units
            .iter()
            .any(|entry| entry.owner.map(standing) == Some(OwnerEligibility::Over));
        let none = table.units.iter().all(|entry| entry.owner.is_none());
        let some = table.owners.endpoints().next().is_some();
        let lost_since = lost.then(|| self.notes.lost_since.unwrap_or(self.now));
        let new_since = (none && some).then(|| self.notes.new_since.unwrap_or(self.now));
        self.notes.lost_since = lost_since;
        self.notes.new_since = new_since;
        let recent = self.now.minus(LOSS_GATHER_MS * 4);
        let gathering = self.members.has_suspects(recent);
        let gather_ms = if self.expects_endpoints() {
            JOIN_GATHER_MS
        } else {
            NEW_GATHER_MS
        };
        let broken = |rule: BrokenRule| self.settings.broken == Some(rule);
        GrantRules {
            hold_lost: gathering
                && lost_since.is_some_and(|since| self.now.since(since) < LOSS_GATHER_MS),
            hold_new: new_since.is_some_and(|since| self.now.since(since) < gather_ms),
            skip_release: broken(BrokenRule::WaitForOwner),
            keep_lost: broken(BrokenRule::ReplaceDead),
            keep_target: broken(BrokenRule::RetargetMoves),
            keep_drained: broken(BrokenRule::DrainZones),
        }
    }

    /// Whether agents that serve this service are still joining.
    fn expects_endpoints(&self) -> bool {
        self.view.present().any(|member| {
            let serves = member.endpoint.as_ref().is_some_and(|endpoint| {
                endpoint.workspace == self.service.0 && endpoint.service == self.service.1
            });
            serves && member.state == MemberState::Joining
        })
    }

    /// Pins hot keys and evens out loads, once every owner has reported often enough.
    fn place_by_load(&mut self, table: &mut ServiceTable) {
        let (now, since) = (self.now, self.role.since);
        if self.settings.broken == Some(BrokenRule::Rebalance) {
            return;
        }
        let loads = self.loads.service_mut(self.service);
        let measured = table
            .owners
            .endpoints()
            .filter(|(_, entry)| entry.units > 0)
            .all(|(_, entry)| loads.is_measured(now, &entry.id, since));
        let measured = measured && (loads.is_sampled() || now.since(since) > SAMPLE_TIMEOUT_MS);
        if !measured {
            return;
        }
        let (view, service, term) = (self.view, self.service, self.role.term);
        let is_own_page =
            |page: u32| recorded_page(view, service, page).is_some_and(|page| page.term == term);
        let most = self.settings.pinned_keys as usize;
        for (key, pinned) in place_keys(table, loads, most, is_own_page) {
            loads.shift_key(key, pinned);
        }
        let endpoints = table.owners.endpoints().count().max(1) as f64;
        let rate: f64 = table.owners.endpoints().map(|(_, entry)| entry.load).sum();
        let limits = BalanceLimits {
            imbalance: self.settings.imbalance_limit,
            requests: rate / endpoints * SMOOTHING_S,
            moving: (self.settings.moving_share * table.units.len() as f64).ceil() as usize,
        };
        rebalance(table, limits);
    }

    /// Writes every page that changed, as far as the pace allows.
    fn write_changes(&mut self, table: &ServiceTable) -> Vec<ControlAction> {
        let none = Vec::new();
        let adopted = table.adopted.iter().map(|page| (page, &none));
        let mut pages: BTreeMap<_, _> = adopted.collect();
        pages.extend(&table.changes);
        let wanted = pages.len();
        let actions: Vec<ControlAction> = pages
            .into_iter()
            .filter_map(|(page, changes)| self.write_page(*page, changes))
            .collect();
        self.notes.unfinished = actions.len() < wanted;
        actions
    }

    /// Writes one page with its changes.
    fn write_page(&mut self, number: u32, changes: &[(Unit, UnitChange)]) -> Option<ControlAction> {
        let key = page_key(&self.service.0, &self.service.1, number);
        if !self.ledger.is_page_free(&key) || !self.ledger.has_room() {
            return None;
        }
        let recorded = self
            .view
            .pages
            .get(self.service)
            .and_then(|pages| pages.get(&number));
        let term = self.role.term;
        let broken = self.settings.broken;
        let higher = recorded.is_some_and(|page| page.value.term > term);
        if higher && broken != Some(BrokenRule::HigherTerm) {
            return None;
        }
        let newest = newest_page(self.view, self.ledger, self.service, number);
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
        self.ledger.write(self.now, &key, expect, body)
    }
}

/// Returns the share of a warm owner's load for one that may take units since a point in time.
fn ramp_share(now: Millis, since: Millis) -> f64 {
    if since == Millis::default() {
        return 1.0;
    }
    let step = usize::try_from(now.since(since) / RAMP_STEP_MS).unwrap_or(usize::MAX);
    RAMP_SHARES.get(step).copied().unwrap_or(1.0)
}
