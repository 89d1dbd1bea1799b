//! A fake fleet around real candidates and controllers, in virtual time, for replays and trials.
//!
//! It is a queue of events with seeded delays, no more: a store by compare-and-swap, agents that
//! report, vote and release, and the checks of every record written.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use jy_feed::view::ServiceKey;
use jy_types::assign::TermRecord;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::member::MemberState;
use jy_types::name::Name;
use jy_types::peer::AgentReport;
use jy_types::peer::ReleaseNotice;
use jy_types::peer::VoteNotice;
use jy_types::record::RecordBatch;
use jy_types::record::TERM_KEY;
use jy_types::record::member_key;
use jy_types::record::workspace_key;
use jy_types::time::Millis;
use jy_types::workspace::ServiceSpec;
use jy_types::workspace::ServiceTarget;
use jy_types::workspace::WorkspaceRecord;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::api::ControlAction;
use crate::api::ControlEvent;
use crate::api::WriteEnd;
use crate::core::ControlState;
use crate::election::ElectionAction;
use crate::election::ElectionEvent;
use crate::election::ElectionState;
use crate::election::STORE_LEASE_MS;
use crate::fake_agents::FakeAgent;
use crate::fake_agents::FleetEvent;
use crate::fake_agents::FleetSettings;
use crate::fake_agents::service_key;
use crate::fake_agents::zone_name;
use crate::fake_checks::RecordChecks;
use crate::fake_loads::FakeLoad;
use crate::fake_store::FakeAlive;
use crate::fake_store::FakeStore;

/// Agents report this often, in milliseconds.
const REPORT_EVERY_MS: u64 = 2_000;

/// Votes and releases are looked at this often, in milliseconds.
const ROUND_MS: u64 = 100;

/// A message between agents takes this long, in milliseconds.
const MESSAGE_MS: u64 = 1;

/// A call of the store without an answer ends after this time, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 1_500;

/// The time at which a fleet starts, so that no point in time is zero.
const START_MS: u64 = 10_000;

/// Something that happens later.
#[derive(Clone, Debug)]
enum FleetTask {
    /// A write reaches the store.
    Swap {
        candidate: usize,
        key: Name,
        expect: u64,
        value: Option<Name>,
    },
    /// A claim reaches the store.
    Claim {
        candidate: usize,
        term: u64,
        expect: u64,
    },
    /// A new or renewed store lease reaches the store.
    Lease {
        candidate: usize,
        term: u64,
        sent: Millis,
        renewal: bool,
    },
    /// A controller is told something.
    Control(usize, Box<ControlEvent>),
    /// A candidate is told something.
    Election(usize, ElectionEvent),
    /// All agents report.
    Reports,
    /// One agent's report reaches the controller.
    Report(Box<AgentReport>),
    /// Monitors vote and owners release.
    Round,
    /// A candidate's deadline is due.
    Wake(usize),
}

/// A task at its time; earlier ones first, then in order of planning.
#[derive(Clone, Debug)]
struct PlannedTask {
    at: Millis,
    number: u64,
    task: FleetTask,
}

