//! A fleet with quotas in virtual time: agents with clocks of their own, a store with leases, and faults.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;

use jy_policy::quota::QuotaAllowance;
use jy_policy::quota::QuotaBook;
use jy_policy::quota::SharedBook;
use jy_policy::quota::account::AccountStep;
use jy_policy::quota::account::CreditTag;
use jy_policy::quota::account::PartView;
use jy_policy::quota::account::RETURN_DELAY_MS;
use jy_policy::quota::account::SLOW_REPLY_MS;
use jy_policy::quota::account::SkippedHolders;
use jy_policy::quota::account::TenantAccount;
use jy_policy::quota::claims::ClaimPlanner;
use jy_policy::quota::claims::SlotClaim;
use jy_policy::quota::lender::CreditLender;
use jy_policy::quota::lender::LeaseTerm;
use jy_types::name::Name;
use jy_types::quota::CreditReply;
use jy_types::quota::CreditRequest;
use jy_types::quota::QUOTA_PARTS;
use jy_types::quota::SlotId;
use jy_types::tenant::TenantQuota;
use jy_types::tenant::TenantRule;
use jy_types::tenant::TenantTable;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

mod store;

/// Duration of a lease, in milliseconds.
const LEASE_MS: u64 = 3_500;
/// Time limit of a credit request, in milliseconds.
const TIMEOUT_MS: u64 = 60;
/// Time between the starts of two agents, in milliseconds.
const START_INTERVAL_MS: u64 = 20;
/// Wait of a request for credit, in milliseconds: an eighth of an objective of 500 ms.
pub const WAIT_MS: u64 = 62;

/// A call to the store: a renewal, or a claim of slots with their expected revisions.
#[derive(Clone)]
enum StoreCall {
    Renew(u64),
    Claim(u64, Vec<SlotClaim>),
}

/// What happens at a point in time, at an agent and in one of its runs.
enum Event {
    Tick,
    Store(StoreCall, u64),
    /// The store's reply to a renewal, with the local time at which it was sent.
    Renewed(u64, u64),
    /// A credit request that arrives: from whom, its number, and the request.
    Credit(usize, u64, CreditRequest),
    /// A reply to credit request with this number; `None` for the end of its time limit.
    Reply(u64, Option<CreditReply>),
    Ask(Name),
    Book(SharedBook),
    Restart,
    /// Gives the credit of a refused request back.
    Refund(Name, CreditTag),
}

/// A credit request without a reply yet.
struct SentRequest {
    number: u64,
    sent_at: Millis,
    run: Name,
    request: CreditRequest,
}

/// The account of a tenant at an agent.
#[derive(Default)]
struct Account {
    account: Option<TenantAccount>,
    /// True times of arrival, and local times until which the requests wait.
    waiters: VecDeque<(u64, Millis)>,
    sent: Vec<SentRequest>,
}

/// An agent. All of it but the clock's offset and the faults is lost with its run.
#[derive(Default)]
struct Agent {
    offset: u64,
    run: u64,
    is_down: bool,
    frozen_until: u64,
    cut_until: u64,
    lease: u64,
    lease_until: Millis,
    renewed_at: u64,
    slots: BTreeMap<SlotId, StoredSlot>,
    live: BTreeMap<usize, u64>,
    lender: CreditLender,
    planner: ClaimPlanner,
    accounts: BTreeMap<Name, Account>,
    skipped: SkippedHolders,
    book: SharedBook,
}

/// The store's record of a slot's holder.
#[derive(Clone, Copy, PartialEq)]
struct StoredSlot {
    agent: usize,
    run: u64,
    lease: u64,
    revision: u64,
}

/// How one request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    /// It got credit.
    Admitted,
    /// It was refused, since there was no credit.
    Exceeded,
    /// It was refused, since no holder could be reached.
    Unreachable,
}

/// The fleet, its store and its network.
pub struct World {
    /// Virtual time, in milliseconds.
    pub now: u64,
    /// Source of all random choices.
    pub rng: StdRng,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of admitted requests that do not run, so that their credit is given back.
    pub refund_share: f64,
    /// Longest delay of a message, and of a store call, in milliseconds.
    pub delays_ms: (u64, u64),
    /// Arrival, end, and time of the end, by tenant.
    pub ends: BTreeMap<Name, Vec<(u64, End, u64)>>,
    /// Number of credit requests sent between agents.
    pub messages: u64,
    /// Number of transactions that claim slots.
    pub claims: u64,
    agents: Vec<Agent>,
    events: BTreeMap<(u64, u64), (usize, u64, Event)>,
    sequence: u64,
    leases: BTreeMap<u64, (usize, u64, u64)>,
    slots: BTreeMap<SlotId, StoredSlot>,
    revision: u64,
}

