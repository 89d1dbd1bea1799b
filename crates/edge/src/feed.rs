//! Keeps the beliefs up to date: a list of the store's records, then a watch from its revision on.
//!
//! One agent of each availability zone reads the store for the others there, a second one takes its place.
//! What operators write must be in force everywhere within seconds. So an agent takes it from another only
//! where there are many in its zone, and only with a proof that nothing newer was there a moment ago.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use jy_feed::replica::RecordReplica;
use jy_http::message::HttpRequest;
use jy_http::pool::ConnectionPool;
use jy_http::pool::SendOptions;
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

use crate::snapshot::FleetSnapshot;
use crate::snapshot::OWN_PREFIX;

/// Longest wait of one watch, in milliseconds. A connection that went silent is noticed after it and the
/// time for an answer; together they stay under the time after which an instance that lost its
/// connections is bound again by a new configuration, 3 s of contact and 2 s to take it up.
const WATCH_MS: u64 = 4_000;
/// Wait of a watch on what operators wrote by an agent that reads it for others, in milliseconds: how old its
/// proof that there is nothing newer becomes.
const PROOF_WATCH_MS: u64 = 500;
/// Oldest proof with which an agent relies on another for what operators wrote, in milliseconds. With the
/// time until a silent reader is noticed it stays under the 2 s within which that must be in force.
const PROOF_AGE_MS: u64 = 1_300;
/// An agent reads what operators wrote from another if there are at least this many in its zone: the reads
/// of fewer cost less than the proofs.
const LEAST_RELAYED: usize = 6;
/// Wait of a watch that only asks for what is there, in milliseconds.
const NO_WAIT_MS: u64 = 1;
/// Wait before the next call after a failed one, in milliseconds; doubled up to the limit.
const FIRST_PAUSE_MS: u64 = 50;
/// Longest wait before the next call, in milliseconds: a store that is back is used soon.
const LONGEST_PAUSE_MS: u64 = 400;
/// Pause after news of the fleet, in milliseconds: changes that come together are read together.
const FLEET_PAUSE_MS: u64 = 100;
/// Longest wait at another agent for news of the fleet, in milliseconds: how long a silent one goes unnoticed.
const FLEET_WAIT_MS: u64 = 2_000;
/// Longest wait at another agent for what operators wrote, in milliseconds.
const OPERATOR_WAIT_MS: u64 = 300;
/// An agent answers within this time on top of the wait, in milliseconds.
const RELAY_ANSWER_MS: u64 = 300;
/// Longest wait for a connection to another agent, in milliseconds.
const RELAY_CONNECT_MS: u64 = 150;
/// Connections to another agent are reused after resting this long at most, in milliseconds.
const RELAY_REST_MS: u64 = 15_000;
/// An agent that had no news of the fleet is left alone this long, in milliseconds.
const FLEET_AVOID_MS: u64 = 3_000;
/// An agent that had no fresh proof for what operators wrote is left alone this long, in milliseconds: all
/// others of its zone read the store meanwhile.
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
    /// What operators wrote; each change is taken up at once.
    Operator,
    /// What the agents wrote; changes that come together are taken up together.
    Fleet,
}

impl FeedPart {
    /// Prefix of the records.
    const fn prefix(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_PREFIX,
            Self::Fleet => OWN_PREFIX,
        }
    }

    /// Path at which agents read the records from one another.
    const fn path(self) -> &'static str {
        match self {
            Self::Operator => OPERATOR_PATH,
            Self::Fleet => FLEET_PATH,
        }
    }

    /// How long an agent without news is left alone, in milliseconds.
    const fn avoid_ms(self) -> u64 {
        match self {
            Self::Operator => OPERATOR_AVOID_MS,
            Self::Fleet => FLEET_AVOID_MS,
        }
    }

    /// Longest wait at another agent, in milliseconds.
    const fn relay_wait_ms(self) -> u64 {
        match self {
            Self::Operator => OPERATOR_WAIT_MS,
            Self::Fleet => FLEET_WAIT_MS,
        }
    }
}

/// Whether the store answers, as far as the feed knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedState {
    /// When the store answered last.
    pub last_heard: Millis,
    /// Since when it has not, if the last call failed.
    pub lost: Option<Millis>,
}

/// How reading from another agent ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RelayOutcome {
    /// It told its news, or that there are none.
    Taken,
    /// It did not answer, or can't prove that its news are the newest.
    Stale,
    /// The store is to be read.
    Unused,
}

/// What one agent tells another of the fleet's records.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RelayAnswer {
    /// What the asking agent lacks.
    batch: RecordBatch,
    /// How long it was kept waiting, in milliseconds.
    waited_ms: u64,
    /// Age of the proof that there is nothing newer, in milliseconds.
    proof_age_ms: u64,
}

