//! Keeps the agent's snapshot up to date: lists the store's records, then watches for changes from the
//! revision of that list.
//!
//! One agent of each availability zone reads the store on behalf of the others there, with a second one as
//! its substitute. The records of operators must be in force everywhere within seconds. An agent therefore
//! reads those records from another agent only if its zone has many agents, and only with a proof that the
//! store held nothing newer a moment ago.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jy_feed::replica::RecordReplica;
use jy_http::pool::ConnectionPool;
use jy_kernel::clock;
use jy_platform::operator::OPERATOR_PREFIX;
use jy_platform::store::Result;
use jy_platform::store::StoreClient;
use jy_platform::store::StoreError;
use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::record::RecordBatch;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::era::StoreEra;
use crate::snapshot::AGENT_RECORD_PREFIX;
use crate::snapshot::FleetSnapshot;

mod relay;

/// Longest wait of one watch, in milliseconds. A connection that has failed silently is detected after this
/// wait and the time-out of the answer. Their sum is less than the time within which an instance that lost
/// its connections must follow a new configuration: 3 s to regain contact and 2 s to apply it.
const WATCH_MS: u64 = 4_000;
/// Longest wait of one watch for the records of operators where agents read them from one another or where the
/// time to refuse withdrawn API keys is limited, in milliseconds. It bounds the age of the proof that there is nothing newer.
const PROOF_WATCH_MS: u64 = 500;
/// Longest wait of one watch for the records of operators in small zones if the configuration has tenants, in
/// milliseconds. A watch that ends with a change proves only that nothing was missing when it began, so a proof may be
/// as old as two waits. That must be less than `MAX_UNKNOWN_KEY_PROOF_AGE_MS`, from which on unknown keys get 503.
const TENANT_WATCH_MS: u64 = 1_000;
/// Oldest proof with which an agent accepts the records of operators from another agent, in milliseconds.
/// Together with the time until an unresponsive reader is detected, it is less than the 2 s within which
/// these records must be in force.
const MAX_PROOF_AGE_MS: u64 = 1_300;
/// Least number of agents in a zone for which they read the records of operators from one another. With fewer
/// agents, reading the store costs less than the proofs.
const MIN_RELAY_AGENTS: usize = 6;
/// Wait of a watch that only fetches the present changes, in milliseconds.
const MIN_WATCH_MS: u64 = 1;
/// Delay before the next call after a first failed one, in milliseconds; doubled with each further failure.
const MIN_RETRY_DELAY_MS: u64 = 50;
/// Longest delay before the next call, in milliseconds. It is short, so that a store that is back is used
/// soon.
const MAX_RETRY_DELAY_MS: u64 = 400;
/// Delay before the next read after changes of the fleet's records, in milliseconds, so that changes that
/// come together are read together.
const FLEET_BATCH_DELAY_MS: u64 = 100;
/// Longest wait at another agent for changes of the fleet's records, in milliseconds. It bounds the time
/// until an unresponsive agent is detected.
const FLEET_RELAY_WAIT_MS: u64 = 2_000;
/// Longest wait at another agent for changes of the records of operators, in milliseconds.
const OPERATOR_RELAY_WAIT_MS: u64 = 300;
/// Time-out of another agent's response in addition to the wait, in milliseconds.
const RELAY_RESPONSE_TIMEOUT_MS: u64 = 300;
const RELAY_CONNECT_TIMEOUT_MS: u64 = 150;
/// Longest time for which an idle connection to another agent is kept for reuse, in milliseconds.
const RELAY_MAX_IDLE_MS: u64 = 15_000;
/// Time for which an agent that failed to provide the fleet's records is not asked again, in milliseconds.
const FLEET_AVOID_MS: u64 = 3_000;
/// Time for which an agent without a fresh proof for the records of operators is not asked again, in
/// milliseconds. It is short, since the other agents of the zone read the store meanwhile.
const OPERATOR_AVOID_MS: u64 = 1_000;

/// Path at which agents read the fleet's records from one another.
pub const FLEET_PATH: &str = "/jy/fleet";
/// Path at which agents read the operators' records from one another.
pub const OPERATOR_PATH: &str = "/jy/operator";

/// Publishes the latest snapshot.
pub type SnapshotSender = watch::Sender<Rc<FleetSnapshot>>;

/// Which records a feed follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedPart {
    /// The records of operators; each change is applied at once.
    Operator,
    /// The records of agents; changes that come together are applied together.
    Fleet,
}

