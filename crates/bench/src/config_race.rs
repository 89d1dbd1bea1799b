//! Operators who race each other, answers that get lost, and agents that hear late: does an
//! accepted configuration ever revert?
//!
//! Each operator owns one setting and only ever changes that one, so any write that changes another
//! operator's setting takes an accepted change back.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::rc::Rc;

use anyhow::Context;
use anyhow::Result;
use futures_util::FutureExt;
use jy_ctl::accept;
use jy_ctl::accept::AcceptEnd;
use jy_ctl::accept::AcceptedState;
use jy_ctl::accept::ChangeAuthor;
use jy_ctl::accept::PauseFn;
use jy_ctl::diff;
use jy_feed::replica::RecordReplica;
use jy_testutils::fake_store::FakeStore;
use jy_testutils::fake_store::StoreFault;
use jy_testutils::seeds;
use jy_types::name::Name;
use jy_types::record::RecordBatch;
use jy_types::record::SPREAD_PREFIX;
use jy_types::record::workspace_key;
use jy_types::workspace::WorkspaceRecord;
use rand::Rng;
use rand::rngs::StdRng;

use crate::args;
use crate::plan;
use crate::report::FigureRow;
use crate::report::FigureTable;

/// Operators, one setting each.
const OPERATORS: usize = 6;
/// Agents that hear of the configuration.
const AGENTS: usize = 5;
/// Steps of a round.
const STEPS: usize = 120;
/// Default number of rounds.
const ROUNDS: u32 = 1_000;
/// Faults that a write may meet; the rest meet none.
const FAULTS: [Option<StoreFault>; 6] = [
    Some(StoreFault::LostCall),
    Some(StoreFault::LostAnswer),
    Some(StoreFault::LateCall),
    None,
    None,
    None,
];

/// How operators write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WritePolicy {
    /// Over the revision that they saw.
    SeenRevision,
    /// Over whatever stands: the baseline.
    LastWriterWins,
}

/// What was counted over all rounds.
#[derive(Clone, Debug, Default)]
struct RaceTally {
    writes: u64,
    accepted: u64,
    lost: u64,
    overtaken: u64,
    undecided: u64,
    reversions: u64,
    double_writes: u64,
    false_claims: u64,
    agent_reversions: u64,
    agents_behind: u64,
}

/// One round: a store, its operators and the agents.
struct RaceRound {
    random: StdRng,
    store: FakeStore,
    policy: WritePolicy,
    seen: Vec<Option<AcceptedState>>,
    claims: Vec<(u64, bool)>,
    replicas: Vec<RecordReplica>,
    next_value: u32,
}

/// Runs `jybench config-race`.
///
/// # Errors
///
/// If an argument is not understood or the store's stand-in fails.
pub fn run(arguments: &[String]) -> Result<FigureTable> {
    let args = args::parse(arguments, ROUNDS)?;
    let ours = tally(args.seed, args.rounds, WritePolicy::SeenRevision)?;
    let baseline = tally(args.seed, args.rounds, WritePolicy::LastWriterWins)?;
    let title = format!("config-race, seed {}, {} rounds", args.seed, args.rounds);
    Ok(table(title, args.out, &ours, &baseline))
}

/// Writes the figures.
fn table(
    title: String,
    out: Option<PathBuf>,
    ours: &RaceTally,
    baseline: &RaceTally,
) -> FigureTable {
    let mut table = FigureTable::new(title, out);
    let mut plain = |name: &str, value: u64| table.rows.push(row(name, value));
    plain("writes that took effect", ours.writes);
    plain("operators told accepted", ours.accepted);
    plain("operators told that another came first", ours.lost);
    plain("operators told that several came since", ours.overtaken);
    plain(
        "operators told that the change may take effect",
        ours.undecided,
    );
    plain("baseline: writes that took effect", baseline.writes);
    plain("baseline: accepted changes taken back", baseline.reversions);
    let mut none = |name: &str, value: u64| table.rows.push(row(name, value).with_at_most(0.0));
    none("accepted changes taken back", ours.reversions);
    none("writes that took effect twice", ours.double_writes);
    none("operators told something false", ours.false_claims);
    none(
        "agents that went back to an older configuration",
        ours.agent_reversions,
    );
    none("agents without the newest at the end", ours.agents_behind);
    table
}

