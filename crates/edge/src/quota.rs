//! Enforces the quotas of tenants, summed over all agents.
//!
//! A request of a tenant with a quota needs credit. The holders of the tenant's slots lend it, also to themselves;
//! see [`jy_policy::quota`]. This module lets requests wait for credit.
//! The module `claims` claims slots, `exchange` sends and answers credit requests.

use std::cell::Cell;
use std::cell::OnceCell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use jy_config::edge::QuotaBounds;
use jy_http::pool::ConnectionPool;
use jy_kernel::clock;
use jy_policy::quota::QuotaAllowance;
use jy_policy::quota::QuotaBook;
use jy_policy::quota::QuotaTerms;
use jy_policy::quota::SharedBook;
use jy_policy::quota::account::AccountStep;
use jy_policy::quota::account::CreditTag;
use jy_policy::quota::account::PartView;
use jy_policy::quota::account::RETURN_DELAY_MS;
use jy_policy::quota::account::SLOW_REPLY_MS;
use jy_policy::quota::account::SkippedHolders;
use jy_policy::quota::account::TenantAccount;
use jy_policy::quota::lender::CreditLender;
use jy_types::name::Name;
use jy_types::quota::CreditReply;
use jy_types::quota::CreditRequest;
use jy_types::quota::QUOTA_PARTS;
use jy_types::routing::RouteTable;
use jy_types::tenant::TenantRule;
use jy_types::time::Millis;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::feed::SnapshotSender;
use crate::member::LocalMember;
use crate::metrics::EdgeMetrics;
use crate::snapshot::FleetSnapshot;

mod claims;
mod exchange;

/// Path at which agents ask the holder of a slot for credit.
pub const QUOTA_PATH: &str = "/jy/quota";
/// Longest sleep of a task that waits for credit, in milliseconds, after which it notices a new configuration.
const MAX_SLEEP_MS: u64 = 100;
/// Retry delay of requests for which no holder can be reached, in milliseconds.
const UNREACHABLE_RETRY_MS: u64 = 500;

/// Outcome of asking for the credit of one request.
#[derive(Debug)]
pub enum QuotaOutcome {
    /// The request is within the quota.
    Admitted(QuotaCredit),
    /// The quota is used up.
    Exceeded {
        /// Time until there is credit again, in milliseconds.
        retry_ms: u64,
    },
    /// No agent that lends credit can be reached, so that it is unknown whether the request is within the quota.
    Unavailable {
        /// Retry delay, in milliseconds.
        retry_ms: u64,
    },
}

/// The credit that one request uses. Dropping it uses it up.
pub struct QuotaCredit {
    /// Where the credit is put back; `None` if the tenant has no quota.
    origin: Option<CreditOrigin>,
}

/// Account that the credit of a request was taken from.
struct CreditOrigin {
    state: Rc<QuotaState>,
    tenant: Name,
    tag: CreditTag,
}

/// What [`LocalQuota`] needs of the agent to take part in the fleet's quotas.
pub struct QuotaFleet {
    /// Availability zone of the instance.
    pub zone: Name,
    /// Run of the agent.
    pub run: Name,
    /// The latest snapshot of the fleet's records.
    pub snapshot: Rc<SnapshotSender>,
    /// The agent's membership, under whose lease slots are held.
    pub member: Rc<LocalMember>,
    /// The agent's metrics.
    pub metrics: Rc<EdgeMetrics>,
}

/// The credit of this agent, and what it lends to other agents.
pub struct LocalQuota {
    state: Rc<QuotaState>,
}

/// State of [`LocalQuota`], shared with its tasks.
struct QuotaState {
    node: Name,
    allowance: QuotaAllowance,
    fleet: OnceCell<QuotaFleet>,
    /// Configuration from which `book` was derived.
    routes: RefCell<Option<Rc<RouteTable>>>,
    book: RefCell<SharedBook>,
    accounts: RefCell<BTreeMap<Name, OpenAccount>>,
    lender: RefCell<CreditLender>,
    skipped: RefCell<SkippedHolders>,
    pool: ConnectionPool,
    is_releasing: Cell<bool>,
    /// Has [`LocalQuota::run`] delete the records that are left.
    release_requested: Notify,
}

/// The account of a tenant and the requests that wait for its credit, in order of arrival.
struct OpenAccount {
    account: TenantAccount,
    waiters: VecDeque<CreditWaiter>,
    /// Whether a task requests credit for the tenant.
    is_asking: bool,
}

