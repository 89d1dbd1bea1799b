//! Admission control for a backend server that is offered more work than it can finish in time.
//!
//! Requests wait in this queue instead of at the backend server, the most urgent first. A request that
//! would not finish by its deadline is refused at once. One that would be late waits behind those that would not, if
//! they leave capacity for it (see [`crate::forecast`]). Calls made by running requests take precedence
//! over new work, since refusing such a call wastes the run that made it. Tenants of one priority share the
//! capacity, and those of a low priority are not starved (see [`crate::shares`]).

use std::collections::BTreeMap;

use jy_types::time::Millis;

use crate::forecast::CapacityForecast;
use crate::offered::OfferedWork;
use crate::places::RetryPlaces;
use crate::places::ReturnWindow;
use crate::service_time::ServiceTimeMean;
use crate::shares::TenantShares;

mod request;

pub use request::AdmissionRequest;

/// Safety factor on the mean service time when the latest start of a request is computed.
const WORK_MARGIN: f64 = 1.3;

/// Share of the slack before its deadline that a request may spend waiting although it will miss its
/// objective, if its time limit leaves no room for a forecast or there is none.
const LATE_WAIT_SHARE: f64 = 0.1;

/// Longest forecast wait of a late request, as a share of the slack before its deadline. If the forecast turns out
/// to be wrong, the caller still has time for another attempt.
const FORECAST_WAIT_SHARE: f64 = 0.6;

/// Callers ignore a retry delay above this share of their time left.
const MAX_RETRY_SHARE: f64 = 1.0 / 3.0;

/// Lower bound on the expected remaining work of a running request, as a share of its mean work.
const MIN_REMAINING_SHARE: f64 = 0.25;

/// A running request that has taken more than this multiple of its mean work is expected to take as long again. The
/// backend server may have stopped.
const OVERDUE_RATIO: f64 = 4.0;

/// Outcome of offering a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request waits for a slot.
    Queued,
    /// The request would not finish in time.
    Refused {
        /// Time after which a retry may be accepted, in milliseconds from now.
        retry_ms: u64,
    },
}

/// What a request has to wait behind, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitReport {
    /// Waiting work of the request's class and of more urgent ones, in milliseconds.
    pub backlog_ms: u64,
    /// Share of the capacity that on-time work of these classes leaves free, in percent; `None` if it is not known yet.
    pub free_percent: Option<u32>,
    /// How far its tenant exceeds its share: 0 if it does not, else one more for each doubling.
    pub tenant_level: u8,
}

/// Slots that are reserved for brief urgent work while such work arrives.
const RESERVED_SLOTS: u32 = 1;

/// Urgent work is brief if its service time is at most this share of that of the work it would wait for.
const BRIEF_WORK_RATIO: f64 = 0.4;

/// Slots are reserved only if the recently offered brief urgent work fills at least this share of one slot.
const MIN_BRIEF_LOAD: f64 = 0.1;

/// Requests that run at one backend server or wait for it.
#[derive(Clone, Debug)]
pub struct WorkQueue {
    slots: u32,
    /// Recently offered work by class.
    offered: BTreeMap<u32, ClassWork>,
    /// Waiting requests, most often in order of rank: sorting them again then takes linear time.
    waiting: Vec<WaitingWork>,
    running: BTreeMap<u64, RunningWork>,
    /// Number of running requests that have ended.
    ended: u64,
    shares: TenantShares,
    forecast: CapacityForecast,
    places: RetryPlaces,
    /// Whether late requests may wait and refused callers get places.
    is_forecasting: bool,
}

/// A waiting request.
#[derive(Clone, Debug)]
struct WaitingWork {
    request: AdmissionRequest,
    ticket: u64,
    /// Class of the request, or the class of more urgent requests among which it is protected.
    class: u32,
    /// Id of its tenant in the shares.
    tenant: Option<usize>,
    /// Whether the request goes before others because its tenant is starved.
    is_protected: bool,
    /// Whether the request may wait for a late answer.
    has_room: bool,
    /// Whether the request waits although it will be late.
    waits_late: bool,
    /// Number of ended requests when the request was queued, or when its wait was last extended.
    ended_before: u64,
    rank: WorkRank,
}

