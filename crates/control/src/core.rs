//! The controller's decisions: compares the stored records with the wanted state and writes the difference.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use jy_feed::view::FleetView;
use jy_feed::view::ServiceKey;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::name::Name;
use jy_types::peer::ReleaseNotice;
use jy_types::record::Record;
use jy_types::record::RecordBatch;
use jy_types::record::RecordKey;
use jy_types::record::member_key;
use jy_types::time::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::api::BrokenRule;
use crate::api::ControlAction;
use crate::api::ControlEvent;
use crate::api::ControlSettings;
use crate::grants::ReleaseMap;
use crate::loads::LoadTable;
use crate::members::MemberTracker;
use crate::members::MemberWrite;
use crate::monitor_planner::MonitorPlanner;
use crate::services::RoleTerm;
use crate::services::ServiceReview;
use crate::services::ServiceTracker;
use crate::writes::PendingWrites;

/// Delay between an event and the review that it causes, so that one review covers several events.
const BATCH_DELAY_MS: u64 = 20;

/// Longest time between two reviews.
const REVIEW_INTERVAL_MS: u64 = 250;

/// Longest time between two reviews of members and monitors.
const MEMBER_REVIEW_INTERVAL_MS: u64 = 250;

/// State machine of the controller: takes events and returns the writes that they call for.
#[derive(Clone, Debug)]
pub struct ControlState {
    settings: ControlSettings,
    rng: SmallRng,
    view: FleetView,
    revisions: BTreeMap<Name, u64>,
    role: Option<RoleTerm>,
    members: MemberTracker,
    loads: LoadTable,
    pending_writes: PendingWrites,
    releases: BTreeMap<ServiceKey, ReleaseMap>,
    services: BTreeMap<ServiceKey, ServiceTracker>,
    /// When the next review is due.
    next_review: Millis,
    /// Hash of the members' ids and states, see [`hash_members`].
    members_hash: u64,
    next_member_review: Millis,
    /// Whether something changed since the last review of the services.
    dirty: bool,
}