/// A request that waits for credit.
struct CreditWaiter {
    wait_until: Millis,
    outcome: oneshot::Sender<QuotaOutcome>,
}

impl fmt::Debug for QuotaCredit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let tag = self.origin.as_ref().map(|origin| origin.tag);
        formatter
            .debug_struct("QuotaCredit")
            .field("tag", &tag)
            .finish()
    }
}

impl QuotaCredit {
    /// Gives the credit back, since the request was refused and has not run.
    pub fn refund(self) {
        let Some(CreditOrigin { state, tenant, tag }) = self.origin else {
            return;
        };
        let is_return_due = {
            let now = clock::now();
            let mut accounts = state.accounts.borrow_mut();
            let Some(open) = accounts.get_mut(&tenant) else {
                return;
            };
            let is_due = open.account.put_back(now, tag);
            state.serve_waiters(now, &tenant, open);
            is_due
        };
        if is_return_due {
            state.spawn_return(&tenant);
        }
    }
}

impl LocalQuota {
    /// Creates the state of an agent without credit.
    #[must_use]
    pub fn new(node: Name, bounds: Option<QuotaBounds>) -> Self {
        let allowance = bounds.map(|bounds| QuotaAllowance {
            window_ms: bounds.window_ms,
            excess_ratio: bounds.excess_ratio,
            slack: bounds.slack,
        });
        let state = QuotaState {
            node,
            allowance: allowance.unwrap_or_default(),
            fleet: OnceCell::new(),
            routes: RefCell::default(),
            book: RefCell::default(),
            accounts: RefCell::default(),
            lender: RefCell::default(),
            skipped: RefCell::default(),
            pool: ConnectionPool::new(),
            is_releasing: Cell::new(false),
            release_requested: Notify::new(),
        };
        Self {
            state: Rc::new(state),
        }
    }

    /// Connects the agent to the fleet. Until then, there is no credit.
    pub fn join(&self, fleet: QuotaFleet) {
        if self.state.fleet.set(fleet).is_err() {
            log::error!("the quotas were connected to the fleet twice");
        }
    }

    /// Obtains credit for one request of a tenant, and waits for it until `wait_until` at most.
    pub async fn acquire(&self, tenant: &TenantRule, wait_until: Millis) -> QuotaOutcome {
        let state = &self.state;
        let outcome = match state.request_credit(&tenant.name, wait_until) {
            Ok(outcome) => outcome,
            Err(receiver) => {
                let wait = Duration::from_millis(wait_until.since(clock::now()));
                match timeout(wait, receiver).await {
                    Ok(Ok(outcome)) => outcome,
                    Ok(Err(_)) => state.outcome_without_account(&tenant.name),
                    Err(_) => state.refuse_late(&tenant.name),
                }
            }
        };
        if let Some(fleet) = state.fleet.get() {
            let metrics = &fleet.metrics;
            match &outcome {
                QuotaOutcome::Admitted(_) => metrics.quota_admitted.inc(),
                QuotaOutcome::Exceeded { .. } => metrics.quota_refused.inc(),
                QuotaOutcome::Unavailable { .. } => metrics.quota_unreachable.inc(),
            };
        }
        outcome
    }
}

/// Outcome of requests for which no holder can be reached.
const UNREACHABLE: QuotaOutcome = QuotaOutcome::Unavailable {
    retry_ms: UNREACHABLE_RETRY_MS,
};

impl QuotaState {
    /// Applies the quotas of the configuration in force, if it is another one than before.
    fn refresh_book(&self) {
        let Some(fleet) = self.fleet.get() else {
            return;
        };
        let routes = fleet.snapshot.borrow().routes.clone();
        let is_same = match (&*self.routes.borrow(), &routes) {
            (Some(previous), Some(routes)) => Rc::ptr_eq(previous, routes),
            (None, None) => true,
            _ => false,
        };
        if is_same {
            return;
        }
        let book = routes.as_ref().and_then(|routes| {
            let tenants = routes.tenants.as_ref()?;
            Some(QuotaBook::new(routes.version, tenants, self.allowance))
        });
        let book = Rc::new(book.unwrap_or_default());
        self.lender
            .borrow_mut()
            .set_book(clock::now(), Rc::clone(&book));
        self.accounts.borrow_mut().retain(|tenant, open| {
            let terms = book.terms.get(tenant).copied().flatten();
            if let Some(terms) = terms {
                open.account.set_terms(book.version, terms);
            }
            terms.is_some()
        });
        *self.book.borrow_mut() = book;
        *self.routes.borrow_mut() = routes;
    }

