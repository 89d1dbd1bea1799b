//! The backend server beside the agent: its announcements and the key ranges that the agent grants to it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use jy_kernel::clock;
use jy_policy::leaving::serve_until;
use jy_ranges::table::KeyRange;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_ranges::table::first_fence;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::BackendPhase;
use jy_types::endpoint::GrantReply;
use jy_types::endpoint::GrantedRange;
use jy_types::endpoint::ListedBackend;
use jy_types::endpoint::ReleasedRange;
use jy_types::leaving::LeavingSet;
use jy_types::name::Name;
use jy_types::time::Millis;
use tokio::sync::watch;

use crate::member::AUTHORITY_MARGIN_MS;
use crate::sent_requests::SentRequests;
use crate::sent_requests::SentTicket;

mod held;
mod leaving;
mod service;
mod state;

use held::to_held_range;
use leaving::ReportedEnd;
use service::ConfiguredService;

pub use service::ReloadFn;
pub use state::BackendState;

/// Duration of a grant in announcement intervals, so that a restart of the agent does not end it.
const GRANT_INTERVALS: u64 = 4;
/// Largest ratio of the agent's clock rate to that of the backend server.
const MAX_CLOCK_RATIO: f64 = 1.02;
/// Announcement intervals without an announcement after which a backend server is considered silent.
const SILENT_INTERVALS: u64 = 4;
/// Longest time for which an announcement may be in transit, in milliseconds; the platform allows a second
/// for its answer.
const MAX_ANNOUNCE_DELAY_MS: u64 = 1_000;

/// A request that is being sent to the backend server. On drop, its connection is closed without an answer.
pub struct RunningRequest {
    backend: SharedBackend,
    ticket: SentTicket,
    has_ended: bool,
}

/// Outcome of an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// It was applied; the grant, if any, is the answer to it.
    Accepted(Option<GrantReply>),
    /// It is not newer than the last applied announcement, or its incarnation has ended.
    Outdated,
    /// It names another address than that of the backend server beside the agent.
    Foreign,
}

/// What the agent knows of the backend server beside it.
pub struct LocalBackend {
    node: Name,
    state: RefCell<Option<BackendState>>,
    configured: RefCell<ConfiguredService>,
    agent_started: Millis,
    longest_grant_ms: u64,
    announce_interval_ms: u64,
    /// How long a backend server serves after it has begun to leave, in milliseconds.
    drain_ms: u64,
    /// The incarnations that began to leave according to the store.
    recorded_leaving: RefCell<Option<LeavingSet>>,
    reported_ends: RefCell<Vec<ReportedEnd>>,
    /// What this run of the agent granted to earlier incarnations that they held when the present one announced itself,
    /// and until when.
    inherited: RefCell<(Vec<GrantedRange>, Millis)>,
    /// Era of the store in which the tables were read.
    era: Cell<u64>,
    /// Until when only what the backend server holds is granted, since the store has come back from an older copy.
    settled_at: Cell<Millis>,
    /// The last tables of earlier eras, by service.
    earlier_ranges: RefCell<BTreeMap<Name, Rc<RangeTable>>>,
    is_closed: Cell<bool>,
    changes: watch::Sender<u64>,
}

impl LocalBackend {
    /// Creates the state of an agent that has received no announcement yet.
    #[must_use]
    pub fn new(
        node: Name,
        agent_started: Millis,
        longest_grant_ms: u64,
        announce_interval_ms: u64,
    ) -> Self {
        Self {
            node,
            state: RefCell::new(None),
            configured: RefCell::default(),
            agent_started,
            longest_grant_ms,
            announce_interval_ms,
            drain_ms: 0,
            recorded_leaving: RefCell::default(),
            reported_ends: RefCell::default(),
            inherited: RefCell::default(),
            era: Cell::new(0),
            settled_at: Cell::default(),
            earlier_ranges: RefCell::default(),
            is_closed: Cell::new(false),
            changes: watch::Sender::new(0),
        }
    }

    /// Sets how long a backend server serves after it has begun to leave, in milliseconds.
    #[must_use]
    pub const fn with_drain_ms(mut self, drain_ms: u64) -> Self {
        self.drain_ms = drain_ms;
        self
    }

    /// Returns the name of the instance.
    #[must_use]
    pub const fn node(&self) -> &Name {
        &self.node
    }