impl PartialEq for PlannedTask {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for PlannedTask {}

impl PartialOrd for PlannedTask {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PlannedTask {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// An agent that may be the controller.
#[derive(Clone, Debug)]
struct CandidateFake {
    election: ElectionState,
    control: Option<ControlState>,
    term: u64,
    paused_until: Millis,
    wake_at: Millis,
    seen: u64,
}

/// Time that a fleet's change took.
#[derive(Clone, Debug)]
pub struct OpenChange {
    /// Figure that it counts for.
    pub figure: &'static str,
    /// When it began.
    pub since: Millis,
    /// Agents that must end up without units.
    pub agents: Vec<AgentId>,
}

/// A fleet.
pub struct FakeFleet {
    settings: FleetSettings,
    rng: SmallRng,
    now: Millis,
    tasks: BinaryHeap<Reverse<PlannedTask>>,
    planned: u64,
    store: FakeStore,
    agents: Vec<FakeAgent>,
    candidates: Vec<CandidateFake>,
    loads: BTreeMap<ServiceKey, FakeLoad>,
    workspace: WorkspaceRecord,
    /// What the records broke.
    pub checks: RecordChecks,
    sets_changed: BTreeMap<AgentId, Millis>,
    open: Vec<OpenChange>,
    /// Longest time of each kind of change, in milliseconds.
    pub times: BTreeMap<&'static str, u64>,
    /// Nanoseconds spent in controllers, by `meter`.
    pub spent_nanos: u64,
    /// Events taken by controllers.
    pub control_events: u64,
    meter: fn() -> u64,
}

impl FakeFleet {
    /// Makes a fleet whose agents join at the start.
    #[must_use]
    pub fn new(settings: FleetSettings, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut loads = BTreeMap::new();
        for service in 0..settings.services {
            let load = FakeLoad::new(settings.rate, settings.keys, settings.exponent, &mut rng);
            loads.insert(service_key(service), load);
        }
        let mut fleet = Self {
            rng,
            now: Millis(START_MS),
            tasks: BinaryHeap::new(),
            planned: 0,
            store: FakeStore::new(settings.store_delay_ms),
            agents: Vec::new(),
            candidates: Vec::new(),
            loads,
            workspace: workspace(&settings),
            checks: RecordChecks::default(),
            sets_changed: BTreeMap::new(),
            open: Vec::new(),
            times: BTreeMap::new(),
            spent_nanos: 0,
            control_events: 0,
            meter: || 0,
            settings,
        };
        fleet.write_workspace();
        for number in 0..fleet.settings.agents {
            let zones = fleet.settings.zones * fleet.settings.regions;
            fleet.add_agent(number % zones.max(1));
        }
        for candidate in 0..fleet.settings.candidates {
            fleet.add_candidate(candidate, seed);
        }
        fleet.plan(1, FleetTask::Reports);
        fleet.plan(1, FleetTask::Round);
        fleet
    }

    /// Sets the clock that meters the controllers' own time, in nanoseconds.
    #[must_use]
    pub fn with_meter(mut self, meter: fn() -> u64) -> Self {
        self.meter = meter;
        self
    }

    /// The time.
    #[must_use]
    pub const fn now(&self) -> Millis {
        self.now
    }

    /// The store.
    #[must_use]
    pub const fn store(&self) -> &FakeStore {
        &self.store
    }

    /// The agents.
    #[must_use]
    pub fn agents(&self) -> &[FakeAgent] {
        &self.agents
    }

    /// The load on each service.
    #[must_use]
    pub const fn loads(&self) -> &BTreeMap<ServiceKey, FakeLoad> {
        &self.loads
    }

    /// Runs the fleet for a time.
    pub fn run(&mut self, millis: u64) {
        let end = self.now.plus(millis);
        while let Some(Reverse(next)) = self.tasks.peek() {
            if next.at > end {
                break;
            }
            let Some(Reverse(planned)) = self.tasks.pop() else {
                break;
            };
            self.now = planned.at;
            self.handle(planned.task);
        }
        self.now = end;
    }

    /// Runs the fleet up to a time counted from its start.
    pub fn run_to(&mut self, at: Millis) {
        let end = at.plus(START_MS);
        self.run(end.since(self.now));
    }

    /// Plans a task.
    fn plan(&mut self, after_ms: u64, task: FleetTask) {
        self.planned += 1;
        let planned = PlannedTask {
            at: self.now.plus(after_ms),
            number: self.planned,
            task,
        };
        self.tasks.push(Reverse(planned));
    }

    /// Adds an agent that joins now.
    fn add_agent(&mut self, zone: usize) {
        let number = self.agents.len();
        let agent = FakeAgent::new(&self.settings, number, zone);
        let record = agent.record(&self.settings, number);
        if let Ok(text) = serde_json::to_string(&record) {
            self.write_record(member_key(&agent.id), text);
        }
        self.agents.push(agent);
    }