    /// Returns the terms of a tenant's quota, if it has one, and the version of the configuration.
    fn terms(&self, tenant: &str) -> Option<(u64, QuotaTerms)> {
        let book = self.book.borrow();
        let terms = book.terms.get(tenant).copied().flatten()?;
        Some((book.version, terms))
    }

    /// Takes credit for one request, or has it wait.
    ///
    /// # Errors
    ///
    /// Returns the receiver of the outcome if the request has to wait.
    fn request_credit(
        self: &Rc<Self>,
        tenant: &Name,
        wait_until: Millis,
    ) -> Result<QuotaOutcome, oneshot::Receiver<QuotaOutcome>> {
        let Some(fleet) = self.fleet.get() else {
            return Ok(UNREACHABLE);
        };
        self.refresh_book();
        let Some((version, terms)) = self.terms(tenant) else {
            return Ok(QuotaOutcome::Admitted(QuotaCredit { origin: None }));
        };
        let now = clock::now();
        let mut accounts = self.accounts.borrow_mut();
        let open = accounts
            .entry(Name::clone(tenant))
            .or_insert_with(|| OpenAccount {
                account: TenantAccount::new(version, terms),
                waiters: VecDeque::new(),
                is_asking: false,
            });
        open.account.record_arrival(now);
        if open.waiters.is_empty()
            && let Some(tag) = open.account.take(now)
        {
            if open.account.is_low(now) {
                self.spawn_asking(tenant, open);
            }
            return Ok(QuotaOutcome::Admitted(self.credit(tenant, tag)));
        }
        let step = loop {
            let waiting = open.waiters.len() + 1;
            let snapshot = Rc::clone(&fleet.snapshot.borrow());
            let views = self.part_views(now, &snapshot, &terms);
            let step = open.account.next_step(now, waiting, &views);
            // Credit of this agent's own slots needs no task, but a reply of another holder that is due is awaited first.
            let AccountStep::Ask(part) = step else {
                break step;
            };
            if !self.is_own_slot(&snapshot, &terms, part) {
                break step;
            }
            let request = open.account.request(now, tenant, part, waiting);
            let reply = self.lend_from_book(&request);
            self.apply_reply(now, now, &mut open.account, &request, reply);
            self.serve_waiters(now, tenant, open);
            if open.waiters.is_empty()
                && let Some(tag) = open.account.take(now)
            {
                return Ok(QuotaOutcome::Admitted(self.credit(tenant, tag)));
            }
        };
        match step {
            AccountStep::Unreachable => return Ok(UNREACHABLE),
            AccountStep::Wait(next) if next > wait_until => {
                let retry_ms = open.account.refuse(now, next);
                return Ok(QuotaOutcome::Exceeded { retry_ms });
            }
            AccountStep::Wait(_)
            | AccountStep::Ask(_)
            | AccountStep::Pending(_)
            | AccountStep::Idle => {}
        }
        let (outcome, receiver) = oneshot::channel();
        open.waiters.push_back(CreditWaiter {
            wait_until,
            outcome,
        });
        self.spawn_asking(tenant, open);
        Err(receiver)
    }

    /// Returns the outcome of a request that waited for credit for as long as it may.
    fn refuse_late(&self, tenant: &Name) -> QuotaOutcome {
        let Some((fleet, (_, terms))) = self.fleet.get().zip(self.terms(tenant)) else {
            return self.outcome_without_account(tenant);
        };
        let now = clock::now();
        let views = self.part_views(now, &fleet.snapshot.borrow(), &terms);
        let mut accounts = self.accounts.borrow_mut();
        let Some(open) = accounts.get_mut(tenant) else {
            return UNREACHABLE;
        };
        match open.account.next_step(now, 1, &views) {
            AccountStep::Wait(next) => QuotaOutcome::Exceeded {
                retry_ms: open.account.refuse(now, next),
            },
            AccountStep::Ask(_) | AccountStep::Pending(_) if open.account.is_heard(now) => {
                let retry_ms = open.account.refuse(now, now);
                QuotaOutcome::Exceeded { retry_ms }
            }
            _ => UNREACHABLE,
        }
    }