impl FeedPart {
    /// Key prefix of the records.
    const fn prefix(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_PREFIX,
            Self::Fleet => AGENT_RECORD_PREFIX,
        }
    }

    /// Path at which agents read the records from one another.
    const fn path(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_PATH,
            Self::Fleet => FLEET_PATH,
        }
    }

    /// Time for which an agent that failed to provide the records is not asked again, in milliseconds.
    const fn avoid_ms(self) -> u64 {
        match self {
            Self::Operator => OPERATOR_AVOID_MS,
            Self::Fleet => FLEET_AVOID_MS,
        }
    }

    /// Longest wait at another agent for changes, in milliseconds.
    const fn relay_wait_ms(self) -> u64 {
        match self {
            Self::Operator => OPERATOR_RELAY_WAIT_MS,
            Self::Fleet => FLEET_RELAY_WAIT_MS,
        }
    }
}

/// Whether the store answered the last call of the agent's feeds, which share this state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedState {
    /// When the store answered last.
    pub last_heard: Millis,
    /// When calls began to fail, if the last one did.
    pub lost: Option<Millis>,
}

/// Outcome of reading from another agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayOutcome {
    /// It answered with all changes, or that there are none.
    Fresh,
    /// It did not answer, or can't prove that it has the newest records.
    Stale,
    /// No agent was asked; the caller reads the store itself.
    UseStore,
}

/// One agent's response to another that reads records from it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RelayResponse {
    /// The records that changed since the revision in the request.
    batch: RecordBatch,
    /// Whether the batch has all records, since the request named an earlier era of the store.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    is_whole: bool,
    /// How long the request waited for changes, in milliseconds.
    waited_ms: u64,
    /// Age of the proof that there is nothing newer, in milliseconds.
    proof_age_ms: u64,
}

/// Applies the store's records of one [`FeedPart`] to the agent's snapshot.
pub struct RecordFeed {
    /// Name of the instance.
    pub node: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The platform's store.
    pub store: StoreClient,
    /// Which records the feed follows.
    pub part: FeedPart,
    /// The snapshot that the records are applied to.
    pub snapshot: Rc<SnapshotSender>,
    /// Whether the store answers.
    pub state: Rc<watch::Sender<FeedState>>,
    /// Ends the delay between two reads early when the agent finds its snapshot outdated.
    pub refresh_requested: Rc<Notify>,
    /// All records as received, before decoding.
    pub replica: Rc<RefCell<RecordReplica>>,
    /// Time up to which no change is missing, as proved by the store or by another agent.
    pub proved_until: Rc<Cell<Millis>>,
    /// Connections to other agents.
    pub pool: ConnectionPool,
    /// Whether the bounds limit the time within which a withdrawn API key must be refused, so that the proof for the
    /// records of operators must be recent also in small zones.
    pub is_revocation_bounded: bool,
    /// Agents that failed to provide the records, and until when they are not asked again.
    pub avoided: RefCell<BTreeMap<Name, Millis>>,
    /// The newest era that the store has stated to this agent.
    pub era: Rc<StoreEra>,
}