    /// Adds a candidate beside the agent of its number.
    fn add_candidate(&mut self, candidate: usize, seed: u64) {
        let Some(agent) = self.agents.get(candidate) else {
            return;
        };
        let own_seed = seed.wrapping_mul(1_000).wrapping_add(candidate as u64);
        let control = ControlState::new(self.settings.control.clone(), own_seed);
        self.candidates.push(CandidateFake {
            election: ElectionState::new(agent.id.clone(), own_seed),
            control: Some(control),
            term: 0,
            paused_until: Millis::default(),
            wake_at: Millis::MAX,
            seen: 0,
        });
        self.plan(
            1,
            FleetTask::Election(candidate, ElectionEvent::Eligible(true)),
        );
        let gone = ElectionEvent::Alive { term: None };
        self.plan(1, FleetTask::Election(candidate, gone));
        self.spread_records();
    }

    /// Writes the workspace's record as operators do.
    fn write_workspace(&mut self) {
        if let Ok(text) = serde_json::to_string(&self.workspace) {
            self.write_record(workspace_key(&self.workspace.name), text);
        }
    }

    /// Writes a record that no controller writes, whatever its revision.
    fn write_record(&mut self, key: Name, text: String) {
        let expect = self.store.get(&key).map_or(0, |record| record.revision);
        let down = std::mem::take(&mut self.store.down_until);
        let lost = std::mem::take(&mut self.store.lost_answers);
        let result = self.store.swap(self.now, &key, expect, Some(text.into()));
        self.store.down_until = down;
        self.store.lost_answers = lost;
        if let Some(record) = result.written {
            self.checks.observe(&record);
            self.spread_records();
        }
    }

    /// Plans that every candidate reads what it lacks.
    fn spread_records(&mut self) {
        let delay = self.store.delay_ms + self.store.down_until.since(self.now);
        for candidate in 0..self.candidates.len() {
            let batch = ControlEvent::Records(RecordBatch::default());
            self.plan(delay, FleetTask::Control(candidate, Box::new(batch)));
        }
    }

    /// Does one task.
    fn handle(&mut self, task: FleetTask) {
        if let Some(candidate) = candidate_of(&task) {
            if !self.agents[candidate].is_up() {
                return;
            }
            let paused = self.candidates[candidate].paused_until.since(self.now);
            let sent = matches!(
                task,
                FleetTask::Swap { .. } | FleetTask::Claim { .. } | FleetTask::Lease { .. }
            );
            if paused > 0 && !sent {
                return self.plan(paused, task);
            }
        }
        match task {
            FleetTask::Swap {
                candidate,
                key,
                expect,
                value,
            } => self.swap(candidate, &key, expect, value),
            FleetTask::Claim {
                candidate,
                term,
                expect,
            } => self.claim(candidate, term, expect),
            FleetTask::Lease {
                candidate,
                term,
                sent,
                renewal,
            } => self.lease(candidate, term, sent, renewal),
            FleetTask::Control(candidate, event) => self.tell_control(candidate, *event),
            FleetTask::Election(candidate, event) => self.tell_election(candidate, event),
            FleetTask::Reports => self.report_all(),
            FleetTask::Report(report) => {
                self.tell_controller(ControlEvent::Report(*report));
            }
            FleetTask::Round => self.round(),
            FleetTask::Wake(candidate) => self.wake(candidate),
        }
    }

    /// A controller's write reaches the store.
    fn swap(&mut self, candidate: usize, key: &Name, expect: u64, value: Option<Name>) {
        let result = self.store.swap(self.now, key, expect, value);
        let delay = match result.end {
            WriteEnd::Unknown => CALL_TIMEOUT_MS,
            _ => self.store.delay_ms,
        };
        let end = ControlEvent::Written {
            key: key.clone(),
            end: result.end,
        };
        self.plan(delay, FleetTask::Control(candidate, Box::new(end)));
        if let Some(record) = result.written {
            for (service, unit, grant) in self.checks.observe(&record) {
                self.note_grant(service, unit, grant.next.is_some());
            }
            for id in std::mem::take(&mut self.checks.sets_changed) {
                self.sets_changed.insert(id, self.now);
            }
            self.close_changes();
            self.spread_records();
        }
    }