    /// Returns a receiver that is notified of every change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Calls `inspect` with the state, or with `None` before the first announcement.
    pub fn read<T>(&self, inspect: impl FnOnce(Option<&BackendState>) -> T) -> T {
        inspect(self.state.borrow().as_ref())
    }

    /// Returns the owner under which this backend server's keys are listed in tables.
    #[must_use]
    pub fn owner(&self) -> Option<RangeOwner> {
        let state = self.state.borrow();
        let state = state.as_ref()?;
        Some(RangeOwner {
            node: Name::clone(&self.node),
            incarnation: state.announced.incarnation.clone(),
        })
    }

    /// Returns the backend server's entry in the agent's record, or `None` if its process is not running.
    #[must_use]
    pub fn listed(&self) -> Option<ListedBackend> {
        let state = self.state.borrow();
        let state = state.as_ref().filter(|state| {
            state.is_alive() || (state.is_running() && self.serves_while_leaving())
        })?;
        let phase = if state.leaving_since.is_some() {
            BackendPhase::Draining
        } else {
            state.announced.phase
        };
        Some(ListedBackend {
            incarnation: state.announced.incarnation.clone(),
            service: Name::clone(&state.announced.service),
            slots: state.announced.slots,
            phase,
            service_time_percent: state.service_time_percent,
        })
    }

    /// Whether a leaving backend server runs requests for the keys that it holds.
    const fn serves_while_leaving(&self) -> bool {
        self.drain_ms > 0
    }

    /// Whether the backend server may be sent a request now: any if it is serving, and those for the keys that
    /// it holds for some time after it has begun to leave.
    #[must_use]
    pub fn accepts(&self, now: Millis, state: &BackendState, is_keyed: bool) -> bool {
        let is_within_drain = || {
            let since = state.leaving_since;
            since.is_some_and(|since| now < serve_until(since, self.drain_ms))
        };
        state.is_serving()
            || (is_keyed && state.is_running() && !state.disowned && is_within_drain())
    }

    /// Whether no announcement has arrived, but the first one may still be due since the agent has just
    /// started.
    #[must_use]
    pub fn is_starting(&self, now: Millis) -> bool {
        let first_due_ms = self.announce_interval_ms + MAX_ANNOUNCE_DELAY_MS;
        self.state.borrow().is_none() && now.since(self.agent_started) < first_due_ms
    }

    /// Applies an announcement and grants the owned keys of `ranges`, if given, for no longer than until
    /// `authority`.
    pub fn announce(
        &self,
        now: Millis,
        address: SocketAddr,
        announced: Announcement,
        ranges: Option<&RangeTable>,
        authority: Millis,
    ) -> AnnounceOutcome {
        if announced.address != address {
            return AnnounceOutcome::Foreign;
        }
        let mut current = self.state.borrow_mut();
        if let Some(state) = current.as_ref()
            && state.supersedes(&announced)
        {
            return AnnounceOutcome::Outdated;
        }
        let is_same_incarnation = current
            .as_ref()
            .is_some_and(|state| state.announced.incarnation == announced.incarnation);
        let is_change = current
            .as_ref()
            .is_none_or(|state| state.is_changed_by(&announced));
        let is_first_heard = current.is_none();
        let mut sent = SentRequests::new();
        if !is_same_incarnation {
            log::info!(
                "belief backend={} born={} service={} state={:?} cold_ms={}",
                announced.incarnation.id,
                announced.incarnation.started_at,
                announced.service,
                announced.phase,
                announced.cold_ms
            );
            match current.take() {
                Some(state) => {
                    self.inherit(now, &state);
                    sent = state.sent;
                }
                // A backend server that has just started holds nothing.
                None if announced.held.is_empty() => {}
                None => {
                    let until = self.agent_started.plus(self.longest_grant_ms);
                    sent.add_earlier_work(&announced.incarnation, until);
                }
            }
        } else if is_change {
            log::info!(
                "belief backend={} state={:?} sequence={}",
                announced.incarnation.id,
                announced.phase,
                announced.sequence
            );
        }
        let state = current.get_or_insert_with(|| BackendState {
            announced: announced.clone(),
            last_heard: now,
            refuses: false,
            has_returned: false,
            ended: false,
            service_time_percent: None,
            is_measured: false,
            leaving_since: None,
            disowned: false,
            granted: None,
            last_reply: Vec::new(),
            held_until: now.plus(self.longest_grant_ms),
            released: Vec::new(),
            sent,
        });
        state.released.extend(announced.released.iter().cloned());
        state.announced = announced;
        self.mark_leaving(now, state, is_first_heard);
        state.last_heard = now;
        state.has_returned |= state.has_exited(now);
        state.refuses = false;
        state.disowned = false;
        let reply = ranges.and_then(|table| self.renew(now, state, table, authority));
        drop(current);
        self.changes.send_modify(|count| *count += 1);
        AnnounceOutcome::Accepted(reply)
    }

