//! A fake fleet around real candidates and controllers, in virtual time, for replays and trials.
//!
//! It is a queue of events with seeded delays, no more: a store by compare-and-swap, agents that
//! report, vote and release, and the checks of every record written.

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
use crate::fake_tasks::PlannedTask;
use crate::fake_tasks::candidate_of;

/// The time at which a fleet starts, so that no point in time is zero.
const START_MS: u64 = 10_000;

/// An agent that may be the controller.
#[derive(Clone, Debug)]
pub(crate) struct CandidateFake {
    pub(crate) election: ElectionState,
    pub(crate) control: Option<ControlState>,
    pub(crate) term: u64,
    pub(crate) paused_until: Millis,
    pub(crate) wake_at: Millis,
    pub(crate) seen: u64,
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
    pub(crate) settings: FleetSettings,
    pub(crate) rng: SmallRng,
    pub(crate) now: Millis,
    pub(crate) tasks: BinaryHeap<Reverse<PlannedTask>>,
    pub(crate) planned: u64,
    pub(crate) store: FakeStore,
    pub(crate) agents: Vec<FakeAgent>,
    pub(crate) candidates: Vec<CandidateFake>,
    pub(crate) loads: BTreeMap<ServiceKey, FakeLoad>,
    pub(crate) workspace: WorkspaceRecord,
    /// What the records broke.
    pub checks: RecordChecks,
    pub(crate) sets_changed: BTreeMap<AgentId, Millis>,
    pub(crate) open: Vec<OpenChange>,
    /// Longest time of each kind of change, in milliseconds.
    pub times: BTreeMap<&'static str, u64>,
    /// Nanoseconds spent in controllers, by `meter`.
    pub spent_nanos: u64,
    /// Events taken by controllers.
    pub control_events: u64,
    pub(crate) meter: fn() -> u64,
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
    pub(crate) fn plan(&mut self, after_ms: u64, task: FleetTask) {
        self.planned += 1;
        let planned = PlannedTask {
            at: self.now.plus(after_ms),
            number: self.planned,
            task,
        };
        self.tasks.push(Reverse(planned));
    }

    /// Adds an agent that joins now.
    pub(crate) fn add_agent(&mut self, zone: usize) {
        let number = self.agents.len();
        let agent = FakeAgent::new(&self.settings, number, zone);
        let record = agent.record(&self.settings, number);
        if let Ok(text) = serde_json::to_string(&record) {
            self.write_record(member_key(&agent.id), text);
        }
        self.agents.push(agent);
    }

    /// Adds a candidate beside the agent of its number.
    pub(crate) fn add_candidate(&mut self, candidate: usize, seed: u64) {
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
    pub(crate) fn write_workspace(&mut self) {
        if let Ok(text) = serde_json::to_string(&self.workspace) {
            self.write_record(workspace_key(&self.workspace.name), text);
        }
    }

    /// Writes a record that no controller writes, whatever its revision.
    pub(crate) fn write_record(&mut self, key: Name, text: String) {
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
    pub(crate) fn spread_records(&mut self) {
        let delay = self.store.delay_ms + self.store.down_until.since(self.now);
        for candidate in 0..self.candidates.len() {
            let batch = ControlEvent::Records(RecordBatch::default());
            self.plan(delay, FleetTask::Control(candidate, Box::new(batch)));
        }
    }

    /// Does one task.
    pub(crate) fn handle(&mut self, task: FleetTask) {
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
            FleetTask::Control(candidate, event) => self.notify_control(candidate, *event),
            FleetTask::Election(candidate, event) => self.notify_election(candidate, event),
            FleetTask::Reports => self.report_all(),
            FleetTask::Report(report) => {
                self.notify_controller(ControlEvent::Report(*report));
            }
            FleetTask::Round => self.round(),
            FleetTask::Wake(candidate) => self.wake(candidate),
        }
    }
}

/// Makes the workspace of a fleet.
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
