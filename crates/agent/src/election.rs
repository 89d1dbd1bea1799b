//! Shell of the election: claims the controller's term in the store and keeps it alive.

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

/// The controller's store lease ends this long after its last renewal, in milliseconds.
const STORE_LEASE_MS: u64 = 2_000;

/// Longest wait of the watch on the controller's key, in milliseconds.
const WATCH_WAIT_MS: u64 = 10_000;

/// Wait after a failed call, in milliseconds.
const RETRY_WAIT_MS: u64 = 200;

/// Called when the agent starts (with the term) or stops to be the controller.
pub type RoleListener = Rc<dyn Fn(Option<u64>)>;

/// The agent's candidacy.
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
    /// Makes a candidate that is not eligible yet.
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

    /// Sets what is told of the role.
    pub fn on_role(&self, listener: RoleListener) {
        *self.listener.borrow_mut() = Some(listener);
    }

    /// Wakes the ticker.
    #[must_use]
    pub fn wake(&self) -> TickerWake {
        Rc::clone(&self.wake)
    }

    /// When the election wants its next tick.
    #[must_use]
    pub fn next_tick(&self) -> Millis {
        self.state.read(ElectionState::next_tick)
    }

    /// Tells whether this agent may be the controller.
    pub fn set_eligible(self: &Rc<Self>, eligible: bool) {
        if self.eligible.replace(eligible) != eligible {
            self.step(ElectionEvent::Eligible(eligible));
        }
    }

    /// Tells the term's record as the agent's replica has it.
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

    /// Watches the controller's key while the agent is eligible. Never returns.
    pub async fn watch_alive(self: Rc<Self>) {
        let mut after = None;
        loop {
            if !self.eligible.get() {
                after = None;
                sleep(Duration::from_millis(RETRY_WAIT_MS)).await;
                continue;
            }
            match self.read_alive(after).await {
                Ok(revision) => after = Some(revision),
                Err(StoreError::Refused { status: 410, .. }) => after = None,
                Err(_) => sleep(Duration::from_millis(RETRY_WAIT_MS)).await,
            }
        }
    }

    /// Reads the controller's key, or waits for a change of it.
    ///
    /// # Errors
    ///
    /// What the store said.
    async fn read_alive(self: &Rc<Self>, after: Option<u64>) -> Result<u64, StoreError> {
        let listing = after.is_none();
        let answer = match after {
            None => self.store.list(CONTROLLER_ALIVE_KEY).await?,
            Some(after) => {
                let watch = self.store.watch(CONTROLLER_ALIVE_KEY, after, WATCH_WAIT_MS);
                watch.await?
            }
        };
        let record = answer.records.last();
        if listing || record.is_some() {
            let term = record.and_then(read_term);
            self.step(ElectionEvent::Alive { term });
        }
        Ok(answer.revision)
    }

    /// Takes an event and does what the decision says.
    pub fn step(self: &Rc<Self>, event: ElectionEvent) {
        let now = clock::now();
        let actions = self.state.step(|state| state.step(now, event));
        for action in actions {
            self.act(action);
        }
        self.wake.notify_one();
    }

    /// Does one action.
    fn act(self: &Rc<Self>, action: ElectionAction) {
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
                log::info!("controller: this agent starts under term {term}");
                self.tell(Some(term));
            }
            ElectionAction::Stop => {
                log::info!("controller: this agent stops");
                self.tell(None);
                actix_rt::spawn(async move { election.look_again().await });
            }
        }
    }

    /// Looks at the controller's key once more: the watch tells changes only.
    async fn look_again(self: Rc<Self>) {
        while self.eligible.get() && self.read_alive(None).await.is_err() {
            sleep(Duration::from_millis(RETRY_WAIT_MS)).await;
        }
    }

    /// Tells the listener of the role.
    fn tell(&self, term: Option<u64>) {
        let listener = self.listener.borrow().clone();
        if let Some(listener) = listener {
            listener(term);
        }
    }

    /// Claims a term.
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
        self.feed.note_store(&result);
        let event = match result {
            Ok(SwapOutcome::Applied { .. }) => ElectionEvent::Claimed { term },
            _ => ElectionEvent::Beaten,
        };
        self.step(event);
    }

    /// Writes the key bound to a new store lease.
    async fn show_alive(self: Rc<Self>, term: u64) {
        let sent = clock::now();
        match self.write_alive(term).await {
            Ok(true) => self.step(ElectionEvent::Renewed {
                until: sent.plus(STORE_LEASE_MS),
            }),
            Ok(false) | Err(_) => self.step(ElectionEvent::Alive { term: None }),
        }
    }

    /// Grants a store lease and binds the key to it; an older term's key is replaced.
    ///
    /// # Errors
    ///
    /// What the store said.
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
        self.feed.note_store(&result);
        match result {
            Ok(true) => self.step(ElectionEvent::Renewed {
                until: sent.plus(STORE_LEASE_MS),
            }),
            Ok(false) => self.step(ElectionEvent::Alive { term: None }),
            // The decision stops by itself when the lease runs out.
            Err(_) => {}
        }
    }
}

/// Reads the term that the controller's key names.
fn read_term(record: &Record) -> Option<u64> {
    record.value.as_ref()?.parse().ok()
}