    /// Grants the owned keys of `ranges`, for no longer than until `authority`, in reply to an announcement that
    /// was applied earlier. Returns `None` if it is no longer the newest one, too.
    pub fn grant_later(
        &self,
        now: Millis,
        incarnation: &BackendIncarnation,
        sequence: u64,
        ranges: &RangeTable,
        authority: Millis,
    ) -> Option<GrantReply> {
        let mut current = self.state.borrow_mut();
        let state = current.as_mut().filter(|state| {
            state.announced.incarnation == *incarnation && state.announced.sequence == sequence
        })?;
        let reply = self.renew(now, state, ranges, authority);
        drop(current);
        self.changes.send_modify(|count| *count += 1);
        reply
    }

    /// Grants the owned keys of `table` and records the grant. Returns `None` if nothing can be granted now.
    fn renew(
        &self,
        now: Millis,
        state: &mut BackendState,
        table: &RangeTable,
        authority: Millis,
    ) -> Option<GrantReply> {
        let owner = RangeOwner {
            node: Name::clone(&self.node),
            incarnation: state.announced.incarnation.clone(),
        };
        // An earlier incarnation may hold the same keys until its last requests have ended.
        if state.sent.runs_elsewhere(&owner.incarnation) {
            return None;
        }
        let reply = self.grant(now, state, table, &owner, authority)?;
        state.granted = Some(reply.ranges.iter().map(to_held_range).collect());
        state.last_reply.clone_from(&reply.ranges);
        self.record_settled_grant(now, state, &reply.ranges);
        // A range that is granted again will be released again, with another handover text.
        let is_granted_again = |released: &ReleasedRange| {
            let mut ranges = reply.ranges.iter();
            ranges.any(|range| range.first <= released.last && released.first <= range.last)
        };
        state
            .released
            .retain(|released| !is_granted_again(released));
        let hold = (reply.grant_ms as f64 * MAX_CLOCK_RATIO).ceil() as u64;
        state.held_until = now.plus(hold);
        Some(reply)
    }

    /// Grants the ranges of an owner that are not moving to another. Returns `None` if too little authority
    /// is left for a grant of one announcement interval.
    ///
    /// Until the store's era is settled, the table may be an old one, so that only what the backend server holds, and
    /// ranges with a fence of the era, are granted. Later, a range that it does not hold needs a fence of the era,
    /// since fences of the era before may have been given out without a trace in the store.
    fn grant(
        &self,
        now: Millis,
        state: &BackendState,
        table: &RangeTable,
        owner: &RangeOwner,
        authority: Millis,
    ) -> Option<GrantReply> {
        let left_ms = authority.since(now.plus(AUTHORITY_MARGIN_MS));
        let max_ms = (self.announce_interval_ms * GRANT_INTERVALS).min(self.longest_grant_ms);
        let grant_ms = ((left_ms as f64 / MAX_CLOCK_RATIO) as u64).min(max_ms);
        if grant_ms < self.announce_interval_ms {
            return None;
        }
        let oldest_fence = first_fence(self.era.get());
        let is_settled = now >= self.settled_at.get();
        let mut ranges = if is_settled {
            Vec::new()
        } else {
            self.held_without_moved(now, state, table)
        };
        let is_kept = |range: &&KeyRange| {
            let is_held = is_settled && state.holds_range(now, range);
            range.next_owner.is_none() && (range.fence >= oldest_fence || is_held)
        };
        let to_granted = |range: &KeyRange| GrantedRange {
            first: range.first,
            last: range.last,
            fence: range.fence,
            handover: Name::clone(&range.handover),
        };
        for range in table.owned(owner).filter(is_kept).map(to_granted) {
            let overlaps =
                |held: &GrantedRange| held.first <= range.last && range.first <= held.last;
            if is_settled || !ranges.iter().any(overlaps) {
                ranges.push(range);
            }
        }
        (is_settled || !ranges.is_empty()).then_some(GrantReply { ranges, grant_ms })
    }