/// Makes one row.
#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^53")]
fn row(name: &str, value: u64) -> FigureRow {
    FigureRow::new(name, value as f64, "count")
}

/// Runs all rounds under one policy.
///
/// # Errors
///
/// If the store's stand-in fails.
fn tally(seed: u64, rounds: u32, policy: WritePolicy) -> Result<RaceTally> {
    let mut tally = RaceTally::default();
    for round in 0..rounds {
        let mut race = RaceRound::new(seed.wrapping_add(u64::from(round)), policy)?;
        for _ in 0..STEPS {
            race.step(&mut tally)?;
        }
        race.finish(&mut tally)?;
    }
    Ok(tally)
}

/// Runs a future that the store in memory answers at once.
///
/// # Errors
///
/// If it has to wait.
fn now<T>(future: impl Future<Output = T>) -> Result<T> {
    future
        .now_or_never()
        .context("the store in memory must answer at once")
}

/// Does not wait.
fn pause() -> PauseFn {
    Rc::new(|_| Box::pin(async {}))
}

/// Names an operator's setting.
fn setting(operator: usize) -> String {
    let service = ["verifier", "registry", "catalogue"][operator % 3];
    let field = ["slots", "connections"][operator / 3];
    format!("services.{service}.{field}")
}

/// Changes an operator's own setting.
fn change(record: &mut WorkspaceRecord, operator: usize, value: u32) {
    let service = &mut record.services[operator % 3];
    let field = match operator / 3 {
        0 => &mut service.slots,
        _ => &mut service.connections,
    };
    *field = value;
}

impl RaceRound {
    /// Starts with an accepted workspace.
    ///
    /// # Errors
    ///
    /// If the store's stand-in fails.
    fn new(seed: u64, policy: WritePolicy) -> Result<Self> {
        let store = FakeStore::new();
        let author = ChangeAuthor {
            name: "first".into(),
            note: None,
        };
        let record = accept::sign(plan::seal_record(), 0, &author);
        now(accept::write(&store.client(), &pause(), 0, &record))??;
        Ok(Self {
            random: seeds::rng(seed),
            store,
            policy,
            seen: vec![None; OPERATORS],
            claims: Vec::new(),
            replicas: vec![RecordReplica::new(); AGENTS],
            next_value: 1_000,
        })
    }

    /// Lets one operator or one agent do one thing.
    ///
    /// # Errors
    ///
    /// If the store's stand-in fails.
    fn step(&mut self, tally: &mut RaceTally) -> Result<()> {
        if self.random.random_bool(0.5) {
            let operator = self.random.random_range(0..OPERATORS);
            match self.seen[operator].take() {
                None => {
                    let client = self.store.client();
                    self.seen[operator] = Some(now(accept::read(&client, plan::SEALS))??);
                    Ok(())
                }
                Some(seen) => self.write(operator, &seen, tally),
            }
        } else {
            self.spread(tally)
        }
    }

    /// Writes an operator's change of what it saw.
    ///
    /// # Errors
    ///
    /// If the store's stand-in fails.
    fn write(
        &mut self,
        operator: usize,
        seen: &AcceptedState,
        tally: &mut RaceTally,
    ) -> Result<()> {
        let client = self.store.client();
        let base = match self.policy {
            WritePolicy::SeenRevision => seen.revision,
            WritePolicy::LastWriterWins => now(accept::read(&client, plan::SEALS))??.revision,
        };
        let author = ChangeAuthor {
            name: setting(operator).into(),
            note: None,
        };
        let record = seen.record.clone().context("the workspace is there")?;
        let mut record = accept::sign(record, base, &author);
        change(&mut record, operator, self.next_value);
        self.next_value += 1;
        let faults = (0..3).filter_map(|_| FAULTS[self.random.random_range(0..FAULTS.len())]);
        let faults: Vec<_> = faults.collect();
        self.store.fail_writes(&faults);
        let end = now(accept::write(&client, &pause(), base, &record))?;
        self.store.fail_writes(&[]);
        match end {
            Ok(AcceptEnd::Accepted { .. }) => {
                tally.accepted += 1;
                self.claims.push((record.token, true));
            }
            Ok(AcceptEnd::Lost { .. }) => {
                tally.lost += 1;
                self.claims.push((record.token, false));
            }
            Ok(AcceptEnd::Overtaken { .. }) => tally.overtaken += 1,
            Err(_) => tally.undecided += 1,
        }
        Ok(())
    }