/// Returns the configuration of tenants with rates and bursts.
#[must_use]
pub fn book(version: u64, quotas: &[(&str, f64, f64)]) -> SharedBook {
    let rule = |name: &str, rate_per_s, burst| TenantRule {
        name: name.into(),
        priority: None,
        quota: Some(TenantQuota { rate_per_s, burst }),
    };
    let tenants = quotas
        .iter()
        .fold(TenantTable::new(), |table, (name, rate, burst)| {
            table.with_tenant(rule(name, *rate, *burst), &[])
        });
    let book = QuotaBook::new(version, &tenants, QuotaAllowance::default());
    Rc::new(book)
}

/// Returns the name of an agent's instance.
fn node(agent: usize) -> Name {
    format!("node-{agent}").into()
}

/// Returns the name of an agent's run.
fn run_name(agent: usize, run: u64) -> Name {
    format!("run-{agent}-{run}").into()
}

impl World {
    /// Creates a fleet in three zones whose agents start one after the other.
    #[must_use]
    pub fn new(seed: u64, agents: usize, book: &SharedBook) -> Self {
        let mut world = Self {
            now: 0,
            rng: StdRng::seed_from_u64(seed),
            loss: 0.0,
            refund_share: 0.0,
            delays_ms: (2, 8),
            ends: BTreeMap::new(),
            messages: 0,
            claims: 0,
            agents: Vec::new(),
            events: BTreeMap::new(),
            sequence: 0,
            leases: BTreeMap::new(),
            slots: BTreeMap::new(),
            revision: 0,
        };
        for agent in 0..agents {
            let offset = world.rng.random_range(0..1_000_000);
            let book = Rc::clone(book);
            let mut state = Agent {
                offset,
                book,
                ..Agent::default()
            };
            state
                .lender
                .set_book(Millis(offset), Rc::clone(&state.book));
            world.agents.push(state);
            world.schedule(agent as u64 * START_INTERVAL_MS, agent, Event::Tick);
        }
        world
    }

    /// Advances to a point in time.
    pub fn run_until(&mut self, end: u64) {
        while let Some(entry) = self
            .events
            .first_entry()
            .filter(|entry| entry.key().0 <= end)
        {
            let ((at, _), (agent, run, event)) = entry.remove_entry();
            self.now = at;
            let state = &self.agents[agent];
            if let Event::Store(call, sent_at) = event {
                self.call_store(agent, run, call, sent_at);
            } else if matches!(event, Event::Restart) {
                self.restart(agent);
            } else if matches!(event, Event::Credit(..)) && !state.is_down {
                // Another agent's message reaches whatever run is there.
                self.handle_or_delay(agent, state.run, event);
            } else if run == state.run && !state.is_down {
                self.handle_or_delay(agent, run, event);
            }
        }
        self.now = end;
    }

    /// Freezes an agent; its clock runs on.
    pub fn freeze(&mut self, agent: usize, duration_ms: u64) {
        self.agents[agent].frozen_until = self.now + duration_ms;
    }

    /// Cuts an agent off from the store.
    pub fn cut(&mut self, agent: usize, duration_ms: u64) {
        self.agents[agent].cut_until = self.now + duration_ms;
    }

    /// Kills an agent and starts it again later.
    pub fn kill(&mut self, agent: usize, restart_after_ms: u64) {
        self.agents[agent].is_down = true;
        self.schedule(self.now + restart_after_ms, agent, Event::Restart);
    }

    /// Sends a configuration to all agents within `spread_ms`.
    pub fn configure(&mut self, book: &SharedBook, spread_ms: u64) {
        for agent in 0..self.agents.len() {
            let delay_ms = self.rng.random_range(0..=spread_ms);
            self.configure_one(agent, book, delay_ms);
        }
    }

    /// Sends a configuration to one agent after a delay.
    pub fn configure_one(&mut self, agent: usize, book: &SharedBook, delay_ms: u64) {
        let at = self.now + delay_ms;
        self.schedule(at, agent, Event::Book(Rc::clone(book)));
    }