    /// A unit's grant changed: if it is to move, its owner will release it.
    fn note_grant(&mut self, service: ServiceKey, unit: Unit, moves: bool) {
        let Some((owner, _)) = self.checks.holder(&service, unit) else {
            return;
        };
        let wait = self.settings.spread_ms.max(1);
        let wait = self.rng.random_range(0..wait)
            + self.rng.random_range(0..self.settings.drain_ms.max(1));
        let at = self.now.plus(wait);
        if let Some(agent) = self.agents.iter_mut().find(|agent| agent.id == owner) {
            if moves {
                agent.moving.entry((service, unit)).or_insert(at);
            } else {
                agent.moving.remove(&(service, unit));
            }
        }
    }

    /// A claim reaches the store.
    fn claim(&mut self, candidate: usize, term: u64, expect: u64) {
        let record = TermRecord {
            term,
            holder: self.agents[candidate].id.clone(),
        };
        let value = serde_json::to_string(&record).ok().map(Name::from);
        let result = self.store.swap(self.now, &TERM_KEY.into(), expect, value);
        let event = match result.end {
            WriteEnd::Applied { .. } => ElectionEvent::Claimed { term },
            WriteEnd::Conflict => ElectionEvent::Beaten,
            WriteEnd::Unknown => return self.spread_records(),
        };
        self.plan(self.store.delay_ms, FleetTask::Election(candidate, event));
        self.spread_records();
    }

    /// A store lease is granted or renewed.
    fn lease(&mut self, candidate: usize, term: u64, sent: Millis, renewal: bool) {
        if !self.store.is_up(self.now) {
            return;
        }
        self.store.count_write(self.now);
        let own = self.store.alive.is_some_and(|alive| alive.term == term);
        if renewal && !own {
            return;
        }
        let until = self.now.plus(STORE_LEASE_MS);
        self.store.alive = Some(FakeAlive { term, until });
        let renewed = ElectionEvent::Renewed {
            until: sent.plus(STORE_LEASE_MS),
        };
        self.plan(self.store.delay_ms, FleetTask::Election(candidate, renewed));
        if !renewal {
            self.tell_alive(Some(term));
        }
    }

    /// Every candidate reads whether the controller's key is there.
    fn tell_alive(&mut self, term: Option<u64>) {
        for candidate in 0..self.candidates.len() {
            let event = ElectionEvent::Alive { term };
            self.plan(self.store.delay_ms, FleetTask::Election(candidate, event));
        }
    }

    /// Gives a candidate an event.
    fn tell_election(&mut self, candidate: usize, event: ElectionEvent) {
        let now = self.now;
        let fake = &mut self.candidates[candidate];
        let (election, actions) = fake.election.clone().step(now, event);
        fake.election = election;
        let delay = self.store.delay_ms;
        for action in actions {
            match action {
                ElectionAction::Claim { term, expect } => {
                    let claim = FleetTask::Claim {
                        candidate,
                        term,
                        expect,
                    };
                    self.plan(delay, claim);
                }
                ElectionAction::ShowAlive { term } => {
                    self.candidates[candidate].term = term;
                    self.plan(delay, lease_task(candidate, term, now, false));
                }
                ElectionAction::Renew => {
                    let term = self.candidates[candidate].term;
                    self.plan(delay, lease_task(candidate, term, now, true));
                }
                ElectionAction::Start { term } => {
                    self.tell_control(candidate, ControlEvent::Elected { term });
                }
                ElectionAction::Stop => self.tell_control(candidate, ControlEvent::Deposed),
            }
        }
        self.plan_wake(candidate);
    }

    /// Gives a controller an event. Records are read as far as the store has them.
    fn tell_control(&mut self, candidate: usize, event: ControlEvent) {
        let event = match event {
            ControlEvent::Records(_) => match self.read_records(candidate) {
                Some(batch) => ControlEvent::Records(batch),
                None => return,
            },
            other => other,
        };
        let Some(control) = self.candidates[candidate].control.take() else {
            return;
        };
        let begun = (self.meter)();
        let (control, actions) = control.step(self.now, event);
        self.spent_nanos += (self.meter)() - begun;
        self.control_events += 1;
        self.candidates[candidate].control = Some(control);
        for ControlAction::Write { key, expect, value } in actions {
            let swap = FleetTask::Swap {
                candidate,
                key,
                expect,
                value,
            };
            self.plan(self.store.delay_ms, swap);
        }
        self.plan_wake(candidate);
    }

