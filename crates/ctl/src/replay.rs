//! Replays recorded traces of operators that change a workspace concurrently, to check that no accepted
//! change is reverted.
//!
//! Each operator has its own service and changes only the slots of that service. A write that changes
//! another service has therefore reverted an accepted change.

use std::collections::BTreeMap;
use std::rc::Rc;

use futures_util::FutureExt;
use jy_feed::replica::RecordReplica;
use jy_kernel::trace;
use jy_kernel::trace::FigureMap;
use jy_kernel::trace::Result;
use jy_kernel::trace::TraceError;
use jy_store::memory::FakeStore;
use jy_store::memory::StoreFault;
use jy_types::name::Name;
use jy_types::record::RecordBatch;
use jy_types::record::SPREAD_PREFIX;
use jy_types::record::workspace_key;
use jy_types::workspace::ServiceSpec;
use jy_types::workspace::ServiceTarget;
use jy_types::workspace::WorkspaceRecord;
use serde::Deserialize;
use serde::Serialize;

use crate::accept;
use crate::accept::AcceptOutcome;
use crate::accept::AcceptedState;
use crate::accept::ChangeAuthor;
use crate::accept::PauseFn;
use crate::diff;

/// Name of the workspace that the operators change.
const WORKSPACE: &str = "raced";

/// A safety rule that a trace disables, to show that the figures then break their bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenRule {
    /// Operators base their writes on the revision that they read. Without the rule, they use the newest one.
    WriteOverSeen,
    /// Agents replace records only by newer ones. Without the rule, they copy all records of a peer.
    MoveForward,
}

/// Settings of a trace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RaceSettings {
    /// Names of the operators. Each also names the service of its operator.
    pub operators: Vec<Name>,
    /// Number of agents.
    pub agents: usize,
    /// The rule that is disabled, if any.
    #[serde(default)]
    pub broken: Option<BrokenRule>,
}

/// An event of a trace. Operators and agents are identified by index.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RaceEvent {
    /// An operator reads the configuration in force.
    Read {
        /// Index of the operator.
        operator: usize,
    },
    /// An operator accepts a change of the configuration that it read last.
    Write {
        /// Index of the operator.
        operator: usize,
        /// New number of slots of the operator's service.
        slots: u32,
        /// Faults of the write attempts, in order.
        #[serde(default)]
        faults: Vec<StoreFault>,
    },
    /// An agent pulls the records of another agent or of the store.
    Pull {
        /// Index of the agent.
        agent: usize,
        /// Index of the other agent, or `None` for the store.
        #[serde(default)]
        from: Option<usize>,
    },
    /// An agent restarts and reads all records from the store.
    Restart {
        /// Index of the agent.
        agent: usize,
    },
}

/// Counts of a replay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RaceCounts {
    /// Writes that took effect.
    pub writes: u64,
    /// Operators told that their change is accepted.
    pub accepted: u64,
    /// Operators told that another change came first.
    pub lost: u64,
    /// Operators told that several changes were made since the base revision.
    pub overtaken: u64,
    /// Operators told that the change may still take effect.
    pub undecided: u64,
    /// Writes that reverted an accepted change.
    pub taken_back: u64,
    /// Times that a write took effect again after the first time.
    pub written_twice: u64,
    /// Operators told that a change was accepted when it was not, or rejected when it was.
    pub told_false: u64,
    /// Times that an agent went back to an older configuration.
    pub agents_back: u64,
    /// Agents without the newest configuration at the end.
    pub agents_behind: u64,
}