/// One feed's store, beliefs and state.
pub struct RecordFeed {
    /// Name of the instance.
    pub node: Name,
    /// Its availability zone.
    pub zone: Name,
    /// The platform's store.
    pub store: StoreClient,
    /// Which records it follows.
    pub part: FeedPart,
    /// Where it takes them in.
    pub snapshot: Rc<SnapshotSender>,
    /// Whether the store answers.
    pub state: Rc<watch::Sender<FeedState>>,
    /// Cuts a pause short when the agent noticed that it lacks news.
    pub refresh_requested: Rc<Notify>,
    /// All records as they came.
    pub replica: Rc<RefCell<RecordReplica>>,
    /// Point up to which nothing is missing: the store or another agent has said so.
    pub proved: Rc<Cell<Millis>>,
    /// Connections to other agents.
    pub pool: ConnectionPool,
    /// Agents that could not be read from, and until when they are left alone.
    pub avoided: RefCell<BTreeMap<Name, Millis>>,
}

impl RecordFeed {
    /// Reads for ever.
    pub async fn run(&self) {
        let mut pause_ms = FIRST_PAUSE_MS;
        let mut is_listed = false;
        loop {
            if is_listed {
                match self.relay().await {
                    RelayOutcome::Taken => continue,
                    // A watch may wait for news that the store told it to nobody, so all is read again.
                    RelayOutcome::Stale => is_listed = self.part == FeedPart::Fleet,
                    RelayOutcome::Unused => {}
                }
            }
            let result = if is_listed {
                self.follow().await
            } else {
                self.list().await
            };
            let now = clock::now();
            match result {
                Ok(has_updates) => {
                    is_listed = true;
                    pause_ms = FIRST_PAUSE_MS;
                    note_answer(&self.state, now);
                    if has_updates && self.part == FeedPart::Fleet {
                        let refresh_requested = self.refresh_requested.notified();
                        let _is_over =
                            timeout(Duration::from_millis(FLEET_PAUSE_MS), refresh_requested).await;
                    }
                    continue;
                }
                Err(StoreError::Compacted { after }) => {
                    log::info!("belief store history dropped after={after}; listing again");
                    is_listed = false;
                    note_answer(&self.state, now);
                    continue;
                }
                Err(error) => {
                    // A watch that was cut may have missed changes without a word, so all is read again.
                    is_listed = false;
                    note_failure(&self.state, now, &error);
                }
            }
            sleep(Duration::from_millis(pause_ms)).await;
            pause_ms = (pause_ms * 2).min(LONGEST_PAUSE_MS);
        }
    }

    /// Reads the records from another agent of the availability zone, if there is one that reads the store for
    /// the others and has news.
    async fn relay(&self) -> RelayOutcome {
        let now = clock::now();
        let (readers, is_small) = {
            let snapshot = self.snapshot.borrow();
            let is_small = snapshot.in_zone(&self.zone) < LEAST_RELAYED;
            (snapshot.readers(&self.zone), is_small)
        };
        if self.part == FeedPart::Operator && is_small {
            return RelayOutcome::Unused;
        }
        let is_avoided = |node: &Name| {
            let avoided = self.avoided.borrow();
            avoided.get(node).is_some_and(|until| now < *until)
        };
        let first = readers.iter().find(|reader| !is_avoided(&reader.node));
        let Some(reader) = first.filter(|reader| reader.node != self.node) else {
            return RelayOutcome::Unused;
        };
        let is_fresh = match self.ask(reader.gate).await {
            Some(answer) => {
                let proved = now.plus(answer.waited_ms).minus(answer.proof_age_ms);
                self.take_batch(answer.batch, false);
                self.proved.set(proved.max(self.proved.get()));
                let age_ms = clock::now().since(self.proved.get());
                self.part == FeedPart::Fleet || age_ms <= PROOF_AGE_MS
            }
            None => false,
        };
        if is_fresh {
            return RelayOutcome::Taken;
        }
        let now = clock::now();
        log::info!(
            "belief no fresh news of {} from instance={} proof_age_ms={}",
            self.part.prefix(),
            reader.node,
            now.since(self.proved.get())
        );
        let until = now.plus(self.part.avoid_ms());
        let mut avoided = self.avoided.borrow_mut();
        avoided.insert(Name::clone(&reader.node), until);
        RelayOutcome::Stale
    }

    /// Longest wait of a watch, in milliseconds.
    fn watch_ms(&self) -> u64 {
        let is_relayed = self.snapshot.borrow().in_zone(&self.zone) >= LEAST_RELAYED;
        if self.part == FeedPart::Operator && is_relayed {
            PROOF_WATCH_MS
        } else {
            WATCH_MS
        }
    }