    /// Whether the backend server leaves and the newest table still leaves keys with it. Its announcement is
    /// then answered once the table moves them, so that it releases them without waiting for its next one.
    #[must_use]
    pub fn keeps_keys_while_leaving(&self, announced: &Announcement, table: &RangeTable) -> bool {
        let owner = RangeOwner {
            node: Name::clone(&self.node),
            incarnation: announced.incarnation.clone(),
        };
        announced.phase == BackendPhase::Draining
            && table.owned(&owner).any(|range| range.next_owner.is_none())
    }

    /// Returns the incarnation whose service time is to be measured, once for each.
    #[must_use]
    pub fn take_measurement(&self) -> Option<BackendIncarnation> {
        let mut current = self.state.borrow_mut();
        let state = current.as_mut().filter(|state| state.is_serving())?;
        let is_due = !std::mem::replace(&mut state.is_measured, true);
        is_due.then(|| state.announced.incarnation.clone())
    }

    /// Records the service time of an incarnation relative to that of a usual backend server, in percent.
    pub fn set_service_time(&self, incarnation: &BackendIncarnation, percent: u32) {
        let mut current = self.state.borrow_mut();
        let Some(state) = current.as_mut() else {
            return;
        };
        if state.announced.incarnation != *incarnation {
            return;
        }
        log::info!(
            "belief backend={} service_time_percent={percent}",
            incarnation.id
        );
        state.service_time_percent = Some(percent);
        drop(current);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Marks the backend server as refusing connections: its process has ended, or it exits and only finishes
    /// the requests that it runs.
    pub fn mark_refused(&self, id: &str) {
        let mut current = self.state.borrow_mut();
        let Some(state) = current.as_mut() else {
            return;
        };
        if *state.announced.incarnation.id != *id || state.refuses {
            return;
        }
        state.refuses = true;
        let now = clock::now();
        log::info!(
            "belief backend={id} refuses connections leaving={} ended={} exited={} held={} hold_left_ms={}",
            state.leaving_since.is_some(),
            state.ended,
            state.has_exited(now),
            state.announced.held.len(),
            state.held_until.since(now)
        );
        drop(current);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Marks that the backend server rejected a request as meant for another. It does not hold the keys that
    /// the agent assumed, and gets no further requests until its next announcement states what it holds.
    pub fn mark_disowned(&self, id: &str) {
        let mut current = self.state.borrow_mut();
        let Some(state) = current.as_mut() else {
            return;
        };
        if *state.announced.incarnation.id != *id || state.disowned {
            return;
        }
        log::info!("belief backend={id} rejected a request as meant for another backend server");
        state.disowned = true;
        drop(current);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Records that a request is sent to an incarnation of the backend server, until the result is dropped.
    #[must_use]
    pub fn start_request(
        self: &Rc<Self>,
        incarnation: &BackendIncarnation,
        deadline: Millis,
    ) -> Option<RunningRequest> {
        let mut current = self.state.borrow_mut();
        let ticket = current.as_mut()?.sent.add(incarnation, deadline);
        Some(RunningRequest {
            backend: Rc::clone(self),
            ticket,
            has_ended: false,
        })
    }

    /// Removes a request that has ended, or marks it as abandoned.
    fn end_request(&self, now: Millis, ticket: SentTicket, has_ended: bool) {
        let mut current = self.state.borrow_mut();
        let Some(state) = current.as_mut() else {
            return;
        };
        if has_ended {
            state.sent.remove(ticket);
        } else {
            state.sent.abandon(now, ticket);
        }
        let may_free_keys = state.refuses;
        drop(current);
        if may_free_keys {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    /// Stops the dispatch of requests for good.
    pub fn close(&self) {
        self.is_closed.set(true);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether the dispatch of requests has been stopped.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Whether the backend server has missed too many announcements.
    #[must_use]
    pub fn is_silent(&self, now: Millis) -> bool {
        let limit = self.announce_interval_ms * SILENT_INTERVALS;
        let state = self.state.borrow();
        state
            .as_ref()
            .is_some_and(|state| now.since(state.last_heard) > limit)
    }
}

impl RunningRequest {
    /// Records that the request was answered or not sent, or that the backend server closed its connection.
    pub fn end(mut self) {
        self.has_ended = true;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.backend
            .end_request(clock::now(), self.ticket, self.has_ended);
    }
}

/// The local backend server's state, shared within the agent.
pub type SharedBackend = Rc<LocalBackend>;