impl RaceCounts {
    /// Returns all counts with their names in the figures.
    #[must_use]
    pub const fn counts(&self) -> [(&'static str, u64); 10] {
        [
            ("writes", self.writes),
            ("accepted", self.accepted),
            ("lost", self.lost),
            ("overtaken", self.overtaken),
            ("undecided", self.undecided),
            ("taken_back", self.taken_back),
            ("written_twice", self.written_twice),
            ("told_false", self.told_false),
            ("agents_back", self.agents_back),
            ("agents_behind", self.agents_behind),
        ]
    }

    /// Adds the counts of another replay.
    #[must_use]
    pub const fn plus(mut self, other: &Self) -> Self {
        self.writes += other.writes;
        self.accepted += other.accepted;
        self.lost += other.lost;
        self.overtaken += other.overtaken;
        self.undecided += other.undecided;
        self.taken_back += other.taken_back;
        self.written_twice += other.written_twice;
        self.told_false += other.told_false;
        self.agents_back += other.agents_back;
        self.agents_behind += other.agents_behind;
        self
    }
}

/// State of a replay: a store, the operators that write to it and the agents that receive the configuration.
pub struct RaceState {
    settings: RaceSettings,
    store: FakeStore,
    /// State that each operator read last.
    last_read: Vec<AcceptedState>,
    /// Token of each write with a known outcome, and whether its operator was told that it is accepted.
    reports: Vec<(u64, bool)>,
    replicas: Vec<RecordReplica>,
    totals: RaceCounts,
}

/// Replays a trace and returns its counts. `source` names the trace in errors.
///
/// # Errors
///
/// [`TraceError`] with the line that is invalid.
pub fn replay(source: &str, text: &str) -> Result<FigureMap> {
    let header = trace::read_header(source, text)?;
    let settings = serde_json::from_value(header.settings)
        .map_err(|cause| TraceError::invalid_settings(source, cause))?;
    let mut state = RaceState::new(settings);
    for line in trace::read_events::<RaceEvent>(source, text)? {
        state.step(&line.event);
    }
    let counts = state.finish().counts();
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    let figures = counts.map(|(name, count)| (name.into(), count as f64));
    Ok(figures.into_iter().collect())
}

/// Runs a future that uses only the in-memory store, which answers without waiting.
///
/// # Panics
///
/// If the future has to wait.
fn run_ready<T>(future: impl Future<Output = T>) -> T {
    future
        .now_or_never()
        .expect("the in-memory store answers without waiting")
}

/// Returns the initial workspace, with one service for each operator.
fn first_record(operators: &[Name]) -> WorkspaceRecord {
    let service = |name: &Name| ServiceSpec {
        name: name.clone(),
        keyed: false,
        slots: 1,
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
        name: WORKSPACE.into(),
        zones: vec!["a".into()],
        zones_out: Vec::new(),
        services: operators.iter().map(service).collect(),
        token: 0,
        accepted: None,
    }
}

/// Returns the author of a change.
fn author(name: &Name) -> ChangeAuthor {
    ChangeAuthor {
        name: name.clone(),
        note: None,
    }
}

impl RaceState {
    /// Creates the state with an accepted workspace that no operator has read.
    #[must_use]
    pub fn new(settings: RaceSettings) -> Self {
        let mut state = Self {
            store: FakeStore::new(),
            last_read: vec![AcceptedState::default(); settings.operators.len()],
            reports: Vec::new(),
            replicas: vec![RecordReplica::new(); settings.agents],
            totals: RaceCounts::default(),
            settings,
        };
        let first = first_record(&state.settings.operators);
        state.write(
            accept::prepare_record(first, 0, &author(&"first".into())),
            0,
        );
        state
    }

    /// Applies one event. An event of an unknown operator or agent has no effect.
    pub fn step(&mut self, event: &RaceEvent) {
        match event {
            RaceEvent::Read { operator } => self.read(*operator),
            RaceEvent::Write {
                operator,
                slots,
                faults,
            } => {
                self.store.fail_writes(faults);
                self.change(*operator, *slots);
                self.store.fail_writes(&[]);
            }
            RaceEvent::Pull { agent, from } => self.pull(*agent, *from),
            RaceEvent::Restart { agent } => {
                let batch = self.store_batch();
                self.set_replica(*agent, RecordReplica::new().with_batch(batch).0);
            }
        }
    }

    /// Reads the workspace for an operator.
    fn read(&mut self, operator: usize) {
        let client = self.store.client();
        let state = run_ready(accept::read(&client, WORKSPACE));
        if let (Some(last_read), Ok(state)) = (self.last_read.get_mut(operator), state) {
            *last_read = state;
        }
    }

    /// Accepts a change of the state that an operator read last.
    fn change(&mut self, operator: usize, slots: u32) {
        let last_read = self.last_read.get(operator).cloned().unwrap_or_default();
        let Some(mut record) = last_read.record else {
            return;
        };
        let client = self.store.client();
        let base = match self.settings.broken {
            Some(BrokenRule::WriteOverSeen) => {
                run_ready(accept::read(&client, WORKSPACE)).map_or(0, |state| state.revision)
            }
            _ => last_read.revision,
        };
        if let Some(service) = record.services.get_mut(operator) {
            service.slots = slots;
            let author = author(&service.name);
            self.write(accept::prepare_record(record, base, &author), base);
        }
    }