    /// Asks another agent for news.
    async fn ask(&self, to: SocketAddr) -> Option<RelayAnswer> {
        let after = self.replica.borrow().complete_to();
        let target = format!("{}?after={after}", self.part.path());
        let request = HttpRequest::new(Method::GET, &target).with_header("host", "fleet");
        let terms = SendOptions {
            connect_ms: RELAY_CONNECT_MS,
            answer_ms: self.part.relay_wait_ms() + RELAY_ANSWER_MS,
            rest_ms: RELAY_REST_MS,
        };
        let answer = match self.pool.send(to, &request, None, terms).await {
            Ok(answer) if answer.status == StatusCode::OK => answer,
            Ok(answer) => {
                log::debug!("{to} has no news: status {}", answer.status);
                return None;
            }
            Err(error) => {
                self.pool.forget(to);
                log::debug!("{error}");
                return None;
            }
        };
        match serde_json::from_slice(&answer.body) {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::warn!("news from {to} are not understood: {error}");
                None
            }
        }
    }

    /// Takes in what the store has now, without waiting for changes to come.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn catch_up(&self) -> Result<()> {
        let after = self.replica.borrow().complete_to();
        let batch = self.store.watch(self.part.prefix(), after, NO_WAIT_MS);
        self.take_batch(batch.await?, false);
        Ok(())
    }

    /// Takes in a record that this agent has written.
    pub fn take_written(&self, record: Record) {
        let batch = RecordBatch {
            records: vec![record],
            complete_to: 0,
        };
        self.take_batch(batch, false);
    }

    /// Reads one record from the store, because another agent's write came before an own one.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    pub async fn refresh(&self, key: &str) -> Result<()> {
        let list = self.store.list(key).await?;
        let batch = RecordBatch {
            complete_to: 0,
            ..list
        };
        self.take_batch(batch, false);
        Ok(())
    }

    /// Reads all records from the store; true, since all may be news.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    async fn list(&self) -> Result<bool> {
        let asked = clock::now();
        let list = self.store.list(self.part.prefix()).await?;
        self.take_batch(list, true);
        self.proved.set(asked);
        if self.part == FeedPart::Fleet {
            let mut next = (**self.snapshot.borrow()).clone();
            next.listed_at = asked;
            self.snapshot.send_replace(Rc::new(next));
        }
        Ok(true)
    }

    /// Waits for changes in the store once; true if there were any.
    ///
    /// # Errors
    ///
    /// [`StoreError`].
    async fn follow(&self) -> Result<bool> {
        let after = self.replica.borrow().complete_to();
        let asked = clock::now();
        let wait_ms = self.watch_ms();
        let batch = self.store.watch(self.part.prefix(), after, wait_ms).await?;
        // The store answers a watch without changes when its wait is over, and any other at some point after
        // it was asked.
        let is_idle = batch.records.is_empty();
        let proved = asked.plus(if is_idle { wait_ms } else { 0 });
        self.proved.set(proved.min(clock::now()));
        Ok(self.take_batch(batch, false))
    }

    /// Takes records in; true if some are new.
    fn take_batch(&self, batch: RecordBatch, is_list: bool) -> bool {
        let replica = self.replica.take();
        let (replica, changed) = if is_list {
            replica.with_list(batch)
        } else {
            replica.with_batch(batch)
        };
        let complete_to = replica.complete_to();
        self.replica.replace(replica);
        let has_updates = !changed.is_empty();
        let current = Rc::clone(&self.snapshot.borrow());
        if has_updates || current.revision_of(self.part) < complete_to {
            let snapshot = (*current).clone();
            let next = snapshot.with_changes(clock::now(), self.part, &changed, complete_to);
            self.snapshot.send_replace(Rc::new(next));
        }
        has_updates
    }
}

/// Records that one agent tells others, with what belongs to them.
#[derive(Clone)]
pub struct RelaySource {
    /// Which records.
    pub part: FeedPart,
    /// The records.
    pub replica: Rc<RefCell<RecordReplica>>,
    /// Point up to which nothing is missing.
    pub proved: Rc<Cell<Millis>>,
    /// Tells of news.
    pub snapshot: Rc<SnapshotSender>,
    /// Whether the store answers.
    pub state: Rc<watch::Sender<FeedState>>,
}

/// Answers another agent that asks for news: at once if there are any, else after a wait; none if this agent
/// has lost the store itself.
pub async fn answer_relay(after: u64, source: RelaySource) -> Option<Vec<u8>> {
    let asked = clock::now();
    let RelaySource {
        part,
        replica,
        proved,
        snapshot,
        state,
    } = source;
    let mut news = snapshot.subscribe();
    let wait =
        async { while replica.borrow().complete_to() <= after && news.changed().await.is_ok() {} };
    let _has_news = timeout(Duration::from_millis(part.relay_wait_ms()), wait).await;
    if state.borrow().lost.is_some() || replica.borrow().complete_to() < after {
        return None;
    }
    let now = clock::now();
    let answer = RelayAnswer {
        batch: replica.borrow().batch_after(after),
        waited_ms: now.since(asked),
        proof_age_ms: now.since(proved.get()),
    };
    match serde_json::to_vec(&answer) {
        Ok(text) => Some(text),
        Err(error) => {
            log::error!("news can't be written down: {error}");
            None
        }
    }
}

/// Notes that the store answered.
fn note_answer(state: &watch::Sender<FeedState>, now: Millis) {
    let lost = state.borrow().lost;
    if let Some(lost) = lost {
        log::info!("dependency store regained after_ms={}", now.since(lost));
    }
    state.send_replace(FeedState {
        last_heard: now,
        lost: None,
    });
}

/// Notes that the store did not answer.
fn note_failure(state: &watch::Sender<FeedState>, now: Millis, error: &StoreError) {
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