    /// A request of a tenant arrives at an agent; it is lost if the agent is down or frozen.
    pub fn arrive(&mut self, agent: usize, tenant: &Name) {
        let now = self.now;
        let state = &mut self.agents[agent];
        if state.is_down || state.frozen_until > now {
            return;
        }
        let local = Millis(now + state.offset);
        let Some(Some(terms)) = state.book.terms.get(tenant).copied() else {
            return;
        };
        let version = state.book.version;
        let entry = state.accounts.entry(Name::clone(tenant)).or_default();
        let account = entry
            .account
            .get_or_insert_with(|| TenantAccount::new(version, terms));
        account.record_arrival(local);
        entry.waiters.push_back((now, local.plus(WAIT_MS)));
        self.pump(agent, tenant);
        self.schedule(now + WAIT_MS, agent, Event::Ask(Name::clone(tenant)));
    }

    /// Returns the number of slots that each agent holds.
    #[must_use]
    pub fn held(&self) -> Vec<usize> {
        self.agents.iter().map(|agent| agent.lender.len()).collect()
    }

    /// Schedules an event of an agent's present run.
    fn schedule(&mut self, at: u64, agent: usize, event: Event) {
        self.sequence += 1;
        let run = self.agents[agent].run;
        self.events.insert((at, self.sequence), (agent, run, event));
    }

    /// Handles an event, or delays it while the agent is frozen.
    fn handle_or_delay(&mut self, agent: usize, run: u64, event: Event) {
        let thaw = self.agents[agent].frozen_until;
        if thaw > self.now {
            self.sequence += 1;
            self.events
                .insert((thaw, self.sequence), (agent, run, event));
            return;
        }
        match event {
            Event::Tick => self.tick(agent),
            Event::Renewed(lease, sent_at) => {
                let state = &mut self.agents[agent];
                state.lease = lease;
                state.lease_until = Millis(sent_at + LEASE_MS);
            }
            Event::Credit(from, number, request) => {
                let reply = self.lend(agent, &request);
                self.send(from, Event::Reply(number, Some(reply)));
            }
            Event::Reply(number, reply) => self.take_reply(agent, number, reply),
            Event::Ask(tenant) => self.pump(agent, &tenant),
            Event::Book(book) => {
                let state = &mut self.agents[agent];
                let local = Millis(self.now + state.offset);
                state.lender.set_book(local, Rc::clone(&book));
                for (tenant, entry) in &mut state.accounts {
                    let terms = book.terms.get(tenant).copied().flatten();
                    if let Some((account, terms)) = entry.account.as_mut().zip(terms) {
                        account.set_terms(book.version, terms);
                    }
                }
                state.book = book;
            }
            Event::Refund(tenant, tag) => {
                let state = &mut self.agents[agent];
                let local = Millis(self.now + state.offset);
                let entry = state.accounts.get_mut(&tenant);
                if let Some(account) = entry.and_then(|entry| entry.account.as_mut()) {
                    account.put_back(local, tag);
                    let at = self.now + RETURN_DELAY_MS;
                    self.schedule(at, agent, Event::Ask(tenant));
                }
            }
            Event::Store(..) | Event::Restart => {}
        }
    }

    /// Sends a message between agents, which may be lost.
    fn send(&mut self, to: usize, event: Event) {
        if self.rng.random::<f64>() >= self.loss {
            let at = self.now + self.rng.random_range(1..=self.delays_ms.0);
            self.schedule(at, to, event);
        }
    }

    /// Starts a new run of an agent.
    fn restart(&mut self, agent: usize) {
        let state = &mut self.agents[agent];
        let book = Rc::clone(&state.book);
        *state = Agent {
            offset: state.offset,
            run: state.run + 1,
            cut_until: state.cut_until,
            book: Rc::clone(&book),
            ..Agent::default()
        };
        state.lender.set_book(Millis(self.now + state.offset), book);
        self.schedule(self.now, agent, Event::Tick);
    }

    /// Answers a credit request.
    fn lend(&mut self, agent: usize, request: &CreditRequest) -> CreditReply {
        let state = &mut self.agents[agent];
        let term = LeaseTerm {
            lease: state.lease,
            until: state.lease_until,
        };
        let local = Millis(self.now + state.offset);
        state.lender.answer(local, Some(term), request)
    }

    /// Applies the reply to a credit request, or the end of its time limit.
    ///
    /// # Panics
    ///
    /// Panics if an account that asked does not exist.
    fn take_reply(&mut self, agent: usize, number: u64, reply: Option<CreditReply>) {
        let state = &mut self.agents[agent];
        let local = Millis(self.now + state.offset);
        let find = |entry: &Account| entry.sent.iter().position(|sent| sent.number == number);
        let mut entries = state.accounts.iter_mut();
        let found = entries.find_map(|(tenant, entry)| Some((tenant, find(entry)?, entry)));
        let Some((tenant, index, entry)) = found else {
            return;
        };
        let tenant = Name::clone(tenant);
        let sent = entry.sent.swap_remove(index);
        if let Some(account) = entry.account.as_mut() {
            account.end_request(sent.request.part);
            match reply {
                Some(CreditReply::Grant(grant)) => {
                    account.apply(local, sent.sent_at, &sent.request, &grant);
                }
                Some(CreditReply::NotHolder) => state.skipped.skip_not_holder(local, &sent.run),
                None => state.skipped.skip_silent(local, &sent.run),
            }
        }
        self.pump(agent, &tenant);
    }

