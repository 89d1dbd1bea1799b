//! Races of operators from a recorded trace: does an accepted configuration ever revert?
//!
//! Each operator owns one service and only ever changes its slots, so a write that changes another
//! service takes an accepted change back, however it came about.

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

/// The workspace that is raced for.
const WORKSPACE: &str = "raced";

/// A rule that a trace switches off, to show that the outcome then breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenRule {
    /// Operators write over whatever stands and not over the revision that they saw.
    WriteOverSeen,
    /// Agents take a peer's records as they are, also older ones.
    MoveForward,
}

/// Settings of a race.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RaceSettings {
    /// Names of the operators.
    pub operators: Vec<Name>,
    /// Number of agents.
    pub agents: usize,
    /// The rule switched off.
    #[serde(default)]
    pub broken: Option<BrokenRule>,
}

/// What happens in a race. Operators and agents go by their number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RaceEvent {
    /// An operator looks at what is in force.
    Read {
        /// The operator.
        operator: usize,
    },
    /// An operator accepts its change of what it saw last.
    Write {
        /// The operator.
        operator: usize,
        /// The new value of its setting.
        slots: u32,
        /// What happens to its attempts, in order.
        #[serde(default)]
        faults: Vec<StoreFault>,
    },
    /// An agent takes the records of another, or of the store.
    Pull {
        /// The agent.
        agent: usize,
        /// The other agent; none for the store.
        #[serde(default)]
        from: Option<usize>,
    },
    /// An agent restarts and reads the store.
    Restart {
        /// The agent.
        agent: usize,
    },
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RaceCounts {
    /// Writes that took effect.
    pub writes: u64,
    /// Operators told that their change is accepted.
    pub accepted: u64,
    /// Operators told that another change came first.
    pub lost: u64,
    /// Operators told that several changes came since.
    pub overtaken: u64,
    /// Operators told that the change may still take effect.
    pub undecided: u64,
    /// Writes that took an accepted change back.
    pub taken_back: u64,
    /// Writes that took effect twice.
    pub written_twice: u64,
    /// Operators told something false.
    pub told_false: u64,
    /// Agents that went back to an older configuration.
    pub agents_back: u64,
    /// Agents without the newest configuration at the end.
    pub agents_behind: u64,
}

impl RaceCounts {
    /// Returns all counts by name.
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

    /// Adds the counts of another race.
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

/// A store, its operators and the agents that hear of the configuration.
pub struct RaceState {
    settings: RaceSettings,
    store: FakeStore,
    seen: Vec<AcceptedState>,
    claims: Vec<(u64, bool)>,
    replicas: Vec<RecordReplica>,
    tally: RaceCounts,
}

/// Replays a recorded race.
///
/// # Errors
///
/// [`TraceError`] with the line.
pub fn replay(source: &str, text: &str) -> Result<FigureMap> {
    let header = trace::read_header(source, text)?;
    let settings = serde_json::from_value(header.settings)
        .map_err(|cause| TraceError::in_header(source, cause))?;
    let mut state = RaceState::new(settings);
    for line in trace::read_events::<RaceEvent>(source, text)? {
        state.step(&line.event);
    }
    let counts = state.finish().counts();
    #[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
    let figures = counts.map(|(name, count)| (name.into(), count as f64));
    Ok(figures.into_iter().collect())
}

/// Runs a future that the store in memory answers at once.
///
/// # Panics
///
/// If it has to wait, which the store in memory never asks for.
fn now<T>(future: impl Future<Output = T>) -> T {
    future
        .now_or_never()
        .expect("the store in memory answers at once")
}

/// The workspace as it is first accepted: one service for each operator.
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

/// Names who makes a change.
fn author(name: &Name) -> ChangeAuthor {
    ChangeAuthor {
        name: name.clone(),
        note: None,
    }
}

impl RaceState {
    /// Starts with an accepted workspace that nobody has looked at.
    #[must_use]
    pub fn new(settings: RaceSettings) -> Self {
        let mut state = Self {
            store: FakeStore::new(),
            seen: vec![AcceptedState::default(); settings.operators.len()],
            claims: Vec::new(),
            replicas: vec![RecordReplica::new(); settings.agents],
            tally: RaceCounts::default(),
            settings,
        };
        let first = first_record(&state.settings.operators);
        state.write(accept::sign(first, 0, &author(&"first".into())), 0);
        state
    }

