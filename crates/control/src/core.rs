//! The controller's decision: compares the records with what should be and writes the difference.

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
use crate::services::RoleTerm;
use crate::services::ServiceStep;
use crate::services::ServiceTracker;
use crate::watches::FleetWatch;
use crate::writes::PendingWrites;

/// Changes are gathered this long before they are looked at, in milliseconds.
const GATHER_MS: u64 = 20;

/// Everything is looked at again after this time, in milliseconds.
const REVIEW_EVERY_MS: u64 = 250;

/// Members are looked at again after this time, in milliseconds.
const MEMBERS_EVERY_MS: u64 = 250;

/// State of a controller.
#[derive(Clone, Debug)]
pub struct ControlState {
    settings: ControlSettings,
    rng: SmallRng,
    view: FleetView,
    revisions: BTreeMap<Name, u64>,
    role: Option<RoleTerm>,
    members: MemberTracker,
    loads: LoadTable,
    ledger: PendingWrites,
    releases: BTreeMap<ServiceKey, ReleaseMap>,
    services: BTreeMap<ServiceKey, ServiceTracker>,
    due: Millis,
    /// Hash of who is a member in which state.
    roster: u64,
    /// Members are looked at again at this point.
    members_due: Millis,
    /// Whether something changed that the services have not been looked at with.
    dirty: bool,
}