    /// Lets one agent hear: from the store, from another agent, or by a restart from the store.
    ///
    /// # Errors
    ///
    /// If the store's stand-in fails.
    fn spread(&mut self, tally: &mut RaceTally) -> Result<()> {
        let agent = self.random.random_range(0..AGENTS);
        let peer = self.random.random_range(0..AGENTS);
        let before = self.revision_at(agent);
        let replica = self.replicas[agent].clone();
        let batch = match self.random.random_range(0..4) {
            0 => self.store_batch()?,
            _ => self.replicas[peer].batch_after(replica.complete_to()),
        };
        (self.replicas[agent], _) = replica.with_batch(batch);
        tally.agent_reversions += u64::from(self.revision_at(agent) < before);
        if self.random.random_bool(0.02) {
            (self.replicas[agent], _) = RecordReplica::new().with_batch(self.store_batch()?);
            tally.agent_reversions += u64::from(self.revision_at(agent) < before);
        }
        Ok(())
    }

    /// Reads all records of the store.
    ///
    /// # Errors
    ///
    /// If the store's stand-in fails.
    fn store_batch(&self) -> Result<RecordBatch> {
        let answer = now(self.store.client().list(SPREAD_PREFIX))??;
        Ok(RecordBatch {
            records: answer.records,
            complete_to: answer.revision,
        })
    }

    /// Revision of the configuration that an agent has in force.
    fn revision_at(&self, agent: usize) -> u64 {
        let record = self.replicas[agent].get(&workspace_key(plan::SEALS));
        record.map_or(0, |record| record.revision)
    }

    /// Checks the history of writes and lets every agent hear the newest.
    ///
    /// # Errors
    ///
    /// If a stored record is not understood.
    fn finish(mut self, tally: &mut RaceTally) -> Result<()> {
        let batch = self.store_batch()?;
        for replica in &mut self.replicas {
            let old = std::mem::take(replica);
            (*replica, _) = old.with_batch(batch.clone());
        }
        let writes = self.store.writes();
        let newest = writes.last().map_or(0, |write| write.revision);
        let behind = (0..AGENTS).filter(|agent| self.revision_at(*agent) != newest);
        tally.agents_behind += u64::try_from(behind.count())?;
        let mut tokens: BTreeMap<u64, u64> = BTreeMap::new();
        let mut before: Option<WorkspaceRecord> = None;
        for write in writes {
            let text = write.value.context("nobody deletes the workspace")?;
            let after: WorkspaceRecord = serde_json::from_str(&text)?;
            tally.writes += 1;
            *tokens.entry(after.token).or_default() += 1;
            tally.reversions += u64::from(takes_back(before.as_ref(), &after));
            before = Some(after);
        }
        tally.double_writes += tokens
            .values()
            .filter(|count| **count > 1)
            .map(|count| count - 1)
            .sum::<u64>();
        let is_false = |(token, accepted): &&(u64, bool)| tokens.contains_key(token) != *accepted;
        tally.false_claims += u64::try_from(self.claims.iter().filter(is_false).count())?;
        Ok(())
    }
}

/// Whether a write changes any setting but its author's own.
fn takes_back(before: Option<&WorkspaceRecord>, after: &WorkspaceRecord) -> bool {
    let Some(before) = before else {
        return false;
    };
    let own = after.accepted.as_ref().map(|note| Name::clone(&note.by));
    diff::changes(Some(before), Some(after))
        .iter()
        .any(|change| Some(&*change.setting) != own.as_deref())
}
