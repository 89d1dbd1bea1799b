//! The agent's election service: claims the controller's term in the store and renews the store lease that
//! shows the controller to be alive.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use jy_control::election::ElectionAction;
use jy_control::election::ElectionEvent;
use jy_control::election::ElectionState;
use jy_kernel::clock;
use jy_kernel::state::StateCell;
use jy_store::client::StoreClient;
use jy_store::client::StoreError;
use jy_store::client::SwapOutcome;
use jy_store::protocol::SwapCall;
use jy_types::assign::TermRecord;
use jy_types::member::AgentId;
use jy_types::name::Name;
use jy_types::record::CONTROLLER_ALIVE_KEY;
use jy_types::record::Record;
use jy_types::record::TERM_KEY;
use jy_types::time::Millis;
use tokio::time::sleep;

use crate::feed::FeedService;
use crate::timer::TickerWake;

/// Name of this service.
pub const SERVICE: &str = "election";

/// Time from a renewal of the controller's store lease to the end of that lease, in milliseconds.
const STORE_LEASE_MS: u64 = 2_000;

const WATCH_TIMEOUT_MS: u64 = 10_000;

/// Delay after a failed call to the store, and between checks while this agent is not eligible, in
/// milliseconds.
const RETRY_DELAY_MS: u64 = 200;

/// Called with the term when this agent becomes the controller, and with `None` when it stops being it.
pub type RoleListener = Rc<dyn Fn(Option<u64>)>;

/// Runs the agent's candidacy for the controller's role.
pub struct ElectionService {
    id: AgentId,
    state: StateCell<ElectionState>,
    feed: Rc<FeedService>,
    store: StoreClient,
    lease: Cell<Option<u64>>,
    eligible: Cell<bool>,
    listener: RefCell<Option<RoleListener>>,
    wake: TickerWake,
}

impl ElectionService {
    /// Creates a candidate that is not eligible yet.
    #[must_use]
    pub fn new(id: AgentId, feed: Rc<FeedService>, store: StoreClient) -> Self {
        let state = ElectionState::new(id.clone(), id.incarnation);
        Self {
            id,
            state: StateCell::new(state),
            feed,
            store,
            lease: Cell::new(None),
            eligible: Cell::new(false),
            listener: RefCell::default(),
            wake: TickerWake::default(),
        }
    }

    /// Sets the listener for changes of the role.
    pub fn on_role(&self, listener: RoleListener) {
        *self.listener.borrow_mut() = Some(listener);
    }

    /// Returns the handle that wakes the election's ticker.
    #[must_use]
    pub fn wake(&self) -> TickerWake {
        Rc::clone(&self.wake)
    }