impl ControlState {
    /// Makes a controller that does not hold the role.
    #[must_use]
    pub fn new(settings: ControlSettings, seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            view: FleetView::new(),
            revisions: BTreeMap::new(),
            role: None,
            members: MemberTracker::new(&settings),
            loads: LoadTable::default(),
            ledger: PendingWrites::new(&settings),
            releases: BTreeMap::new(),
            services: BTreeMap::new(),
            due: Millis::MAX,
            roster: 0,
            members_due: Millis::default(),
            dirty: true,
            settings,
        }
    }

    /// Takes an event and returns the next state and what to do.
    #[must_use]
    pub fn step(mut self, now: Millis, event: ControlEvent) -> (Self, Vec<ControlAction>) {
        let quiet = self.is_routine(&event);
        self = self.with_event(now, event);
        if self.role.is_none() {
            self.due = Millis::MAX;
            return (self, Vec::new());
        }
        if !quiet {
            self.due = self.due.min(now.plus(GATHER_MS));
        }
        if now < self.due {
            return (self, Vec::new());
        }
        self.due = now.plus(REVIEW_EVERY_MS);
        self.review(now)
    }

    /// When [`ControlEvent::Tick`] is due next.
    #[must_use]
    pub const fn next_tick(&self) -> Millis {
        self.due
    }

    /// The records as the controller has them.
    #[must_use]
    pub const fn view(&self) -> &FleetView {
        &self.view
    }

    /// Whether an event needs no look before the next one that is due anyway.
    fn is_routine(&self, event: &ControlEvent) -> bool {
        match event {
            ControlEvent::Tick => true,
            ControlEvent::Report(report) => self.members.is_routine(report),
            _ => false,
        }
    }

    /// Takes an event in.
    fn with_event(mut self, now: Millis, event: ControlEvent) -> Self {
        match event {
            ControlEvent::Elected { term } => self.start(now, term),
            ControlEvent::Deposed if !self.breaks_term() => self.stop(),
            ControlEvent::Records(batch) => self.take_records(batch),
            ControlEvent::Vote(vote) if self.role.is_some() => {
                self.members = self.members.with_vote(now, &vote.from, &vote.target);
            }
            ControlEvent::Report(report) if self.role.is_some() => {
                self.members.take_report(now, &report);
                self.loads.take(report);
            }
            ControlEvent::Released(notice) if self.role.is_some() => self.take_release(notice),
            ControlEvent::Written { key, end } => self.ledger.finish(now, &key, end),
            _ => {}
        }
        self
    }

    /// Starts a term. Nothing is kept of an earlier one.
    fn start(&mut self, now: Millis, term: u64) {
        self.stop();
        self.role = Some(RoleTerm::new(term, now));
        self.dirty = true;
        self.due = now;
    }

    /// Ends the term.
    fn stop(&mut self) {
        self.role = None;
        self.members = MemberTracker::new(&self.settings);
        self.loads.clear();
        self.ledger.clear();
        self.releases.clear();
        self.services.clear();
    }

    /// Takes records in, newer ones only.
    fn take_records(&mut self, batch: RecordBatch) {
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
            self.ledger.observe(&record.key, record.revision);
        }
        let view = std::mem::take(&mut self.view);
        (self.view, _) = view.with_records(&records, batch.complete_to);
        let roster = hash_roster(&self.view);
        self.dirty |= roster != self.roster;
        self.roster = roster;
        let newest = self.view.term.as_ref().map_or(0, |term| term.value.term);
        if self.role.as_ref().is_some_and(|role| role.term < newest) && !self.breaks_term() {
            self.stop();
        }
    }

    /// Whether the rule of the higher term is broken on purpose.
    fn breaks_term(&self) -> bool {
        self.settings.broken == Some(BrokenRule::HigherTerm)
    }

    /// Notes that an owner released units.
    fn take_release(&mut self, notice: ReleaseNotice) {
        self.dirty = true;
        let service = (notice.workspace, notice.service);
        let releases = self.releases.entry(service).or_default();
        for released in notice.units {
            let newest = releases.entry(released.unit).or_default();
            *newest = released.fence.max(*newest);
        }
    }

    /// Compares the records with what should be and returns the writes.
    fn review(mut self, now: Millis) -> (Self, Vec<ControlAction>) {
        let Some(mut role) = self.role.take() else {
            return (self, Vec::new());
        };
        self.dirty |= self.ledger.refresh(now);
        self.dirty |= self.loads.refresh(now, &self.view);
        self.members = self.members.with_members(now, &self.view);
        let mut actions = Vec::new();
        let verdicts = self.members.verdicts(now, &self.view, role.term);
        self.write_members(now, verdicts, &mut actions);
        let stirred = self.dirty || !actions.is_empty() || self.ledger.is_busy();
        let waits = self.services.values().any(ServiceTracker::waits);
        if self.dirty || waits {
            self.dirty = false;
            self.review_services(now, &mut role, &mut actions);
        }
        if stirred || now >= self.members_due {
            self.members_due = now.plus(MEMBERS_EVERY_MS);
            self.review_members(now, role.term, &mut actions);
        }
        if self.ledger.is_busy() {
            self.due = self.due.min(now.plus(GATHER_MS * 2));
        }
        self.role = Some(role);
        (self, actions)
    }

    /// Writes changed pages of every keyed service.
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
                let notes = self.services.entry(service.clone()).or_default();
                let mut step = ServiceStep {
                    now,
                    settings: &self.settings,
                    view: &self.view,
                    workspace: &workspace,
                    service: &service,
                    members: &self.members,
                    role,
                    rng: &mut self.rng,
                    ledger: &mut self.ledger,
                    loads: &mut self.loads,
                    releases: self.releases.entry(service.clone()).or_default(),
                    notes,
                };
                actions.extend(step.run());
            }
        }
    }

    /// Writes changed members: joins and departures, then monitors, then removals.
    fn review_members(&mut self, now: Millis, term: u64, actions: &mut Vec<ControlAction>) {
        if !self.ledger.has_room() {
            return;
        }
        let owners = self
            .members
            .has_leaving(&self.view)
            .then(|| owner_names(&self.view));
        let fleet = FleetWatch::new(&self.settings, term, &self.view, &self.ledger);
        let owns = |id: &AgentId| owners.as_ref().is_some_and(|owners| owners.contains(id));
        let transitions = self.members.transitions(now, &self.view, &fleet, owns);
        let changes = self
            .members
            .monitor_changes(now, &self.view, &fleet, self.ledger.room());
        let removals = self.members.removals(now, &self.view);
        self.write_members(now, transitions, actions);
        self.write_members(now, changes, actions);
        self.write_members(now, removals, actions);
    }

    /// Writes members' records, as many as the pace allows.
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
            actions.extend(self.ledger.write(now, &key, member.revision, body));
        }
    }

    /// Whether a member's record may be written over under this term.
    fn may_write(&self, member: &MemberRecord) -> bool {
        let term = self.role.as_ref().map_or(u64::MAX, |role| role.term);
        member.term <= term || self.breaks_term()
    }
}

/// Returns every agent that a page names.
fn owner_names(view: &FleetView) -> BTreeSet<AgentId> {
    view.pages
        .values()
        .flat_map(|pages| pages.values())
        .flat_map(|page| page.value.owners.iter().cloned())
        .collect()
}

/// Hashes who is a member, in which state and whether with a backend server: what units depend on.
fn hash_roster(view: &FleetView) -> u64 {
    let mut hasher = DefaultHasher::new();
    for member in view.members.values().map(|member| &member.value) {
        member.id.hash(&mut hasher);
        std::mem::discriminant(&member.state).hash(&mut hasher);
        member.endpoint.is_some().hash(&mut hasher);
    }
    hasher.finish()
}