    /// Reads what a candidate lacks; tells its election of the term.
    fn read_records(&mut self, candidate: usize) -> Option<RecordBatch> {
        if !self.store.is_up(self.now) {
            return None;
        }
        let seen = self.candidates[candidate].seen;
        let records = self.store.records().filter(|record| record.revision > seen);
        let batch = RecordBatch {
            records: records.cloned().collect(),
            complete_to: self.store.revision(),
        };
        if batch.records.is_empty() {
            return None;
        }
        self.candidates[candidate].seen = batch.complete_to;
        let term = batch.records.iter().find(|record| &*record.key == TERM_KEY);
        if let Some(record) = term {
            let value = record.value.as_ref();
            let read = value.and_then(|text| serde_json::from_str::<TermRecord>(text).ok());
            let event = ElectionEvent::Term {
                term: read.as_ref().map_or(0, |read| read.term),
                holder: read.map(|read| read.holder),
                revision: record.revision,
            };
            self.tell_election(candidate, event);
        }
        Some(batch)
    }

    /// Plans a candidate's next deadline.
    fn plan_wake(&mut self, candidate: usize) {
        let fake = &mut self.candidates[candidate];
        let control = fake
            .control
            .as_ref()
            .map_or(Millis::MAX, ControlState::next_tick);
        let due = control.min(fake.election.next_tick()).max(self.now);
        if due == Millis::MAX || fake.wake_at <= due {
            return;
        }
        fake.wake_at = due;
        self.plan(due.since(self.now), FleetTask::Wake(candidate));
    }

    /// A candidate's deadline is due.
    fn wake(&mut self, candidate: usize) {
        self.candidates[candidate].wake_at = Millis::MAX;
        self.tell_control(candidate, ControlEvent::Tick);
        self.tell_election(candidate, ElectionEvent::Tick);
    }

    /// Returns the candidate that holds the newest term and runs.
    fn controller(&self) -> Option<usize> {
        let value = self.store.get(TERM_KEY)?.value.as_ref()?;
        let term: TermRecord = serde_json::from_str(value).ok()?;
        let holder = self
            .agents
            .iter()
            .position(|agent| agent.id == term.holder)?;
        let runs = self.agents[holder].is_up() && holder < self.candidates.len();
        runs.then_some(holder)
    }

    /// Sends the controller a message.
    fn tell_controller(&mut self, event: ControlEvent) {
        if let Some(candidate) = self.controller() {
            self.plan(MESSAGE_MS, FleetTask::Control(candidate, Box::new(event)));
        }
    }

    /// Every agent that runs reports, spread over the period.
    fn report_all(&mut self) {
        self.plan(REPORT_EVERY_MS, FleetTask::Reports);
        let mut by_owner = BTreeMap::new();
        for (service, load) in &self.loads {
            let Some(pages) = self.checks.pages.get(service) else {
                continue;
            };
            let rng: Option<&mut dyn rand::RngCore> = if self.settings.noise {
                Some(&mut self.rng)
            } else {
                None
            };
            by_owner.extend(load.by_owner(pages, rng));
        }
        for number in 0..self.agents.len() {
            let load = by_owner.remove(&self.agents[number].id).unwrap_or_default();
            let mut report = self.report(number);
            report.slices = load.slices;
            report.keys = load.keys;
            let agent = &self.agents[number];
            if agent.is_up() && !self.checks.is_over(&agent.id) {
                let after = self.rng.random_range(0..REPORT_EVERY_MS);
                self.plan(after, FleetTask::Report(Box::new(report)));
            }
        }
    }

