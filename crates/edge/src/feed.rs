//! Keeps the beliefs up to date: a list of the store's records, then a watch from its revision on.
//!
//! What operators write is read by every agent, since it must be in force everywhere within seconds.
//! What agents write is read by two agents of each availability zone, and from them by the others.

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
use jy_http::pool::SendTerms;
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

use crate::beliefs::FleetBeliefs;
use crate::beliefs::OWN_PREFIX;

/// Longest wait of one watch, in milliseconds. A connection that went silent is noticed after it and the
/// time for an answer; together they stay under the time after which an instance that lost its
/// connections is bound again by a new configuration, 3 s of contact and 2 s to take it up.
const WATCH_MS: u64 = 4_000;
/// Wait of a watch that only asks for what is there, in milliseconds.
const NO_WAIT_MS: u64 = 1;
/// Wait before the next call after a failed one, in milliseconds; doubled up to the limit.
const FIRST_PAUSE_MS: u64 = 50;
/// Longest wait before the next call, in milliseconds: a store that is back is used soon.
const LONGEST_PAUSE_MS: u64 = 400;
/// Pause after news of the fleet, in milliseconds: changes that come together are read together.
const FLEET_PAUSE_MS: u64 = 100;
/// Longest wait at another agent for news, in milliseconds: how long a silent one goes unnoticed.
const RELAY_WAIT_MS: u64 = 2_000;
/// An agent answers within this time on top of the wait, in milliseconds.
const RELAY_ANSWER_MS: u64 = 300;
/// Longest wait for a connection to another agent, in milliseconds.
const RELAY_CONNECT_MS: u64 = 150;
/// Connections to another agent are reused after resting this long at most, in milliseconds.
const RELAY_REST_MS: u64 = 15_000;
/// An agent that could not be read from is left alone this long, in milliseconds.
const RELAY_AVOID_MS: u64 = 3_000;

/// Path at which agents read the fleet's records from one another.
pub const RELAY_PATH: &str = "/jy/fleet";

/// The beliefs and the news of them.
pub type BeliefCell = watch::Sender<Rc<FleetBeliefs>>;

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
}

/// Whether the store answers, as far as the feed knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FeedState {
    /// When the store answered last.
    pub heard: Millis,
    /// Since when it has not, if the last call failed.
    pub lost: Option<Millis>,
}

/// What one agent tells another of the fleet's records.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct RelayAnswer {
    /// What the asking agent lacks.
    batch: RecordBatch,
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
    pub beliefs: Rc<BeliefCell>,
    /// Whether the store answers.
    pub state: Rc<watch::Sender<FeedState>>,
    /// Cuts a pause short when the agent noticed that it lacks news.
    pub hurry: Rc<Notify>,
    /// All records as they came.
    pub replica: Rc<RefCell<RecordReplica>>,
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
            if is_listed && self.relay().await {
                continue;
            }
            let result = if is_listed {
                self.follow().await
            } else {
                self.list().await
            };
            let now = clock::now();
            match result {
                Ok(has_news) => {
                    is_listed = true;
                    pause_ms = FIRST_PAUSE_MS;
                    note_answer(&self.state, now);
                    if has_news && self.part == FeedPart::Fleet {
                        let hurry = self.hurry.notified();
                        let _is_over = timeout(Duration::from_millis(FLEET_PAUSE_MS), hurry).await;
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

    /// Reads the fleet's records from another agent of the availability zone; false if the store is to
    /// be read: by those that read it for the others, and where none of these has news.
    async fn relay(&self) -> bool {
        if self.part != FeedPart::Fleet {
            return false;
        }
        let now = clock::now();
        let readers = self.beliefs.borrow().readers(&self.zone);
        if readers.iter().any(|reader| reader.node == self.node) {
            return false;
        }
        let is_avoided = |node: &Name| {
            let avoided = self.avoided.borrow();
            avoided.get(node).is_some_and(|until| now < *until)
        };
        let Some(reader) = readers.iter().find(|reader| !is_avoided(&reader.node)) else {
            return false;
        };
        match self.ask(reader.gate).await {
            Some(answer) => {
                self.take_batch(answer.batch, false);
            }
            None => {
                log::info!("belief no news of the fleet from instance={}", reader.node);
                let until = now.plus(RELAY_AVOID_MS);
                self.avoided
                    .borrow_mut()
                    .insert(Name::clone(&reader.node), until);
            }
        }
        true
    }

    /// Asks another agent for news.
    async fn ask(&self, to: SocketAddr) -> Option<RelayAnswer> {
        let after = self.replica.borrow().complete_to();
        let target = format!("{RELAY_PATH}?after={after}");
        let request = HttpRequest::new(Method::GET, &target).with_header("host", "fleet");
        let terms = SendTerms {
            connect_ms: RELAY_CONNECT_MS,
            answer_ms: RELAY_WAIT_MS + RELAY_ANSWER_MS,
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
        if self.part == FeedPart::Fleet {
            let mut next = (**self.beliefs.borrow()).clone();
            next.listed_at = asked;
            self.beliefs.send_replace(Rc::new(next));
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
        let batch = self
            .store
            .watch(self.part.prefix(), after, WATCH_MS)
            .await?;
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
        let has_news = !changed.is_empty();
        let current = Rc::clone(&self.beliefs.borrow());
        if has_news || current.revision_of(self.part) < complete_to {
            let beliefs = (*current).clone();
            let next = beliefs.with_changes(clock::now(), self.part, &changed, complete_to);
            self.beliefs.send_replace(Rc::new(next));
        }
        has_news
    }
}

/// Answers another agent that asks for news of the fleet: at once if there are any, else after a wait;
/// none if this agent has lost the store itself.
pub async fn answer_relay(
    after: u64,
    replica: Rc<RefCell<RecordReplica>>,
    beliefs: Rc<BeliefCell>,
    state: Rc<watch::Sender<FeedState>>,
) -> Option<Vec<u8>> {
    let mut news = beliefs.subscribe();
    let wait =
        async { while replica.borrow().complete_to() <= after && news.changed().await.is_ok() {} };
    let _has_news = timeout(Duration::from_millis(RELAY_WAIT_MS), wait).await;
    if state.borrow().lost.is_some() || replica.borrow().complete_to() < after {
        return None;
    }
    let batch = replica.borrow().batch_after(after);
    match serde_json::to_vec(&RelayAnswer { batch }) {
        Ok(text) => Some(text),
        Err(error) => {
            log::error!("news of the fleet can't be written down: {error}");
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
        heard: now,
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
        heard: before.heard,
        lost: Some(now),
    });
}