    /// Lets one thing happen. An event of an unknown operator or agent does nothing.
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
                self.replace(*agent, RecordReplica::new().with_batch(batch).0);
            }
        }
    }

    /// Lets an operator look.
    fn read(&mut self, operator: usize) {
        let client = self.store.client();
        let state = now(accept::read(&client, WORKSPACE));
        if let (Some(seen), Ok(state)) = (self.seen.get_mut(operator), state) {
            *seen = state;
        }
    }

    /// Lets an operator accept its change of what it saw.
    fn change(&mut self, operator: usize, slots: u32) {
        let seen = self.seen.get(operator).cloned().unwrap_or_default();
        let Some(mut record) = seen.record else {
            return;
        };
        let client = self.store.client();
        let base = match self.settings.broken {
            Some(BrokenRule::WriteOverSeen) => {
                now(accept::read(&client, WORKSPACE)).map_or(0, |state| state.revision)
            }
            _ => seen.revision,
        };
        if let Some(service) = record.services.get_mut(operator) {
            service.slots = slots;
            let author = author(&service.name);
            self.write(accept::sign(record, base, &author), base);
        }
    }

    /// Writes a record and keeps what its author is told.
    fn write(&mut self, record: WorkspaceRecord, base: u64) {
        let pause: PauseFn = Rc::new(|_| Box::pin(async {}));
        match now(accept::write(&self.store.client(), &pause, base, &record)) {
            Ok(AcceptOutcome::Accepted { .. }) => {
                self.tally.accepted += 1;
                self.claims.push((record.token, true));
            }
            Ok(AcceptOutcome::Lost { .. }) => {
                self.tally.lost += 1;
                self.claims.push((record.token, false));
            }
            Ok(AcceptOutcome::Overtaken { .. }) => self.tally.overtaken += 1,
            Err(_) => self.tally.undecided += 1,
        }
    }

    /// Lets an agent take the records of another or of the store.
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
        self.replace(agent, replica);
    }

    /// Gives an agent other records.
    fn replace(&mut self, agent: usize, replica: RecordReplica) {
        let before = self.revision_at(agent);
        if let Some(slot) = self.replicas.get_mut(agent) {
            *slot = replica;
        }
        self.tally.agents_back += u64::from(self.revision_at(agent) < before);
    }

    /// Reads all records of the store.
    fn store_batch(&self) -> RecordBatch {
        let answer = now(self.store.client().list(SPREAD_PREFIX));
        answer.map_or_else(
            |_| RecordBatch::default(),
            |answer| RecordBatch {
                records: answer.records,
                complete_to: answer.revision,
            },
        )
    }

    /// Revision of the configuration that an agent has in force.
    fn revision_at(&self, agent: usize) -> u64 {
        let replica = self.replicas.get(agent);
        let record = replica.and_then(|replica| replica.get(&workspace_key(WORKSPACE)));
        record.map_or(0, |record| record.revision)
    }

    /// Checks the history of writes and returns all counts.
    #[must_use]
    pub fn finish(self) -> RaceCounts {
        let mut tally = self.tally;
        let mut tokens: BTreeMap<u64, u64> = BTreeMap::new();
        let mut before: Option<WorkspaceRecord> = None;
        let mut newest = 0;
        for write in self.store.writes() {
            let value = write.value.unwrap_or_default();
            let Ok(after) = serde_json::from_str::<WorkspaceRecord>(&value) else {
                continue;
            };
            newest = write.revision;
            tally.writes += 1;
            *tokens.entry(after.token).or_default() += 1;
            tally.taken_back += u64::from(takes_back(before.as_ref(), &after));
            before = Some(after);
        }
        tally.written_twice = tokens.values().map(|count| count - 1).sum();
        for (token, accepted) in &self.claims {
            tally.told_false += u64::from(tokens.contains_key(token) != *accepted);
        }
        for agent in 0..self.replicas.len() {
            tally.agents_behind += u64::from(self.revision_at(agent) != newest);
        }
        tally
    }
}

/// Whether a write changes any setting but its author's own.
fn takes_back(before: Option<&WorkspaceRecord>, after: &WorkspaceRecord) -> bool {
    let Some(before) = before else {
        return false;
    };
    let author = after.accepted.as_ref().map(|note| &*note.by);
    let own = format!("services.{}.slots", author.unwrap_or_default());
    let changes = diff::changes(Some(before), Some(after));
    changes.iter().any(|change| change.setting != own)
}
