//! The backend server beside the agent: its announcements, and the keys that it is granted.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use jy_ranges::table::KeyRange;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendPhase;
use jy_types::endpoint::GrantReply;
use jy_types::endpoint::GrantedRange;
use jy_types::endpoint::HeldRange;
use jy_types::endpoint::ListedBackend;
use jy_types::endpoint::ReleasedRange;
use jy_types::name::Name;
use jy_types::time::Millis;
use tokio::sync::watch;

use crate::member::AUTHORITY_MARGIN_MS;

/// Keys are held for this many announcements, so that a restart of the agent does not end the hold.
const HOLD_ANNOUNCEMENTS: u64 = 4;
/// A backend server's clock may run this much slower than the agent's.
const SLOW_CLOCK: f64 = 1.02;
/// Without an announcement for this many periods a backend server counts as silent.
const SILENT_ANNOUNCEMENTS: u64 = 4;
/// An announcement may be on its way for this long, in milliseconds; the platform allows a second for
/// its answer.
const ANNOUNCE_DELAY_MS: u64 = 1_000;

/// A backend server that has announced itself.
#[derive(Clone, Debug)]
pub struct BackendState {
    /// Its newest announcement.
    pub announced: Announcement,
    /// When that came.
    pub last_heard: Millis,
    /// Whether it refuses connections since then.
    pub refuses: bool,
    /// Whether it said that it ends.
    pub ended: bool,
    /// Whether it rejected a request as meant for another since then.
    pub disowned: bool,
    /// The ranges of the newest grant.
    pub granted: Vec<HeldRange>,
    /// Until when it holds them at the longest.
    pub held_until: Millis,
    /// Ranges that it has released, with what it left for the next holder.
    pub freed: Vec<ReleasedRange>,
}

/// What became of an announcement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// It is taken in; the grant answers it.
    Taken(Option<GrantReply>),
    /// It is older than what is known.
    Outdated,
    /// It is not that of the backend server beside the agent.
    Foreign,
}

/// What the agent knows of the backend server beside it.
pub struct LocalBackend {
    node: Name,
    state: RefCell<Option<BackendState>>,
    began: Millis,
    longest_grant_ms: u64,
    period_ms: u64,
    is_closed: Cell<bool>,
    changes: watch::Sender<u64>,
}

impl LocalBackend {
    /// Makes the state of an agent that has heard nothing yet.
    #[must_use]
    pub fn new(node: Name, began: Millis, longest_grant_ms: u64, period_ms: u64) -> Self {
        Self {
            node,
            state: RefCell::new(None),
            began,
            longest_grant_ms,
            period_ms,
            is_closed: Cell::new(false),
            changes: watch::Sender::new(0),
        }
    }

    /// Tells of every change.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Reads the state.
    pub fn read<T>(&self, look: impl FnOnce(Option<&BackendState>) -> T) -> T {
        look(self.state.borrow().as_ref())
    }

    /// Returns who holds keys here.
    #[must_use]
    pub fn owner(&self) -> Option<RangeOwner> {
        let state = self.state.borrow();
        let state = state.as_ref()?;
        Some(RangeOwner {
            node: Name::clone(&self.node),
            incarnation: state.announced.incarnation.clone(),
        })
    }

    /// Returns what the agent's record says of the backend server.
    #[must_use]
    pub fn listed(&self) -> Option<ListedBackend> {
        let state = self.state.borrow();
        let state = state.as_ref().filter(|state| state.is_alive())?;
        Some(ListedBackend {
            incarnation: state.announced.incarnation.clone(),
            service: Name::clone(&state.announced.service),
            slots: state.announced.slots,
            phase: state.announced.phase,
        })
    }

    /// Whether the agent has run too short a time to have heard an announcement.
    #[must_use]
    pub fn is_starting(&self, now: Millis) -> bool {
        let first = self.period_ms + ANNOUNCE_DELAY_MS;
        self.state.borrow().is_none() && now.since(self.began) < first
    }