    /// Serves the requests of a tenant that wait at an agent, and asks for more credit.
    ///
    /// # Panics
    ///
    /// Panics if an account that asked does not exist.
    fn pump(&mut self, agent: usize, tenant: &Name) {
        loop {
            let now = self.now;
            let state = &mut self.agents[agent];
            let local = Millis(now + state.offset);
            let Some(entry) = state.accounts.get_mut(tenant) else {
                return;
            };
            let Some(account) = entry.account.as_mut() else {
                return;
            };
            let ends = self.ends.entry(Name::clone(tenant)).or_default();
            let mut refunds = Vec::new();
            while !entry.waiters.is_empty()
                && let Some(tag) = account.take(local)
            {
                let (arrived, _) = entry.waiters.pop_front().expect("a request waits");
                if self.rng.random::<f64>() < self.refund_share {
                    refunds.push(tag);
                } else {
                    ends.push((arrived, End::Admitted, now));
                }
            }
            let view = |part| {
                let holder = state.slots.get(&account.terms().slot(part))?;
                let run = run_name(holder.agent, holder.run);
                Some(PartView {
                    part,
                    is_reachable: state.live.get(&holder.agent) == Some(&holder.run)
                        && (holder.agent != agent || holder.run == state.run)
                        && !state.skipped.is_skipped(local, &run),
                    is_same_zone: holder.agent % 3 == agent % 3,
                })
            };
            let terms = *account.terms();
            let parts = (0..QUOTA_PARTS).filter(|part| terms.has_part(*part));
            let views: Vec<PartView> = parts.filter_map(view).collect();
            let step = account.next_step(local, entry.waiters.len(), &views);
            let end = match step {
                AccountStep::Unreachable => End::Unreachable,
                _ => End::Exceeded,
            };
            let next = match step {
                AccountStep::Wait(next) => next,
                AccountStep::Unreachable => Millis::MAX,
                AccountStep::Ask(_) | AccountStep::Pending(_) | AccountStep::Idle => local,
            };
            entry.waiters.retain(|(arrived, until)| {
                let is_kept = *until >= next && local < *until;
                if !is_kept {
                    ends.push((*arrived, end, now));
                }
                is_kept
            });
            let mut is_served = false;
            match step {
                AccountStep::Ask(part) => {
                    let request = account.request(local, tenant, part, entry.waiters.len());
                    let holder = state.slots[&terms.slot(part)];
                    if holder.agent == agent {
                        let reply = self.lend(agent, &request);
                        let state = &mut self.agents[agent];
                        let entry = state.accounts.get_mut(tenant).expect("the account exists");
                        let account = entry.account.as_mut().expect("the account exists");
                        match reply {
                            CreditReply::Grant(grant) => {
                                account.apply(local, local, &request, &grant);
                            }
                            CreditReply::NotHolder => {
                                account.end_request(part);
                                state
                                    .skipped
                                    .skip_not_holder(local, &run_name(agent, state.run));
                            }
                        }
                        is_served = true;
                    } else {
                        self.sequence += 1;
                        let number = self.sequence;
                        entry.sent.push(SentRequest {
                            number,
                            sent_at: local,
                            run: run_name(holder.agent, holder.run),
                            request: request.clone(),
                        });
                        self.messages += 1;
                        self.send(holder.agent, Event::Credit(agent, number, request));
                        self.schedule(now + TIMEOUT_MS, agent, Event::Reply(number, None));
                        let tenant = Name::clone(tenant);
                        self.schedule(now + SLOW_REPLY_MS, agent, Event::Ask(tenant));
                    }
                }
                AccountStep::Wait(next) | AccountStep::Pending(next)
                    if !entry.waiters.is_empty() =>
                {
                    let at = now + next.since(local);
                    self.schedule(at, agent, Event::Ask(Name::clone(tenant)));
                }
                _ => {}
            }
            for tag in refunds {
                let at = self.now + self.rng.random_range(1..400);
                self.schedule(at, agent, Event::Refund(Name::clone(tenant), tag));
            }
            if !is_served {
                return;
            }
        }
    }
}