    /// Returns the outcome of a request whose account was removed while it waited, with the tenant or with its quota.
    fn outcome_without_account(&self, tenant: &Name) -> QuotaOutcome {
        match self.book.borrow().terms.get(tenant) {
            Some(None) => QuotaOutcome::Admitted(QuotaCredit { origin: None }),
            _ => UNREACHABLE,
        }
    }

    /// Returns the credit of one request.
    fn credit(self: &Rc<Self>, tenant: &Name, tag: CreditTag) -> QuotaCredit {
        QuotaCredit {
            origin: Some(CreditOrigin {
                state: Rc::clone(self),
                tenant: Name::clone(tenant),
                tag,
            }),
        }
    }

    /// Starts the task that requests credit for a tenant, unless it runs.
    fn start_asking(self: &Rc<Self>, tenant: &Name) {
        if let Some(open) = self.accounts.borrow_mut().get_mut(tenant) {
            self.spawn_asking(tenant, open);
        }
    }

    /// Starts the task that requests credit for an account, unless it runs.
    fn spawn_asking(self: &Rc<Self>, tenant: &Name, open: &mut OpenAccount) {
        if !std::mem::replace(&mut open.is_asking, true) {
            let (state, tenant) = (Rc::clone(self), Name::clone(tenant));
            actix_rt::spawn(async move { state.ask_holders(&tenant).await });
        }
    }

    /// Starts the task that returns surplus credit after a delay.
    fn spawn_return(self: &Rc<Self>, tenant: &Name) {
        let (state, tenant) = (Rc::clone(self), Name::clone(tenant));
        actix_rt::spawn(async move {
            sleep(Duration::from_millis(RETURN_DELAY_MS)).await;
            state.start_asking(&tenant);
        });
    }

    /// Requests credit for a tenant, from one holder after the other, until no request waits for it.
    async fn ask_holders(self: &Rc<Self>, tenant: &Name) {
        while let Some(step) = self.next_step(tenant) {
            match step {
                AccountStep::Ask(part) => {
                    // If the reply is slow, the next holder is asked too.
                    let (state, tenant) = (Rc::clone(self), Name::clone(tenant));
                    let asking = actix_rt::spawn(async move { state.ask(&tenant, part).await });
                    let limit = Duration::from_millis(SLOW_REPLY_MS);
                    let _is_ended = timeout(limit, asking).await;
                }
                AccountStep::Wait(next) | AccountStep::Pending(next) => {
                    let wait_ms = next.since(clock::now()).clamp(1, MAX_SLEEP_MS);
                    sleep(Duration::from_millis(wait_ms)).await;
                }
                AccountStep::Unreachable | AccountStep::Idle => {}
            }
        }
    }

    /// Returns what to do next for a tenant, or `None` if the task ends. Refuses the requests that wait in vain.
    fn next_step(self: &Rc<Self>, tenant: &Name) -> Option<AccountStep> {
        let fleet = self.fleet.get()?;
        self.refresh_book();
        let now = clock::now();
        let mut accounts = self.accounts.borrow_mut();
        let open = accounts.get_mut(tenant)?;
        open.waiters.retain(|waiter| !waiter.outcome.is_closed());
        self.serve_waiters(now, tenant, open);
        let snapshot = fleet.snapshot.borrow();
        let views = self.part_views(now, &snapshot, open.account.terms());
        let step = open.account.next_step(now, open.waiters.len(), &views);
        match step {
            AccountStep::Ask(_) | AccountStep::Pending(_) => return Some(step),
            AccountStep::Wait(next) => {
                for waiter in std::mem::take(&mut open.waiters) {
                    if waiter.wait_until >= next {
                        open.waiters.push_back(waiter);
                        continue;
                    }
                    let retry_ms = open.account.refuse(now, next);
                    // The receiver is gone if the caller has left.
                    let _is_sent = waiter.outcome.send(QuotaOutcome::Exceeded { retry_ms });
                }
            }
            AccountStep::Unreachable => {
                for waiter in open.waiters.drain(..) {
                    // The receiver is gone if the caller has left.
                    let _is_sent = waiter.outcome.send(UNREACHABLE);
                }
            }
            AccountStep::Idle => {}
        }
        if open.waiters.is_empty() {
            open.is_asking = false;
            return None;
        }
        Some(step)
    }