    /// Takes in an announcement and grants keys of `ranges` until `authority`.
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
        let mut slot = self.state.borrow_mut();
        if let Some(state) = slot.as_ref()
            && state.is_newer_than(&announced)
        {
            return AnnounceOutcome::Outdated;
        }
        let is_same_incarnation = slot
            .as_ref()
            .is_some_and(|state| state.announced.incarnation == announced.incarnation);
        let is_change = slot
            .as_ref()
            .is_none_or(|state| state.changes_by(&announced));
        if !is_same_incarnation {
            log::info!(
                "belief backend={} born={} service={} state={:?} cold_ms={}",
                announced.incarnation.id,
                announced.incarnation.started_at,
                announced.service,
                announced.phase,
                announced.cold_ms
            );
            *slot = None;
        } else if is_change {
            log::info!(
                "belief backend={} state={:?} sequence={}",
                announced.incarnation.id,
                announced.phase,
                announced.sequence
            );
        }
        let state = slot.get_or_insert_with(|| BackendState {
            announced: announced.clone(),
            last_heard: now,
            refuses: false,
            ended: false,
            disowned: false,
            granted: Vec::new(),
            held_until: now.plus(self.longest_grant_ms),
            freed: Vec::new(),
        });
        state.freed.extend(announced.freed.iter().cloned());
        state.announced = announced;
        state.last_heard = now;
        state.refuses = false;
        state.disowned = false;
        let owner = RangeOwner {
            node: Name::clone(&self.node),
            incarnation: state.announced.incarnation.clone(),
        };
        let reply = ranges.and_then(|table| self.grant(now, table, &owner, authority));
        if let Some(reply) = &reply {
            state.granted = reply.ranges.iter().map(held).collect();
            // What is held again will be released anew, with another text.
            let is_held = |freed: &ReleasedRange| {
                let mut ranges = reply.ranges.iter();
                ranges.any(|range| range.first <= freed.last && freed.first <= range.last)
            };
            state.freed.retain(|freed| !is_held(freed));
            let hold = (reply.grant_ms as f64 * SLOW_CLOCK).ceil() as u64;
            state.held_until = now.plus(hold);
        }
        drop(slot);
        self.changes.send_modify(|count| *count += 1);
        AnnounceOutcome::Taken(reply)
    }

    /// Grants the ranges that an owner keeps.
    fn grant(
        &self,
        now: Millis,
        table: &RangeTable,
        owner: &RangeOwner,
        authority: Millis,
    ) -> Option<GrantReply> {
        let left = authority.since(now.plus(AUTHORITY_MARGIN_MS));
        let most = (self.period_ms * HOLD_ANNOUNCEMENTS).min(self.longest_grant_ms);
        let grant_ms = ((left as f64 / SLOW_CLOCK) as u64).min(most);
        if grant_ms < self.period_ms {
            return None;
        }
        let keeps = |range: &&KeyRange| range.next.is_none();
        let granted = |range: &KeyRange| GrantedRange {
            first: range.first,
            last: range.last,
            fence: range.fence,
            handover: Name::clone(&range.handover),
        };
        let ranges = table.owned(owner).filter(keeps).map(granted).collect();
        Some(GrantReply { ranges, grant_ms })
    }

    /// Takes in that the backend server ends.
    pub fn end(&self, id: &str) {
        let mut slot = self.state.borrow_mut();
        let Some(state) = slot.as_mut() else {
            return;
        };
        if *state.announced.incarnation.id == *id {
            log::info!("belief backend={id} ends");
            state.ended = true;
        }
        drop(slot);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Takes in that the backend server refuses connections: its process is gone.
    pub fn refused(&self, id: &str) {
        let mut slot = self.state.borrow_mut();
        let Some(state) = slot.as_mut() else {
            return;
        };
        if *state.announced.incarnation.id != *id || state.refuses {
            return;
        }
        log::info!("belief backend={id} refuses connections");
        state.refuses = true;
        drop(slot);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Takes in that the backend server rejected a request as meant for another: it does not hold what it
    /// was believed to hold, and gets nothing more until it says what it holds.
    pub fn disowned(&self, id: &str) {
        let mut slot = self.state.borrow_mut();
        let Some(state) = slot.as_mut() else {
            return;
        };
        if *state.announced.incarnation.id != *id || state.disowned {
            return;
        }
        log::info!("belief backend={id} rejects requests as meant for another");
        state.disowned = true;
        drop(slot);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Stops all dispatches.
    pub fn close(&self) {
        self.is_closed.set(true);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Whether no request may be dispatched any more.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Whether the backend server has been silent for too long.
    #[must_use]
    pub fn is_silent(&self, now: Millis) -> bool {
        let limit = self.period_ms * SILENT_ANNOUNCEMENTS;
        let state = self.state.borrow();
        state
            .as_ref()
            .is_some_and(|state| now.since(state.last_heard) > limit)
    }
}

impl BackendState {
    /// Whether the process lives, as far as is known.
    #[must_use]
    pub const fn is_alive(&self) -> bool {
        !self.refuses && !self.ended
    }

    /// Whether it takes new work.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_alive() && !self.disowned && self.announced.phase == BackendPhase::Serving
    }

    /// Whether it holds a key, as far as is known.
    #[must_use]
    pub fn holds(&self, now: Millis, key: u16) -> bool {
        let contains = |range: &HeldRange| range.first <= key && key <= range.last;
        let is_granted = self.granted.iter().any(contains) && now < self.held_until;
        is_granted || (self.granted.is_empty() && self.announced.held.iter().any(contains))
    }

    /// Whether it has released a range, or can't hold it any longer.
    #[must_use]
    pub fn is_free(&self, now: Millis, range: &KeyRange) -> bool {
        if self.refuses || now >= self.held_until {
            return true;
        }
        let overlaps = |held: &HeldRange| held.first <= range.last && range.first <= held.last;
        !self.granted.iter().any(overlaps) && !self.announced.held.iter().any(overlaps)
    }

    /// Whether this is newer than an announcement.
    fn is_newer_than(&self, announced: &Announcement) -> bool {
        let own = &self.announced;
        if own.incarnation.started_at != announced.incarnation.started_at {
            return own.incarnation.started_at > announced.incarnation.started_at;
        }
        own.incarnation.id == announced.incarnation.id
            && (self.ended || own.sequence >= announced.sequence)
    }

    /// Whether an announcement changes what others need to know.
    fn changes_by(&self, announced: &Announcement) -> bool {
        self.announced.incarnation != announced.incarnation
            || self.announced.phase != announced.phase
            || self.announced.slots != announced.slots
            || self.announced.service != announced.service
            || !self.is_alive()
    }
}

/// Turns a grant into what is held after it.
fn held(range: &GrantedRange) -> HeldRange {
    HeldRange {
        first: range.first,
        last: range.last,
        fence: range.fence,
    }
}

/// The local backend server, shared by the parts of the agent.
pub type SharedBackend = Rc<LocalBackend>;