impl RecordFeed {
    /// Reads records from the store or from another agent. Never returns.
    pub async fn run(&self) {
        let mut retry_delay_ms = MIN_RETRY_DELAY_MS;
        let mut is_listed = false;
        // Whether all records were read from an agent since the store's last answer.
        let mut is_relisted = false;
        loop {
            if is_listed {
                match self.read_from_agent().await {
                    RelayOutcome::Fresh => continue,
                    // The store may have failed to deliver a change to any watch, so the records of operators
                    // are listed again instead of watched.
                    RelayOutcome::Stale => is_listed = self.part == FeedPart::Fleet,
                    RelayOutcome::UseStore => {}
                }
            }
            let result = if is_listed {
                self.follow().await
            } else {
                self.list().await
            };
            let now = clock::now();
            is_relisted &= result.is_err();
            match result {
                Ok(has_updates) => {
                    is_listed = true;
                    retry_delay_ms = MIN_RETRY_DELAY_MS;
                    record_answer(&self.state, now);
                    if has_updates && self.part == FeedPart::Fleet {
                        let refresh_requested = self.refresh_requested.notified();
                        let _is_requested = timeout(
                            Duration::from_millis(FLEET_BATCH_DELAY_MS),
                            refresh_requested,
                        )
                        .await;
                    }
                    continue;
                }
                Err(StoreError::Compacted { after }) => {
                    log::info!(
                        "belief store dropped the history after={after}; listing all records again"
                    );
                    is_listed = false;
                    record_answer(&self.state, now);
                    continue;
                }
                Err(StoreError::OtherEra { era }) => {
                    log::info!("belief store is in era {era}; listing all records again");
                    is_listed = false;
                    record_answer(&self.state, now);
                }
                Err(error) => {
                    // A watch whose connection was cut may have missed changes, so all records are listed
                    // again.
                    is_listed = false;
                    record_failure(&self.state, now, &error);
                    is_relisted |= self.read_while_cut_off(is_relisted).await;
                }
            }
            sleep(Duration::from_millis(retry_delay_ms)).await;
            retry_delay_ms = (retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
        }
    }

    /// Returns the revision up to which the replica is complete.
    fn revision(&self) -> u64 {
        self.replica.borrow().complete_to()
    }

    /// Longest wait of a watch on the store, in milliseconds.
    fn watch_ms(&self) -> u64 {
        if self.part == FeedPart::Fleet {
            return WATCH_MS;
        }
        let snapshot = self.snapshot.borrow();
        let is_relayed = snapshot.agents_in_zone(&self.zone) >= MIN_RELAY_AGENTS;
        let routes = snapshot.routes.as_ref();
        if is_relayed || self.is_revocation_bounded {
            PROOF_WATCH_MS
        } else if routes.is_some_and(|routes| routes.tenants.is_some()) {
            TENANT_WATCH_MS
        } else {
            WATCH_MS
        }
    }

    /// Applies the changes that the store has now, without waiting for further ones.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store can't be read.
    pub async fn catch_up(&self) -> Result<()> {
        let after = self.replica.borrow().complete_to();
        let batch = self.store.watch(self.part.prefix(), after, MIN_WATCH_MS);
        let batch = self.check_era(batch.await?)?;
        self.apply_batch(batch, false);
        Ok(())
    }

    /// Returns a batch of changes if it is of the era of the replica.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::OtherEra`] otherwise.
    fn check_era(&self, batch: RecordBatch) -> Result<RecordBatch> {
        if batch.era == self.replica.borrow().era() {
            Ok(batch)
        } else {
            Err(StoreError::OtherEra { era: batch.era })
        }
    }

    /// Applies a record that this agent has written in an era of the store.
    pub fn apply_written(&self, record: Record, era: u64) {
        let batch = RecordBatch {
            records: vec![record],
            complete_to: 0,
            era,
        };
        self.apply_batch(batch, false);
    }

    /// Reads one record from the store, after a write that conflicted with another agent's.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store can't be read.
    pub async fn refresh(&self, key: &str) -> Result<()> {
        let list = self.store.list(key).await?;
        let batch = RecordBatch {
            complete_to: 0,
            ..self.check_era(list)?
        };
        self.apply_batch(batch, false);
        Ok(())
    }

    /// Reads all records from the store. Always returns true, since any of them may have changed.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store can't be read.
    async fn list(&self) -> Result<bool> {
        let sent_at = clock::now();
        let list = self.store.list(self.part.prefix()).await?;
        // An answer of an earlier era may arrive after one of a later era.
        if list.era < self.replica.borrow().era() {
            return Err(StoreError::OtherEra { era: list.era });
        }
        self.apply_batch(list, true);
        self.proved_until.set(sent_at);
        if self.part == FeedPart::Fleet {
            let mut next = (**self.snapshot.borrow()).clone();
            next.listed_at = sent_at;
            self.snapshot.send_replace(Rc::new(next));
        }
        Ok(true)
    }

    /// Waits once for changes in the store. Returns true if there were any.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the store can't be read, or if it has dropped the history since the
    /// replica's revision.
    async fn follow(&self) -> Result<bool> {
        let (after, own_era) = {
            let replica = self.replica.borrow();
            (replica.complete_to(), replica.era())
        };
        let sent_at = clock::now();
        let wait_ms = self.watch_ms();
        let batch = tokio::select! {
            batch = self.store.watch(self.part.prefix(), after, wait_ms) => self.check_era(batch?)?,
            () = self.era.wait_for_later(own_era) => {
                return Err(StoreError::OtherEra { era: self.era.newest() });
            }
        };
        // The store answers a watch without changes when its wait is over, so nothing changed until then. It
        // answers a watch with changes at an unknown time after the request.
        let is_idle = batch.records.is_empty();
        let proved_until = sent_at.plus(if is_idle { wait_ms } else { 0 });
        self.proved_until.set(proved_until.min(clock::now()));
        Ok(self.apply_batch(batch, false))
    }

    /// Applies a batch of records to the replica and to the snapshot. Returns true if any record is new.
    fn apply_batch(&self, batch: RecordBatch, is_list: bool) -> bool {
        let replica = self.replica.take();
        let (replica, changed) = if is_list {
            replica.with_list(batch)
        } else {
            replica.with_batch(batch)
        };
        let (complete_to, era) = (replica.complete_to(), replica.era());
        self.replica.replace(replica);
        let has_updates = !changed.is_empty();
        let current = Rc::clone(&self.snapshot.borrow());
        let is_new_era = current.era_of(self.part) < era;
        if has_updates || is_new_era || current.revision_of(self.part) < complete_to {
            let now = clock::now();
            let snapshot = (*current).clone().with_era(now, self.part, era);
            let next = snapshot.with_changes(now, self.part, &changed, complete_to);
            self.snapshot.send_replace(Rc::new(next));
        }
        has_updates
    }
}

/// The records of one part that an agent provides to others, with their state.
#[derive(Clone)]
pub struct RelayedRecords {
    /// Which records.
    pub part: FeedPart,
    /// The records.
    pub replica: Rc<RefCell<RecordReplica>>,
    /// Time up to which no change is missing.
    pub proved_until: Rc<Cell<Millis>>,
    /// The snapshot, whose updates end the wait for changes.
    pub snapshot: Rc<SnapshotSender>,
    /// Whether the store answers.
    pub state: Rc<watch::Sender<FeedState>>,
}

/// Returns the revision and the era, if any, that another agent's request for records states.
#[must_use]
pub fn relay_query(target: &str) -> (u64, Option<u64>) {
    let query = target.split_once('?').map_or("", |(_, query)| query);
    let number = |name: &str| {
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        let found = fields.find(|(field, _)| *field == name);
        found.and_then(|(_, text)| text.parse().ok())
    };
    (number("after").unwrap_or_default(), number("era"))
}

/// Answers another agent that reads records from this one: at once if there are changes since the revision
/// `after` of the store's era `era`, else when there are or when the wait is over. An agent of an earlier era gets all
/// records. Returns `None` if this agent has itself lost the store, or if its records are older than `after`.
///
/// Agents of earlier versions state no era; they are taken to be of the era of this agent.
pub async fn answer_relay(
    after: u64,
    era: Option<u64>,
    records: RelayedRecords,
) -> Option<Vec<u8>> {
    let received_at = clock::now();
    let RelayedRecords {
        part,
        replica,
        proved_until,
        snapshot,
        state,
    } = records;
    let asked_era = era.unwrap_or_else(|| replica.borrow().era());
    let mut updates = snapshot.subscribe();
    let has_news = || {
        let replica = replica.borrow();
        replica.era() != asked_era || replica.complete_to() > after
    };
    let wait = async { while !has_news() && updates.changed().await.is_ok() {} };
    let _has_updates = timeout(Duration::from_millis(part.relay_wait_ms()), wait).await;
    let own_era = replica.borrow().era();
    let is_whole = own_era > asked_era && era.is_some();
    let is_behind = own_era != asked_era || replica.borrow().complete_to() < after;
    if state.borrow().lost.is_some() || (is_behind && !is_whole) {
        return None;
    }
    let now = clock::now();
    let response = RelayResponse {
        batch: replica
            .borrow()
            .batch_after(if is_whole { 0 } else { after }),
        is_whole,
        waited_ms: now.since(received_at),
        proof_age_ms: now.since(proved_until.get()),
    };
    match serde_json::to_vec(&response) {
        Ok(text) => Some(text),
        Err(error) => {
            log::error!("failed to encode records for another agent: {error}");
            None
        }
    }
}

/// Records that the store answered.
fn record_answer(state: &watch::Sender<FeedState>, now: Millis) {
    let lost = state.borrow().lost;
    if let Some(lost) = lost {
        log::info!("dependency store regained after_ms={}", now.since(lost));
    }
    state.send_replace(FeedState {
        last_heard: now,
        lost: None,
    });
}

/// Records that the store did not answer.
fn record_failure(state: &watch::Sender<FeedState>, now: Millis, error: &StoreError) {
    let before = *state.borrow();
    if before.lost.is_some() {
        return;
    }
    log::warn!("dependency store lost: {error}");
    state.send_replace(FeedState {
        last_heard: before.last_heard,
        lost: Some(now),
    });
}