impl ControlState {
    /// Creates a controller that does not hold the role.
    #[must_use]
    pub fn new(settings: ControlSettings, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            view: FleetView::new(),
            revisions: BTreeMap::new(),
            role: None,
            members: MemberTracker::new(&settings),
            loads: LoadTable::default(),
            pending_writes: PendingWrites::new(&settings),
            releases: BTreeMap::new(),
            services: BTreeMap::new(),
            next_review: Millis::MAX,
            members_hash: 0,
            next_member_review: Millis::default(),
            dirty: true,
            settings,
        }
    }

    /// Applies an event and returns the next state and the actions to run.
    #[must_use]
    pub fn step(mut self, now: Millis, event: ControlEvent) -> (Self, Vec<ControlAction>) {
        let routine = self.is_routine(&event);
        self = self.with_event(now, event);
        if self.role.is_none() {
            self.next_review = Millis::MAX;
            return (self, Vec::new());
        }
        if !routine {
            self.next_review = self.next_review.min(now.plus(BATCH_DELAY_MS));
        }
        if now < self.next_review {
            return (self, Vec::new());
        }
        self.next_review = now.plus(REVIEW_INTERVAL_MS);
        self.review(now)
    }

    /// Returns when [`ControlEvent::Tick`] is due next.
    #[must_use]
    pub const fn next_tick(&self) -> Millis {
        self.next_review
    }

    /// Returns the records as last received from the store.
    #[must_use]
    pub const fn view(&self) -> &FleetView {
        &self.view
    }

    /// Returns whether an event can wait for the next scheduled review.
    fn is_routine(&self, event: &ControlEvent) -> bool {
        match event {
            ControlEvent::Tick => true,
            ControlEvent::Report(report) => self.members.is_routine(report),
            _ => false,
        }
    }

    fn with_event(mut self, now: Millis, event: ControlEvent) -> Self {
        match event {
            ControlEvent::Elected { term } => self.start(now, term),
            ControlEvent::Deposed if !self.ignores_higher_term() => self.stop(),
            ControlEvent::Records(batch) => self.apply_records(batch),
            ControlEvent::Vote(vote) if self.role.is_some() => {
                self.members = self.members.with_vote(now, &vote.from, &vote.target);
            }
            ControlEvent::Report(report) if self.role.is_some() => {
                self.members.record_report(now, &report);
                self.loads.set_report(report);
            }
            ControlEvent::Released(notice) if self.role.is_some() => self.record_release(notice),
            ControlEvent::Written { key, end } => self.pending_writes.finish(now, &key, end),
            _ => {}
        }
        self
    }

    /// Starts a term with all state of earlier terms dropped.
    fn start(&mut self, now: Millis, term: u64) {
        self.stop();
        self.role = Some(RoleTerm::new(term, now));
        self.dirty = true;
        self.next_review = now;
    }

    /// Ends the term and drops its state.
    fn stop(&mut self) {
        self.role = None;
        self.members = MemberTracker::new(&self.settings);
        self.loads.clear();
        self.pending_writes.clear();
        self.releases.clear();
        self.services.clear();
    }

    /// Applies records that are newer than those already known, and stops if one shows a higher term.
    fn apply_records(&mut self, batch: RecordBatch) {
        let revisions = &mut self.revisions;
        let mut records = batch.records;
        records.retain(|record| {
            let known = revisions.entry(record.key.clone()).or_default();
            let newer = record.revision > *known;
            *known = record.revision.max(*known);
            newer
        });
        let is_page_or_workspace = |record: &Record| {
            let key = RecordKey::parse(&record.key);
            !matches!(key, Some(RecordKey::Member(_)))
        };
        self.dirty |= records.iter().any(is_page_or_workspace);
        for record in &records {
            self.pending_writes.observe(&record.key, record.revision);
        }
        let view = std::mem::take(&mut self.view);
        (self.view, _) = view.with_records(&records, batch.complete_to);
        let members_hash = hash_members(&self.view);
        self.dirty |= members_hash != self.members_hash;
        self.members_hash = members_hash;
        let newest = self.view.term.as_ref().map_or(0, |term| term.value.term);
        if self.role.as_ref().is_some_and(|role| role.term < newest) && !self.ignores_higher_term()
        {
            self.stop();
        }
    }

    /// Returns whether the settings disable the rule about records of a higher term.
    fn ignores_higher_term(&self) -> bool {
        self.settings.broken == Some(BrokenRule::HigherTerm)
    }

    /// Records the fences under which an owner released units.
    fn record_release(&mut self, notice: ReleaseNotice) {
        self.dirty = true;
        let service = (notice.workspace, notice.service);
        let releases = self.releases.entry(service).or_default();
        for released in notice.units {
            let newest = releases.entry(released.unit).or_default();
            *newest = released.fence.max(*newest);
        }
    }

    /// Compares the records with the wanted state and returns the writes.
    fn review(mut self, now: Millis) -> (Self, Vec<ControlAction>) {
        let Some(mut role) = self.role.take() else {
            return (self, Vec::new());
        };
        self.dirty |= self.pending_writes.refresh(now);
        self.dirty |= self.loads.refresh(now, &self.view);
        self.members = self.members.with_members(now, &self.view);
        let mut actions = Vec::new();
        let verdicts = self.members.verdicts(now, &self.view, role.term);
        self.write_members(now, verdicts, &mut actions);
        let review_members_now = self.dirty || !actions.is_empty() || self.pending_writes.is_busy();
        let any_needs_review = self.services.values().any(ServiceTracker::needs_review);
        if self.dirty || any_needs_review {
            self.dirty = false;
            self.review_services(now, &mut role, &mut actions);
        }
        if review_members_now || now >= self.next_member_review {
            self.next_member_review = now.plus(MEMBER_REVIEW_INTERVAL_MS);
            self.review_members(now, role.term, &mut actions);
        }
        if self.pending_writes.is_busy() {
            self.next_review = self.next_review.min(now.plus(BATCH_DELAY_MS * 2));
        }
        self.role = Some(role);
        (self, actions)
    }

    /// Writes the changed pages of every keyed service.
    fn review_services(
        &mut self,
        now: Millis,
        role: &mut RoleTerm,
        actions: &mut Vec<ControlAction>,
    ) {
        let workspaces: Vec<_> = self
            .view
            .workspaces
            .values()
            .map(|workspace| workspace.value.clone())
            .collect();
        for workspace in workspaces {
            for spec in workspace.services.iter().filter(|spec| spec.has_owners()) {
                let service = (workspace.name.clone(), spec.name.clone());
                let tracker = self.services.entry(service.clone()).or_default();
                let mut service_review = ServiceReview {
                    now,
                    settings: &self.settings,
                    view: &self.view,
                    workspace: &workspace,
                    service: &service,
                    members: &self.members,
                    role,
                    rng: &mut self.rng,
                    pending_writes: &mut self.pending_writes,
                    loads: &mut self.loads,
                    releases: self.releases.entry(service.clone()).or_default(),
                    tracker,
                };
                actions.extend(service_review.run());
            }
        }
    }

    /// Writes the changed member records: joins and departures, then monitors, then removals.
    fn review_members(&mut self, now: Millis, term: u64, actions: &mut Vec<ControlAction>) {
        if !self.pending_writes.has_capacity() {
            return;
        }
        let owners = self
            .members
            .has_leaving(&self.view)
            .then(|| page_owners(&self.view));
        let planner = MonitorPlanner::new(&self.settings, term, &self.view, &self.pending_writes);
        let owns = |id: &AgentId| owners.as_ref().is_some_and(|owners| owners.contains(id));
        let transitions = self.members.transitions(now, &self.view, &planner, owns);
        let changes =
            self.members
                .monitor_changes(now, &self.view, &planner, self.pending_writes.capacity());
        let removals = self.members.removals(now, &self.view);
        self.write_members(now, transitions, actions);
        self.write_members(now, changes, actions);
        self.write_members(now, removals, actions);
    }

    /// Writes member records until the write rate is used up.
    fn write_members(
        &mut self,
        now: Millis,
        writes: Vec<MemberWrite>,
        actions: &mut Vec<ControlAction>,
    ) {
        for (id, body) in writes {
            let Some(member) = self.view.members.get(&id) else {
                continue;
            };
            if !self.may_write(&member.value) {
                continue;
            }
            let key = member_key(&id);
            actions.extend(self.pending_writes.write(now, &key, member.revision, body));
        }
    }

    /// Returns whether a member's record may be overwritten under this term.
    fn may_write(&self, member: &MemberRecord) -> bool {
        let term = self.role.as_ref().map_or(u64::MAX, |role| role.term);
        member.term <= term || self.ignores_higher_term()
    }
}

/// Returns every agent that a page lists as an owner.
fn page_owners(view: &FleetView) -> BTreeSet<AgentId> {
    view.pages
        .values()
        .flat_map(|pages| pages.values())
        .flat_map(|page| page.value.owners.iter().cloned())
        .collect()
}

/// Hashes each member's id, state and whether it has a backend server, on which the placement of units
/// depends.
fn hash_members(view: &FleetView) -> u64 {
    let mut hasher = DefaultHasher::new();
    for member in view.members.values().map(|member| &member.value) {
        member.id.hash(&mut hasher);
        std::mem::discriminant(&member.state).hash(&mut hasher);
        member.endpoint.is_some().hash(&mut hasher);
    }
    hasher.finish()
}