/// Position in the order in which requests run: by class, then those that can still meet their objective, then
/// by how far their tenants exceed their shares, then by objective. Late requests of tenants go by the caller's first
/// attempt instead.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
struct WorkRank {
    class: u32,
    is_unprotected: bool,
    is_late: bool,
    level: u8,
    due: Millis,
    ticket: u64,
}

/// Recently offered work of one class.
#[derive(Clone, Debug, Default)]
struct ClassWork {
    offered: OfferedWork,
    mean: ServiceTimeMean,
}

/// A running request.
#[derive(Clone, Copy, Debug)]
struct RunningWork {
    started: Millis,
    class: u32,
    work_ms: f64,
}

impl WorkQueue {
    /// Creates a queue for a backend server that runs `slots` requests at once.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            offered: BTreeMap::new(),
            waiting: Vec::new(),
            running: BTreeMap::new(),
            ended: 0,
            shares: TenantShares::new(),
            forecast: CapacityForecast::new(),
            places: RetryPlaces::new(),
            is_forecasting: true,
        }
    }

    /// Sets whether late requests may wait for capacity that on-time work leaves free, and whether refused callers get
    /// places in it.
    pub fn set_forecasting(&mut self, is_forecasting: bool) {
        self.is_forecasting = is_forecasting;
    }

    /// Whether a request that arrives at `offered_at` may wait for a late answer, see
    /// [`AdmissionRequest::leaves_room`].
    #[must_use]
    pub fn leaves_room(&self, offered_at: Millis, request: &AdmissionRequest) -> bool {
        self.is_forecasting && request.leaves_room(offered_at)
    }

    /// Sets the number of requests that run at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Returns the number of running requests.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests that wait although they will be late.
    #[must_use]
    pub fn waiting_late(&self) -> u32 {
        let late = self.waiting.iter().filter(|work| work.waits_late).count();
        u32::try_from(late).unwrap_or(u32::MAX)
    }

    /// Returns what a request has to wait behind.
    #[must_use]
    pub fn report(&self, now: Millis, request: &AdmissionRequest) -> WaitReport {
        let class = class_of(request);
        let free_share = self.forecast.free_share(now, class);
        WaitReport {
            backlog_ms: self.backlog_ms(class) as u64,
            free_percent: free_share.map(|share| (share * 100.0) as u32),
            tenant_level: self.shares.level(self.shares.find(request.tenant.as_ref())),
        }
    }

    /// Returns the waiting work of a class and of more urgent ones, in milliseconds.
    fn backlog_ms(&self, class: u32) -> f64 {
        let ahead = self.waiting.iter().filter(|work| work.class <= class);
        ahead.map(|work| work.request.work_ms).sum()
    }

    /// Queues a request, or refuses it if the requests ahead of it leave it too little time.
    pub fn offer(&mut self, now: Millis, ticket: u64, request: AdmissionRequest) -> Admission {
        let class = class_of(&request);
        let class_work = self.offered.entry(class).or_default();
        class_work.offered.add(now, None, request.work_ms);
        class_work.mean.observe(request.work_ms);
        let tenant = if request.is_call {
            None
        } else {
            let tenant = request.tenant.as_ref();
            self.shares.record_offered(now, self.slots, class, tenant)
        };
        let has_room = self.leaves_room(now, &request);
        let mut work = WaitingWork {
            request,
            ticket,
            class,
            tenant,
            is_protected: false,
            has_room,
            waits_late: false,
            ended_before: self.ended,
            rank: WorkRank::default(),
        };
        let wait_ms = self.rank_and_wait_ms(now, &mut work);
        let is_on_time = !work.rank.is_late && self.is_wait_useful(now, &work, wait_ms);
        let on_time_ms = if is_on_time {
            work.request.work_ms
        } else {
            0.0
        };
        self.forecast.record(now, self.slots, class, on_time_ms);
        if self.is_wait_useful(now, &work, wait_ms)
            || self.wait_late(now, &mut work)
            || self.protect_in_time(now, &mut work)
        {
            self.waiting.push(work);
            return Admission::Queued;
        }
        let place_ms = if has_room {
            self.assign_retry(now, &work.request)
        } else {
            None
        };
        let retry_ms = place_ms.unwrap_or(wait_ms as u64);
        Admission::Refused { retry_ms }
    }

    /// Assigns the caller of a refused request a place in the capacity that is expected to be free, and returns the time
    /// until then in milliseconds; `None` if there is no forecast.
    ///
    /// Only requests that left room when they were offered get one, see [`AdmissionRequest::leaves_room`].
    pub fn assign_retry(&mut self, now: Millis, request: &AdmissionRequest) -> Option<u64> {
        let class = class_of(request);
        let free_share = self.forecast.free_share(now, class)?;
        let free_slots = f64::from(self.slots) * free_share;
        let longest_ms = request.deadline.since(now) as f64 * MAX_RETRY_SHARE;
        let window = ReturnWindow {
            earliest: now.plus((self.backlog_ms(class) / free_slots) as u64),
            latest: now.plus(longest_ms as u64),
        };
        let spacing_ms = request.work_ms / free_slots;
        let place = self.places.assign(now, class, window, spacing_ms);
        Some(place.since(now))
    }

    /// Removes the waiting requests that would be refused if they were offered now, and returns their tickets.
    ///
    /// Requests that came after them have a better rank, so that they would wait until their deadline.
    pub fn refuse_late(&mut self, now: Millis) -> Vec<u64> {
        let mut waiting = std::mem::take(&mut self.waiting);
        for work in &mut waiting {
            work.rank = self.rank(now, work);
        }
        waiting.sort_by_key(|work| work.rank);
        let remaining_ms = self.remaining_ms(now);
        let mut totals_ms: BTreeMap<u32, f64> = BTreeMap::new();
        let mut total_ms = 0.0;
        for work in &waiting {
            total_ms += work.request.work_ms;
            totals_ms.insert(work.class, total_ms);
        }
        let mut ahead_ms = 0.0;
        let mut refused = Vec::new();
        waiting.retain_mut(|work| {
            let wait_ms = self.wait_ms(now, work, ahead_ms, remaining_ms);
            if ahead_ms <= 0.0
                || self.is_wait_useful(now, work, wait_ms)
                || self.becomes_late(now, work, remaining_ms, &totals_ms)
                || self.protect(now, work)
            {
                ahead_ms += work.request.work_ms;
                return true;
            }
            if work.is_protected {
                self.shares.return_credit(work.tenant);
            }
            refused.push(work.ticket);
            false
        });
        self.waiting = waiting;
        refused
    }

    /// Moves the next waiting request to the running ones if a slot is free for it, and returns its ticket.
    pub fn start(&mut self, now: Millis) -> Option<u64> {
        let ranks = self.waiting.iter().map(|work| self.rank(now, work));
        let (index, _) = ranks.enumerate().min_by_key(|(_, rank)| *rank)?;
        let next = self.waiting.get(index)?;
        if self.free_slots(now, next) == 0 {
            return None;
        }
        let work = self.waiting.remove(index);
        let work_ms = work.request.work_ms;
        if !work.request.is_call {
            self.shares
                .record_started(now, work.tenant, work_ms, work.is_protected);
        }
        self.running.insert(
            work.ticket,
            RunningWork {
                started: now,
                class: work.class,
                work_ms,
            },
        );
        Some(work.ticket)
    }

    /// Returns the position of a request in the order in which requests run.
    fn rank(&self, now: Millis, work: &WaitingWork) -> WorkRank {
        let request = &work.request;
        let is_late = work.waits_late || now.plus(request.work_ms as u64) > request.objective;
        let goes_by_age = is_late && work.tenant.is_some();
        WorkRank {
            class: work.class,
            is_unprotected: !work.is_protected,
            is_late,
            level: self.shares.level(work.tenant),
            due: if goes_by_age {
                request.first_sent
            } else {
                request.objective
            },
            ticket: work.ticket,
        }
    }

    /// Sets the rank of a request that is not queued yet, and returns its expected wait in milliseconds.
    fn rank_and_wait_ms(&self, now: Millis, work: &mut WaitingWork) -> f64 {
        work.rank = self.rank(now, work);
        let ahead = self
            .waiting
            .iter()
            .filter(|other| self.rank(now, other) < work.rank);
        let ahead_ms = ahead.map(|other| other.request.work_ms).sum();
        self.wait_ms(now, work, ahead_ms, self.remaining_ms(now))
    }

    /// Whether a request may wait for the given time.
    fn is_wait_useful(&self, now: Millis, work: &WaitingWork, wait_ms: f64) -> bool {
        if work.waits_late && !work.is_protected {
            return wait_ms <= 0.0 || self.is_late_wait_useful(now, work, wait_ms);
        }
        wait_ms <= 0.0 || wait_ms <= self.max_wait_ms(now, work)
    }

    /// Whether a late request may wait behind work that takes the whole capacity for `wait_ms`.
    fn is_late_wait_useful(&self, now: Millis, work: &WaitingWork, wait_ms: f64) -> bool {
        let free_share = self.forecast.free_share(now, work.class);
        let free_share = free_share.filter(|_| work.has_room).unwrap_or(0.0);
        let max_wait_ms = slack_ms(now, work.request.deadline, &work.request) * FORECAST_WAIT_SHARE;
        wait_ms < max_wait_ms * free_share
    }

    /// Lets a request that cannot be on time wait behind all that can, if it is then served before its deadline.
    /// Returns whether it is.
    fn wait_late(&self, now: Millis, work: &mut WaitingWork) -> bool {
        if !work.has_room {
            return false;
        }
        work.waits_late = true;
        let wait_ms = self.rank_and_wait_ms(now, work);
        self.is_late_wait_useful(now, work, wait_ms)
    }

    /// Lets a waiting request that can no longer be on time wait behind all that can, given the work of each class
    /// and the more urgent ones. Returns whether it is then served before its deadline.
    fn becomes_late(
        &self,
        now: Millis,
        work: &mut WaitingWork,
        remaining_ms: f64,
        totals_ms: &BTreeMap<u32, f64>,
    ) -> bool {
        if !work.has_room || work.waits_late {
            return false;
        }
        work.waits_late = true;
        let total_ms = totals_ms.get(&work.class).copied().unwrap_or_default();
        let ahead_ms = total_ms - work.request.work_ms;
        let wait_ms = self.wait_ms(now, work, ahead_ms, remaining_ms);
        self.is_late_wait_useful(now, work, wait_ms)
    }

    /// Extends the wait of a waiting request, if the forecast says that it will start in time, and returns its new end.
    ///
    /// Since its wait began or was last extended, some running request must have ended: the forecast does not notice
    /// that the backend server has stopped.
    #[must_use]
    pub fn wait_longer(&mut self, now: Millis, ticket: u64) -> Option<Millis> {
        let index = self.waiting.iter().position(|work| work.ticket == ticket)?;
        let mut work = self.waiting.get(index)?.clone();
        if work.ended_before == self.ended {
            return None;
        }
        let wait_ms = self.rank_and_wait_ms(now, &mut work);
        let slack_ms = slack_ms(now, work.request.deadline, &work.request);
        if slack_ms < 1.0 || !self.is_late_wait_useful(now, &work, wait_ms) {
            return None;
        }
        self.waiting.get_mut(index)?.ended_before = self.ended;
        Some(now.plus((slack_ms * FORECAST_WAIT_SHARE) as u64))
    }

    /// Lets a request that would be refused go before others if its tenant is starved and the request is then
    /// served before its deadline. Returns whether it is.
    fn protect_in_time(&mut self, now: Millis, work: &mut WaitingWork) -> bool {
        if !self.protect(now, work) {
            return false;
        }
        let wait_ms = self.rank_and_wait_ms(now, work);
        let is_in_time = self.is_wait_useful(now, work, wait_ms);
        if !is_in_time {
            self.shares.return_credit(work.tenant);
        }
        is_in_time
    }

    /// Lets a request that would be refused go before others if its tenant is starved. Returns whether it is.
    fn protect(&mut self, now: Millis, work: &mut WaitingWork) -> bool {
        let is_in_time = slack_ms(now, work.request.deadline, &work.request) > 0.0;
        if work.is_protected || !is_in_time || !self.shares.take_credit(work.tenant) {
            return false;
        }
        work.is_protected = true;
        work.class = self.shares.most_urgent_class(now, work.class);
        true
    }

    /// Returns the longest useful wait of a request, in milliseconds.
    ///
    /// A request may wait until the latest start that meets its objective, or, without a forecast for late ones, for
    /// a small share of the time until the latest start that meets its deadline if that is longer. Calls, brief urgent work and requests
    /// of starved tenants may wait until the latest start that meets the deadline.
    fn max_wait_ms(&self, now: Millis, work: &WaitingWork) -> f64 {
        let request = &work.request;
        let until_deadline_ms = slack_ms(now, request.deadline, request);
        let mut lower_classes = self.offered.range(work.class.saturating_add(1)..);
        if request.is_call
            || work.is_protected
            || lower_classes
                .any(|(_, class)| request.work_ms <= class.mean.mean_ms(0.0) * BRIEF_WORK_RATIO)
        {
            return until_deadline_ms;
        }
        let on_time_ms = slack_ms(now, request.objective.min(request.deadline), request);
        if work.has_room && self.forecast.free_share(now, work.class).is_some() {
            return on_time_ms;
        }
        on_time_ms.max(until_deadline_ms * LATE_WAIT_SHARE)
    }

    /// Returns the number of slots that are free for a request, without those reserved for brief work of more
    /// urgent classes.
    fn free_slots(&self, now: Millis, work: &WaitingWork) -> u32 {
        let free = self.slots.saturating_sub(self.running());
        let mut higher_classes = self.offered.range(..work.class);
        let reserves_slots = higher_classes.any(|(_, class)| {
            let is_brief = class.mean.mean_ms(0.0) <= work.request.work_ms * BRIEF_WORK_RATIO;
            is_brief && class.offered.share(now, 1) >= MIN_BRIEF_LOAD
        });
        if !reserves_slots || self.slots <= 2 * RESERVED_SLOTS {
            return free;
        }
        let is_less_urgent = |running: &&RunningWork| running.class >= work.class;
        let less_urgent = self.running.values().filter(is_less_urgent).count();
        let unreserved = (self.slots - RESERVED_SLOTS)
            .saturating_sub(u32::try_from(less_urgent).unwrap_or(u32::MAX));
        unreserved.min(free)
    }

    /// Removes a request, whether it waits or runs.
    pub fn remove(&mut self, ticket: u64) {
        if self.running.remove(&ticket).is_some() {
            self.ended += 1;
            return;
        }
        let index = self.waiting.iter().position(|work| work.ticket == ticket);
        if let Some(index) = index {
            let work = self.waiting.remove(index);
            if work.is_protected {
                self.shares.return_credit(work.tenant);
            }
        }
    }

    /// Returns the expected remaining work of all running requests, in milliseconds.
    fn remaining_ms(&self, now: Millis) -> f64 {
        let remaining = self.running.values().map(|work| work.remaining_ms(now));
        remaining.sum()
    }

    /// Returns the expected wait behind `queued_ms` of queued work, in milliseconds, while the running requests
    /// have `remaining_ms` of work left.
    fn wait_ms(&self, now: Millis, work: &WaitingWork, queued_ms: f64, remaining_ms: f64) -> f64 {
        let is_free = self.free_slots(now, work) > 0;
        if is_free && queued_ms <= 0.0 {
            return 0.0;
        }
        let slots = f64::from(self.slots);
        // A slot becomes free when the first running request ends, which takes on average the mean remaining
        // work of the running requests divided by their number.
        let next_free_ms = if is_free {
            0.0
        } else {
            remaining_ms / slots / slots
        };
        next_free_ms + queued_ms / slots
    }
}

impl RunningWork {
    /// Returns the expected remaining work, in milliseconds.
    fn remaining_ms(&self, now: Millis) -> f64 {
        let elapsed = now.since(self.started) as f64;
        if elapsed > self.work_ms * OVERDUE_RATIO {
            return elapsed;
        }
        (self.work_ms - elapsed).max(self.work_ms * MIN_REMAINING_SHARE)
    }
}

/// Returns the class of a request: zero for calls, else one more than its priority.
const fn class_of(request: &AdmissionRequest) -> u32 {
    if request.is_call {
        0
    } else {
        request.priority.saturating_add(1)
    }
}

/// Returns the time until the latest start of a request that ends by `end`, in milliseconds; below zero if it has
/// passed.
fn slack_ms(now: Millis, end: Millis, request: &AdmissionRequest) -> f64 {
    end.since(now) as f64 - request.work_ms * WORK_MARGIN
}