    /// Requests credit from the holder of one part.
    async fn ask(self: &Rc<Self>, tenant: &Name, part: u8) {
        let sent_at = clock::now();
        let Some((request, holder, address)) = self.prepare_request(sent_at, tenant, part) else {
            return;
        };
        let reply = match address {
            None => Some(self.lend(&request)),
            Some(address) => self.send_request(address, &request).await,
        };
        let now = clock::now();
        if let Some(open) = self.accounts.borrow_mut().get_mut(tenant) {
            open.account.end_request(part);
        }
        match reply {
            Some(CreditReply::NotHolder) => {
                let mut skipped = self.skipped.borrow_mut();
                skipped.skip_not_holder(now, &holder.run);
            }
            Some(reply) => {
                let mut accounts = self.accounts.borrow_mut();
                if let Some(open) = accounts.get_mut(tenant) {
                    self.apply_reply(sent_at, now, &mut open.account, &request, reply);
                    self.serve_waiters(now, tenant, open);
                }
            }
            None => {
                let mut skipped = self.skipped.borrow_mut();
                if !skipped.is_skipped(now, &holder.run) {
                    log::info!("belief quota holder={} does not answer", holder.node);
                }
                skipped.skip_silent(now, &holder.run);
            }
        }
        let is_return_due = {
            let mut accounts = self.accounts.borrow_mut();
            accounts.get_mut(tenant).is_some_and(|open| {
                open.waiters.retain(|waiter| !waiter.outcome.is_closed());
                open.waiters.is_empty() && open.account.plan_surplus_return(now, &request)
            })
        };
        if is_return_due {
            self.spawn_return(tenant);
        }
    }

    /// Applies a holder's reply to an account.
    fn apply_reply(
        &self,
        sent_at: Millis,
        now: Millis,
        account: &mut TenantAccount,
        request: &CreditRequest,
        reply: CreditReply,
    ) {
        account.end_request(request.part);
        match reply {
            CreditReply::Grant(grant) => account.apply(now, sent_at, request, &grant),
            CreditReply::NotHolder => {
                let Some(fleet) = self.fleet.get() else {
                    return;
                };
                let mut skipped = self.skipped.borrow_mut();
                skipped.skip_not_holder(now, &fleet.run);
            }
        }
    }

    /// Gives credit to the requests that wait for it, in order of arrival.
    fn serve_waiters(self: &Rc<Self>, now: Millis, tenant: &Name, open: &mut OpenAccount) {
        while let Some(waiter) = open.waiters.pop_front() {
            if waiter.outcome.is_closed() {
                continue;
            }
            let Some(tag) = open.account.take(now) else {
                open.waiters.push_front(waiter);
                return;
            };
            let outcome = QuotaOutcome::Admitted(self.credit(tenant, tag));
            // The receiver exists, as nothing else runs since the check.
            let _is_sent = waiter.outcome.send(outcome);
        }
    }

    /// Returns how the holders of a tenant's parts can be reached.
    fn part_views(
        &self,
        now: Millis,
        snapshot: &FleetSnapshot,
        terms: &QuotaTerms,
    ) -> Vec<PartView> {
        let Some(fleet) = self.fleet.get() else {
            return Vec::new();
        };
        let skipped = self.skipped.borrow();
        let view = |part| {
            let holder = &snapshot.quota_slots.get(&terms.slot(part))?.record;
            let instance = &snapshot.instances.get(&holder.node)?.record;
            // After a restart, the records may still be those of this agent's earlier run.
            let is_running =
                instance.run == holder.run && (holder.node != self.node || holder.run == fleet.run);
            Some(PartView {
                part,
                is_reachable: is_running && !skipped.is_skipped(now, &holder.run),
                is_same_zone: instance.zone == fleet.zone,
            })
        };
        let parts = (0..QUOTA_PARTS).filter(|part| terms.has_part(*part));
        parts.filter_map(view).collect()
    }

    /// Whether this agent holds a part.
    fn is_own_slot(&self, snapshot: &FleetSnapshot, terms: &QuotaTerms, part: u8) -> bool {
        let holder = snapshot.quota_slots.get(&terms.slot(part));
        holder.is_some_and(|holder| holder.record.node == self.node)
    }
}