    /// Returns an agent's report without loads.
    fn report(&self, number: usize) -> AgentReport {
        let agent = &self.agents[number];
        let member = self.checks.members.get(&agent.id);
        let changed = self
            .sets_changed
            .get(&agent.id)
            .copied()
            .unwrap_or_default();
        let heard = self.now.since(changed) > self.settings.spread_ms + 100;
        let epoch = member.map_or(0, |member| match &member.next_monitors {
            Some(next) if heard => next.epoch,
            _ => member.monitors.epoch,
        });
        AgentReport {
            from: agent.id.clone(),
            monitors_epoch: epoch,
            leaving: agent.leaving_at.is_some(),
            revision: self.store.revision(),
            slices: Vec::new(),
            keys: Vec::new(),
        }
    }

    /// Monitors vote against lost agents, and owners release what is to move.
    fn round(&mut self) {
        self.plan(ROUND_MS, FleetTask::Round);
        if self.store.expire(self.now) {
            self.tell_alive(None);
        }
        for number in 0..self.agents.len() {
            if let Some(lost_at) = self.agents[number].lost_at {
                self.vote(number, lost_at);
            } else {
                self.release(number);
            }
        }
    }

    /// The monitors of a lost agent whose promise has run out vote.
    fn vote(&mut self, number: usize, lost_at: Millis) {
        let target = self.agents[number].id.clone();
        let Some(member) = self.checks.members.get(&target) else {
            return;
        };
        if !matches!(member.state, MemberState::Live | MemberState::Leaving) {
            return;
        }
        let lease = self.settings.control.lease;
        let next = member.next_monitors.iter().flat_map(|set| &set.monitors);
        let monitors: Vec<AgentId> = member
            .monitors
            .monitors
            .iter()
            .chain(next)
            .cloned()
            .collect();
        for (index, monitor) in monitors.into_iter().enumerate() {
            let up = self
                .agents
                .iter()
                .any(|agent| agent.id == monitor && agent.is_up());
            let phase = (number as u64 * 7 + index as u64 * 131) % lease.renew_every_ms;
            let ends = lost_at
                .minus(phase)
                .plus(lease.ttl_ms + lease.drift_margin_ms);
            if up && self.now >= ends {
                let vote = VoteNotice {
                    from: monitor,
                    target: target.clone(),
                };
                self.tell_controller(ControlEvent::Vote(vote));
            }
        }
    }

    /// An owner releases what it has let go, again and again until the records show it.
    fn release(&mut self, number: usize) {
        let now = self.now;
        let due: Vec<(ServiceKey, Unit)> = self.agents[number]
            .moving
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(unit, _)| unit.clone())
            .collect();
        let mut notices: BTreeMap<ServiceKey, Vec<Unit>> = BTreeMap::new();
        for (service, unit) in due {
            let id = &self.agents[number].id;
            match self.checks.holder(&service, unit) {
                Some((owner, grant)) if owner == *id && grant.next.is_some() => {
                    let released = (service.clone(), unit, grant.fence);
                    self.checks.released.insert(released);
                    notices.entry(service).or_default().push(unit);
                }
                _ => {
                    self.agents[number].moving.remove(&(service, unit));
                }
            }
        }
        for (service, units) in notices {
            let notice = ReleaseNotice {
                from: self.agents[number].id.clone(),
                workspace: service.0,
                service: service.1,
                units,
            };
            self.tell_controller(ControlEvent::Released(notice));
        }
    }

    /// Notes the time of changes that have ended.
    fn close_changes(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let units = self.checks.units_by_owner();
        let now = self.now;
        let times = &mut self.times;
        self.open.retain(|change| {
            let done = change.agents.iter().all(|id| !units.contains_key(id));
            if done {
                let time = times.entry(change.figure).or_default();
                *time = now.since(change.since).max(*time);
            }
            !done
        });
    }

    /// Changes whose end has not come.
    #[must_use]
    pub fn open_changes(&self) -> usize {
        self.open.len()
    }

    /// Loses agents, and waits for their units' new owners.
    fn lose(&mut self, numbers: &[usize], figure: &'static str) {
        let mut ids = Vec::new();
        for number in numbers {
            let agent = &mut self.agents[*number];
            if agent.lost_at.is_none() {
                agent.lost_at = Some(self.now);
                ids.push(agent.id.clone());
            }
        }
        let since = self.now.max(self.store.down_until);
        self.watch(figure, since, ids);
    }