    /// Writes a record and counts the outcome that its author is told.
    fn write(&mut self, record: WorkspaceRecord, base: u64) {
        let pause: PauseFn = Rc::new(|_| Box::pin(async {}));
        match run_ready(accept::write(&self.store.client(), &pause, base, &record)) {
            Ok(AcceptOutcome::Accepted { .. }) => {
                self.totals.accepted += 1;
                self.reports.push((record.token, true));
            }
            Ok(AcceptOutcome::Rejected { .. }) => {
                self.totals.lost += 1;
                self.reports.push((record.token, false));
            }
            Ok(AcceptOutcome::Superseded { .. }) => self.totals.overtaken += 1,
            Err(_) => self.totals.undecided += 1,
        }
    }

    /// Updates the replica of an agent from another agent or from the store.
    fn pull(&mut self, agent: usize, from: Option<usize>) {
        let Some(replica) = self.replicas.get(agent).cloned() else {
            return;
        };
        let peer = from.and_then(|peer| self.replicas.get(peer));
        let replica = match (peer, self.settings.broken) {
            (Some(peer), Some(BrokenRule::MoveForward)) => peer.clone(),
            (Some(peer), _) => {
                let batch = peer.batch_after(replica.complete_to());
                replica.with_batch(batch).0
            }
            (None, _) => replica.with_batch(self.store_batch()).0,
        };
        self.set_replica(agent, replica);
    }

    /// Sets the replica of an agent and counts a step back to an older configuration.
    fn set_replica(&mut self, agent: usize, replica: RecordReplica) {
        let before = self.revision_at(agent);
        if let Some(slot) = self.replicas.get_mut(agent) {
            *slot = replica;
        }
        self.totals.agents_back += u64::from(self.revision_at(agent) < before);
    }

    /// Reads all records of the store.
    fn store_batch(&self) -> RecordBatch {
        let answer = run_ready(self.store.client().list(SPREAD_PREFIX));
        answer.map_or_else(
            |_| RecordBatch::default(),
            |answer| RecordBatch {
                records: answer.records,
                complete_to: answer.revision,
                era: 0,
            },
        )
    }

    /// Returns the revision of the configuration that an agent has in force, or zero.
    fn revision_at(&self, agent: usize) -> u64 {
        let replica = self.replicas.get(agent);
        let record = replica.and_then(|replica| replica.get(&workspace_key(WORKSPACE)));
        record.map_or(0, |record| record.revision)
    }

    /// Checks the history of writes against what the operators were told, and returns all counts.
    #[must_use]
    pub fn finish(self) -> RaceCounts {
        let mut totals = self.totals;
        let mut tokens: BTreeMap<u64, u64> = BTreeMap::new();
        let mut before: Option<WorkspaceRecord> = None;
        let mut newest = 0;
        for write in self.store.writes() {
            let value = write.value.unwrap_or_default();
            let Ok(after) = serde_json::from_str::<WorkspaceRecord>(&value) else {
                continue;
            };
            newest = write.revision;
            totals.writes += 1;
            *tokens.entry(after.token).or_default() += 1;
            totals.taken_back += u64::from(reverts_change(before.as_ref(), &after));
            before = Some(after);
        }
        totals.written_twice = tokens.values().map(|count| count - 1).sum();
        for (token, accepted) in &self.reports {
            totals.told_false += u64::from(tokens.contains_key(token) != *accepted);
        }
        for agent in 0..self.replicas.len() {
            totals.agents_behind += u64::from(self.revision_at(agent) != newest);
        }
        totals
    }
}

/// Returns whether a write changes any setting other than its author's own.
fn reverts_change(before: Option<&WorkspaceRecord>, after: &WorkspaceRecord) -> bool {
    let Some(before) = before else {
        return false;
    };
    let author = after.accepted.as_ref().map(|acceptance| &*acceptance.by);
    let own_setting = format!("services.{}.slots", author.unwrap_or_default());
    let changes = diff::changes(Some(before), Some(after));
    changes.iter().any(|change| change.setting != own_setting)
}
