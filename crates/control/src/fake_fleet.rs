//! Simulates a fleet around real candidates and controllers in virtual time, for replays and trials.
//!
//! The simulation is a queue of tasks with seeded random delays. It has a store with compare-and-swap, agents
//! that report, vote and release units, and checks of every record written.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use jy_feed::view::ServiceKey;
use jy_types::member::AgentId;
use jy_types::name::Name;
use jy_types::record::RecordBatch;
use jy_types::record::member_key;
use jy_types::record::workspace_key;
use jy_types::time::Millis;
use jy_types::workspace::ServiceSpec;
use jy_types::workspace::ServiceTarget;
use jy_types::workspace::WorkspaceRecord;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::api::ControlEvent;
use crate::core::ControlState;
use crate::election::ElectionEvent;
use crate::election::ElectionState;
use crate::fake_agents::FakeAgent;
use crate::fake_agents::FleetSettings;
use crate::fake_agents::service_key;
use crate::fake_agents::zone_name;
use crate::fake_checks::RecordChecks;
use crate::fake_loads::FakeLoad;
use crate::fake_store::FakeStore;
use crate::fake_tasks::FleetTask;
use crate::fake_tasks::ScheduledTask;
use crate::fake_tasks::candidate_of;

/// Virtual time at which a fleet starts. It is not zero, because zero stands for an unset time.
const START_MS: u64 = 10_000;

/// A candidate for the controller role, on the agent of the same number.
#[derive(Clone, Debug)]
pub(crate) struct FakeCandidate {
    pub(crate) election: ElectionState,
    pub(crate) control: Option<ControlState>,
    /// Term of the store lease that the candidate asked for last.
    pub(crate) term: u64,
    pub(crate) paused_until: Millis,
    /// Time of the scheduled deadline, or the maximum if none is scheduled.
    pub(crate) wake_at: Millis,
    /// Store revision up to which the candidate has read the records.
    pub(crate) last_revision: u64,
}

/// A change of the fleet whose duration is being measured.
#[derive(Clone, Debug)]
pub struct PendingChange {
    /// Name of the figure that the duration is reported as.
    pub figure: &'static str,
    /// Time from which the duration counts.
    pub since: Millis,
    /// Agents that must own no units for the change to be complete.
    pub agents: Vec<AgentId>,
}

/// A simulated fleet.
pub struct FakeFleet {
    pub(crate) settings: FleetSettings,
    pub(crate) rng: SmallRng,
    pub(crate) now: Millis,
    pub(crate) tasks: BinaryHeap<Reverse<ScheduledTask>>,
    /// Number of tasks scheduled so far.
    pub(crate) scheduled_tasks: u64,
    pub(crate) store: FakeStore,
    pub(crate) agents: Vec<FakeAgent>,
    pub(crate) candidates: Vec<FakeCandidate>,
    pub(crate) loads: BTreeMap<ServiceKey, FakeLoad>,
    pub(crate) workspace: WorkspaceRecord,
    /// Invariant checks of the records.
    pub checks: RecordChecks,
    /// When each agent's monitor sets changed last.
    pub(crate) monitor_sets_changed_at: BTreeMap<AgentId, Millis>,
    pub(crate) pending_changes: Vec<PendingChange>,
    /// Longest duration of each kind of change in milliseconds, by the name of its figure.
    pub times: BTreeMap<&'static str, u64>,
    /// Nanoseconds spent in controllers, as measured by [`Self::with_nano_clock`]'s clock.
    pub control_nanos: u64,
    /// Number of events handled by controllers.
    pub control_events: u64,
    pub(crate) nano_clock: fn() -> u64,
}

