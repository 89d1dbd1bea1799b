//! The agent's replica of the store's records, read from the store itself or pulled from other agents.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jy_feed::replica::RecordReplica;
use jy_feed::view::FleetView;
use jy_kernel::state::StateCell;
use jy_store::client::StoreClient;
use jy_store::client::StoreError;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::record::RecordBatch;
use jy_types::record::SPREAD_PREFIX;
use tokio::time::sleep;

/// Name of this service.
pub const SERVICE: &str = "feed";

/// Number of live agents of each availability zone that read the store.
const WATCHERS_PER_ZONE: usize = 2;

const WATCH_TIMEOUT_MS: u64 = 10_000;

/// Delay after a failed call to the store, in milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// Interval at which an agent that does not read the store checks whether it has to, in milliseconds.
const ROLE_CHECK_INTERVAL_MS: u64 = 250;

/// HTTP status with which the store refuses a watch after a revision whose later deletions it has discarded.
const HTTP_GONE: u16 = 410;

/// Called with the new view and the records that changed.
pub type ChangeListener = Rc<dyn Fn(&Arc<FleetView>, &RecordBatch)>;

/// The agent's replica of the records and the view decoded from it.
pub struct FeedService {
    replica: StateCell<RecordReplica>,
    view: RefCell<Arc<FleetView>>,
    listeners: RefCell<Vec<ChangeListener>>,
    store_reachable: Cell<Option<bool>>,
    watching: Cell<bool>,
}

impl FeedService {
    /// Creates an empty replica.
    #[must_use]
    pub fn new() -> Self {
        Self {
            replica: StateCell::new(RecordReplica::new()),
            view: RefCell::new(Arc::new(FleetView::new())),
            listeners: RefCell::default(),
            store_reachable: Cell::new(None),
            watching: Cell::new(false),
        }
    }

    /// Adds a listener for changes of the records.
    pub fn add_listener(&self, listener: ChangeListener) {
        self.listeners.borrow_mut().push(listener);
    }

    /// Returns the newest view.
    #[must_use]
    pub fn view(&self) -> Arc<FleetView> {
        Arc::clone(&self.view.borrow())
    }

    /// Returns the revision up to which the replica is complete.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.replica.read(RecordReplica::complete_to)
    }

    /// Returns whether the last call to the store succeeded, or `None` before the first call.
    #[must_use]
    pub const fn store_reachable(&self) -> Option<bool> {
        self.store_reachable.get()
    }

    /// Returns whether this agent reads the store itself.
    #[must_use]
    pub const fn is_watching(&self) -> bool {
        self.watching.get()
    }

    /// Returns the records that a replica complete up to `after` lacks.
    #[must_use]
    pub fn batch_after(&self, after: u64) -> RecordBatch {
        self.replica.read(|replica| replica.batch_after(after))
    }

    /// Applies a batch and notifies the listeners of the records that changed. Ignores a batch that is not
    /// newer than the replica.
    pub fn apply_batch(&self, batch: RecordBatch) {
        let complete_to = batch.complete_to;
        if complete_to <= self.revision() {
            return;
        }
        let records = self.replica.step(|replica| replica.with_batch(batch));
        let old = FleetView::clone(&self.view.borrow());
        let (view, errors) = old.with_records(&records, complete_to);
        for error in errors {
            log::warn!("{error}; record ignored, the previous value stays in force");
        }
        let view = Arc::new(view);
        *self.view.borrow_mut() = Arc::clone(&view);
        let changed = RecordBatch {
            records,
            complete_to,
            era: 0,
        };
        let listeners = self.listeners.borrow().clone();
        for listener in listeners {
            listener(&view, &changed);
        }
    }

    /// Records whether a call to the store succeeded, and logs a change of reachability.
    pub fn record_store_result<T>(&self, result: &Result<T, StoreError>) {
        let reachable = result.is_ok();
        if self.store_reachable.replace(Some(reachable)) == Some(reachable) {
            return;
        }
        match result {
            Ok(_) => log::info!("store reachable"),
            Err(error) => log::warn!("store unreachable: {error}"),
        }
    }

    /// Builds a batch from a complete list of the records: known keys that are not listed have been deleted.
    fn batch_of_list(&self, mut records: Vec<Record>, revision: u64) -> RecordBatch {
        let listed: BTreeSet<Name> = records.iter().map(|record| record.key.clone()).collect();
        let known = self.batch_after(0).records;
        let deleted = known
            .into_iter()
            .filter(|record| record.value.is_some() && !listed.contains(&record.key))
            .map(|record| Record {
                revision,
                value: None,
                ..record
            });
        records.extend(deleted);
        RecordBatch {
            records,
            complete_to: revision,
            era: 0,
        }
    }
}

impl Default for FeedService {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns whether an agent is among those of its availability zone that read the store.
///
/// An agent that is unknown, still joining or has ended reads the store too, since no other agent sends it
/// records.
#[must_use]
pub fn is_watcher(view: &FleetView, id: &AgentId) -> bool {
    let Some(own) = view.member(id) else {
        return true;
    };
    if own.state == MemberState::Joining || own.state.has_ended() || holds_term(view, id) {
        return true;
    }
    let same_zone = |member: &&MemberRecord| {
        member.state == MemberState::Live && member.place.zone == own.place.zone
    };
    view.present()
        .filter(same_zone)
        .take(WATCHERS_PER_ZONE)
        .any(|member| member.id == *id)
}

/// Returns whether an agent holds the controller's term; the controller needs the newest records.
fn holds_term(view: &FleetView, id: &AgentId) -> bool {
    view.term
        .as_ref()
        .is_some_and(|term| term.value.holder == *id)
}

/// Reads the store while this agent is one of its readers, or always or never if `forced` is set. Never
/// returns.
pub async fn watch_store(
    feed: Rc<FeedService>,
    store: StoreClient,
    id: AgentId,
    forced: Option<bool>,
) {
    let mut listed = false;
    loop {
        let wanted = forced.unwrap_or_else(|| is_watcher(&feed.view(), &id));
        feed.watching.set(wanted);
        if !wanted {
            sleep(Duration::from_millis(ROLE_CHECK_INTERVAL_MS)).await;
            continue;
        }
        let result = read_once(&feed, &store, listed).await;
        feed.record_store_result(&result);
        match result {
            Ok(()) => listed = true,
            Err(StoreError::Refused {
                status: HTTP_GONE, ..
            }) => listed = false,
            Err(_) => sleep(Duration::from_millis(RETRY_DELAY_MS)).await,
        }
    }
}

/// Lists all records if that has not been done yet, otherwise waits for newer ones, and applies them.
///
/// # Errors
///
/// Returns [`StoreError`] if the store refuses the call or returns no valid answer.
async fn read_once(
    feed: &FeedService,
    store: &StoreClient,
    listed: bool,
) -> Result<(), StoreError> {
    if !listed {
        let answer = store.list(SPREAD_PREFIX).await?;
        feed.apply_batch(feed.batch_of_list(answer.records, answer.revision));
        return Ok(());
    }
    let after = feed.revision();
    let answer = store.watch(SPREAD_PREFIX, after, WATCH_TIMEOUT_MS).await?;
    feed.apply_batch(RecordBatch {
        records: answer.records,
        complete_to: answer.revision,
        era: 0,
    });
    Ok(())
}