    /// Returns the time at which the election needs its next tick.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.state.read(ElectionState::next_tick)
    }

    /// Sets whether this agent may become the controller.
    pub fn set_eligible(self: &Rc<Self>, eligible: bool) {
        if self.eligible.replace(eligible) != eligible {
            self.step(ElectionEvent::Eligible(eligible));
        }
    }

    /// Passes the term's record in the agent's replica to the decision logic.
    pub fn on_view(self: &Rc<Self>) {
        let view = self.feed.view();
        let event = match &view.term {
            Some(term) => ElectionEvent::Term {
                term: term.value.term,
                holder: Some(term.value.holder.clone()),
                revision: term.revision,
            },
            None => ElectionEvent::Term {
                term: 0,
                holder: None,
                revision: 0,
            },
        };
        self.step(event);
    }

    /// Watches the controller's key in the store while the agent is eligible. Never returns.
    pub async fn watch_alive(self: Rc<Self>) {
        let mut after = None;
        loop {
            if !self.eligible.get() {
                after = None;
                sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
                continue;
            }
            match self.read_alive(after).await {
                Ok(revision) => after = Some(revision),
                // The store has discarded deletions after this revision, so the key is read anew.
                Err(StoreError::Refused { status: 410, .. }) => after = None,
                Err(_) => sleep(Duration::from_millis(RETRY_DELAY_MS)).await,
            }
        }
    }

    /// Reads the controller's key, or waits for a change of it after a revision. Returns the store's revision.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store refuses a call or returns no valid answer.
    async fn read_alive(self: &Rc<Self>, after: Option<u64>) -> Result<u64, StoreError> {
        let is_list = after.is_none();
        let answer = match after {
            None => self.store.list(CONTROLLER_ALIVE_KEY).await?,
            Some(after) => {
                let watch = self
                    .store
                    .watch(CONTROLLER_ALIVE_KEY, after, WATCH_TIMEOUT_MS);
                watch.await?
            }
        };
        let record = answer.records.last();
        if is_list || record.is_some() {
            let term = record.and_then(read_term);
            self.step(ElectionEvent::Alive { term });
        }
        Ok(answer.revision)
    }

    /// Passes an event to the decision logic and performs the actions that it returns.
    pub fn step(self: &Rc<Self>, event: ElectionEvent) {
        let now = clock::now();
        let actions = self.state.step(|state| state.step(now, event));
        for action in actions {
            self.perform(action);
        }
        self.wake.notify_one();
    }

    /// Performs one action.
    fn perform(self: &Rc<Self>, action: ElectionAction) {
        let election = Rc::clone(self);
        match action {
            ElectionAction::Claim { term, expect } => {
                actix_rt::spawn(async move { election.claim(term, expect).await });
            }
            ElectionAction::ShowAlive { term } => {
                actix_rt::spawn(async move { election.show_alive(term).await });
            }
            ElectionAction::Renew => {
                actix_rt::spawn(async move { election.renew().await });
            }
            ElectionAction::Start { term } => {
                log::info!("controller: this agent takes the role with term {term}");
                self.notify_listener(Some(term));
            }
            ElectionAction::Stop => {
                log::info!("controller: this agent gives up the role");
                self.notify_listener(None);
                actix_rt::spawn(async move { election.reread_alive().await });
            }
        }
    }

    /// Reads the current state of the controller's key, since a watch returns only later changes. Retries until
    /// the store answers or the agent is no longer eligible.
    async fn reread_alive(self: Rc<Self>) {
        while self.eligible.get() && self.read_alive(None).await.is_err() {
            sleep(Duration::from_millis(RETRY_DELAY_MS)).await;
        }
    }

    /// Notifies the listener of a change of the role.
    fn notify_listener(&self, term: Option<u64>) {
        let listener = self.listener.borrow().clone();
        if let Some(listener) = listener {
            listener(term);
        }
    }

    /// Claims a term by compare-and-swap of its record.
    async fn claim(self: Rc<Self>, term: u64, expect: u64) {
        let record = TermRecord {
            term,
            holder: self.id.clone(),
        };
        let call = SwapCall {
            key: TERM_KEY.into(),
            expect,
            value: serde_json::to_string(&record).ok().map(Name::from),
            lease: None,
        };
        let result = self.store.swap(&call).await;
        self.feed.record_store_result(&result);
        let event = match result {
            Ok(SwapOutcome::Applied { .. }) => ElectionEvent::Claimed { term },
            _ => ElectionEvent::Beaten,
        };
        self.step(event);
    }

    /// Writes the controller's key, bound to a new store lease.
    async fn show_alive(self: Rc<Self>, term: u64) {
        let sent = clock::now();
        match self.write_alive(term).await {
            Ok(true) => self.step(ElectionEvent::Renewed {
                until: sent.plus(STORE_LEASE_MS),
            }),
            Ok(false) | Err(_) => self.step(ElectionEvent::Alive { term: None }),
        }
    }

    /// Obtains a store lease and binds the controller's key to it. Replaces the key of an older term; returns
    /// `false` if the key belongs to a newer term or changed meanwhile.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the store refuses a call or returns no valid answer.
    async fn write_alive(&self, term: u64) -> Result<bool, StoreError> {
        let lease = self.store.grant_lease(STORE_LEASE_MS).await?;
        let listed = self.store.list(CONTROLLER_ALIVE_KEY).await?;
        let old = listed.records.last();
        if old.and_then(read_term).is_some_and(|old| old > term) {
            return Ok(false);
        }
        let call = SwapCall {
            key: CONTROLLER_ALIVE_KEY.into(),
            expect: old.map_or(0, |record| record.revision),
            value: Some(term.to_string().into()),
            lease: Some(lease),
        };
        let applied = matches!(self.store.swap(&call).await?, SwapOutcome::Applied { .. });
        self.lease.set(applied.then_some(lease));
        Ok(applied)
    }

    /// Renews the store lease.
    async fn renew(self: Rc<Self>) {
        let Some(lease) = self.lease.get() else {
            return;
        };
        let sent = clock::now();
        let result = self.store.renew_lease(lease).await;
        self.feed.record_store_result(&result);
        match result {
            Ok(true) => self.step(ElectionEvent::Renewed {
                until: sent.plus(STORE_LEASE_MS),
            }),
            Ok(false) => self.step(ElectionEvent::Alive { term: None }),
            // A failed renewal needs no event: the decision logic gives up the role when the lease ends.
            Err(_) => {}
        }
    }
}

/// Returns the term in the value of the controller's key.
fn read_term(record: &Record) -> Option<u64> {
    record.value.as_ref()?.parse().ok()
}