    /// Times a change until the agents own nothing.
    fn watch(&mut self, figure: &'static str, since: Millis, agents: Vec<AgentId>) {
        self.open.push(OpenChange {
            figure,
            since,
            agents,
        });
    }

    /// Returns the numbers of the agents in a zone that run.
    fn in_zone(&self, zone: usize) -> Vec<usize> {
        (0..self.agents.len())
            .filter(|number| self.agents[*number].zone == zone && self.agents[*number].is_up())
            .collect()
    }

    /// Lets something happen now.
    pub fn apply(&mut self, event: &FleetEvent) {
        match event {
            FleetEvent::LoseAgent { agent } => self.lose(&[*agent], "takeover_ms"),
            FleetEvent::LoseZone { zone } => self.lose(&self.in_zone(*zone), "takeover_ms"),
            FleetEvent::LoseController => {
                if let Some(candidate) = self.controller() {
                    self.lose(&[candidate], "takeover_ms");
                }
            }
            FleetEvent::PauseController { millis } => {
                if let Some(candidate) = self.controller() {
                    self.candidates[candidate].paused_until = self.now.plus(*millis);
                }
            }
            FleetEvent::Leave { agent } => {
                self.agents[*agent].leaving_at = Some(self.now);
                let id = self.agents[*agent].id.clone();
                self.watch("leave_ms", self.now, vec![id]);
                let report = Box::new(self.report(*agent));
                self.plan(MESSAGE_MS, FleetTask::Report(report));
            }
            FleetEvent::Join { zone } => self.add_agent(*zone),
            FleetEvent::ZoneOut { zone } => {
                let gone = self.in_zone(*zone);
                let ids = gone.iter().map(|number| self.agents[*number].id.clone());
                self.watch("zone_out_ms", self.now, ids.collect());
                self.workspace.zones_out.push(zone_name(*zone));
                self.write_workspace();
            }
            FleetEvent::ZoneIn { zone } => {
                let name = zone_name(*zone);
                self.workspace.zones_out.retain(|out| *out != name);
                self.write_workspace();
            }
            FleetEvent::StoreDown { millis } => {
                self.store.down_until = self.now.plus(*millis);
                for change in &mut self.open {
                    change.since = change.since.max(self.store.down_until);
                }
            }
            FleetEvent::StoreDelay { millis } => self.store.delay_ms = *millis,
            FleetEvent::LoseAnswers { count } => self.store.lost_answers = *count,
            FleetEvent::ChangeHottest { count } => {
                for load in self.loads.values_mut() {
                    load.change_hottest(*count, &mut self.rng);
                }
            }
            FleetEvent::End => {}
        }
    }
}

/// Returns the candidate that a task is for.
const fn candidate_of(task: &FleetTask) -> Option<usize> {
    match task {
        FleetTask::Swap { candidate, .. }
        | FleetTask::Claim { candidate, .. }
        | FleetTask::Lease { candidate, .. }
        | FleetTask::Control(candidate, _)
        | FleetTask::Election(candidate, _)
        | FleetTask::Wake(candidate) => Some(*candidate),
        _ => None,
    }
}

/// Makes the task of a store lease's grant or renewal.
const fn lease_task(candidate: usize, term: u64, sent: Millis, renewal: bool) -> FleetTask {
    FleetTask::Lease {
        candidate,
        term,
        sent,
        renewal,
    }
}

/// Makes the workspace of a fleet.
fn workspace(settings: &FleetSettings) -> WorkspaceRecord {
    let spec = |service: usize| ServiceSpec {
        name: service_key(service).1,
        keyed: true,
        slots: 6,
        connections: 110,
        probe_cost_ms: 0,
        timeout_ms: 1_000,
        routes: Vec::new(),
        target: ServiceTarget {
            availability_percent: 99.9,
            latency_percent: 99.0,
            latency_ms: 18,
            key_unavailable_ms: 5_000,
        },
    };
    WorkspaceRecord {
        name: "w".into(),
        zones: (0..settings.zones * settings.regions)
            .map(zone_name)
            .collect(),
        zones_out: Vec::new(),
        services: (0..settings.services).map(spec).collect(),
        accepted: None,
        token: 0,
    }
}