impl FakeFleet {
    /// Creates a fleet whose agents join at the start.
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
            scheduled_tasks: 0,
            store: FakeStore::new(settings.store_delay_ms),
            agents: Vec::new(),
            candidates: Vec::new(),
            loads,
            workspace: workspace(&settings),
            checks: RecordChecks::default(),
            monitor_sets_changed_at: BTreeMap::new(),
            pending_changes: Vec::new(),
            times: BTreeMap::new(),
            control_nanos: 0,
            control_events: 0,
            nano_clock: || 0,
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
        fleet.schedule(1, FleetTask::Reports);
        fleet.schedule(1, FleetTask::VoteAndRelease);
        fleet
    }

    /// Sets the clock, in nanoseconds, that the time spent in controllers is measured with.
    #[must_use]
    pub fn with_nano_clock(mut self, nano_clock: fn() -> u64) -> Self {
        self.nano_clock = nano_clock;
        self
    }

    /// Returns the present virtual time.
    #[must_use]
    pub const fn now(&self) -> Millis {
        self.now
    }

    /// Returns the simulated store.
    #[must_use]
    pub const fn store(&self) -> &FakeStore {
        &self.store
    }

    /// Returns all agents, by number.
    #[must_use]
    pub fn agents(&self) -> &[FakeAgent] {
        &self.agents
    }

    /// Returns the load on each service.
    #[must_use]
    pub const fn loads(&self) -> &BTreeMap<ServiceKey, FakeLoad> {
        &self.loads
    }

    /// Runs the fleet for the given time.
    pub fn run(&mut self, millis: u64) {
        let end = self.now.plus(millis);
        while let Some(Reverse(next)) = self.tasks.peek() {
            if next.at > end {
                break;
            }
            let Some(Reverse(scheduled)) = self.tasks.pop() else {
                break;
            };
            self.now = scheduled.at;
            self.run_task(scheduled.task);
        }
        self.now = end;
    }

    /// Runs the fleet up to a time counted from its start.
    pub fn run_to(&mut self, at: Millis) {
        let end = at.plus(START_MS);
        self.run(end.since(self.now));
    }

    /// Schedules a task to run after `after_ms`.
    pub(crate) fn schedule(&mut self, after_ms: u64, task: FleetTask) {
        self.scheduled_tasks += 1;
        let scheduled = ScheduledTask {
            at: self.now.plus(after_ms),
            number: self.scheduled_tasks,
            task,
        };
        self.tasks.push(Reverse(scheduled));
    }

    /// Adds an agent and writes its member record.
    pub(crate) fn add_agent(&mut self, zone: usize) {
        let number = self.agents.len();
        let agent = FakeAgent::new(&self.settings, number, zone);
        let record = agent.record(&self.settings, number);
        if let Ok(text) = serde_json::to_string(&record) {
            self.write_record(member_key(&agent.id), text);
        }
        self.agents.push(agent);
    }

    /// Adds the candidate on the agent with the same number.
    pub(crate) fn add_candidate(&mut self, candidate: usize, seed: u64) {
        let Some(agent) = self.agents.get(candidate) else {
            return;
        };
        let own_seed = seed.wrapping_mul(1_000).wrapping_add(candidate as u64);
        let control = ControlState::new(self.settings.control.clone(), own_seed);
        self.candidates.push(FakeCandidate {
            election: ElectionState::new(agent.id.clone(), own_seed),
            control: Some(control),
            term: 0,
            paused_until: Millis::default(),
            wake_at: Millis::MAX,
            last_revision: 0,
        });
        self.schedule(
            1,
            FleetTask::Election(candidate, ElectionEvent::Eligible(true)),
        );
        let gone = ElectionEvent::Alive { term: None };
        self.schedule(1, FleetTask::Election(candidate, gone));
        self.schedule_record_reads();
    }

    /// Writes the workspace record, as operators would.
    pub(crate) fn write_workspace(&mut self) {
        if let Ok(text) = serde_json::to_string(&self.workspace) {
            self.write_record(workspace_key(&self.workspace.name), text);
        }
    }

    /// Writes a record of an agent or operator over any revision. Injected store faults don't apply.
    pub(crate) fn write_record(&mut self, key: Name, text: String) {
        let expect = self.store.get(&key).map_or(0, |record| record.revision);
        let down = std::mem::take(&mut self.store.down_until);
        let lost = std::mem::take(&mut self.store.answers_to_lose);
        let result = self.store.swap(self.now, &key, expect, Some(text.into()));
        self.store.down_until = down;
        self.store.answers_to_lose = lost;
        if let Some(record) = result.written {
            self.checks.observe(&record);
            self.schedule_record_reads();
        }
    }

    /// Schedules a read of new records by every candidate, after an outage of the store if there is one.
    pub(crate) fn schedule_record_reads(&mut self) {
        let delay = self.store.delay_ms + self.store.down_until.since(self.now);
        for candidate in 0..self.candidates.len() {
            let batch = ControlEvent::Records(RecordBatch::default());
            self.schedule(delay, FleetTask::Control(candidate, Box::new(batch)));
        }
    }

    /// Runs one task. Tasks of a lost candidate are dropped. Those of a paused one are postponed, except store
    /// calls that it has already sent.
    pub(crate) fn run_task(&mut self, task: FleetTask) {
        if let Some(candidate) = candidate_of(&task) {
            if !self.agents[candidate].is_up() {
                return;
            }
            let paused = self.candidates[candidate].paused_until.since(self.now);
            let already_sent = matches!(
                task,
                FleetTask::Swap { .. } | FleetTask::Claim { .. } | FleetTask::Lease { .. }
            );
            if paused > 0 && !already_sent {
                return self.schedule(paused, task);
            }
        }
        match task {
            FleetTask::Swap {
                candidate,
                key,
                expect,
                value,
            } => self.handle_swap(candidate, &key, expect, value),
            FleetTask::Claim {
                candidate,
                term,
                expect,
            } => self.handle_claim(candidate, term, expect),
            FleetTask::Lease {
                candidate,
                term,
                sent,
                renewal,
            } => self.handle_lease(candidate, term, sent, renewal),
            FleetTask::Control(candidate, event) => self.notify_control(candidate, *event),
            FleetTask::Election(candidate, event) => self.notify_election(candidate, event),
            FleetTask::Reports => self.report_all(),
            FleetTask::Report(report) => {
                self.notify_controller(ControlEvent::Report(*report));
            }
            FleetTask::VoteAndRelease => self.vote_and_release(),
            FleetTask::Wake(candidate) => self.wake(candidate),
        }
    }
}

/// Creates the workspace record of a fleet.
pub(crate) fn workspace(settings: &FleetSettings) -> WorkspaceRecord {
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
