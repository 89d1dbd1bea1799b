//! A backend server offered more than it can do in time.
//!
//! Requests wait here instead of at the backend server, the most urgent first. One that would not be
//! done by its deadline is refused at once. Calls that running requests make come before new work,
//! since a call turned away wastes the run that made it.

use std::collections::BTreeMap;

use jy_types::time::Millis;

use crate::offered::OfferedWork;
use crate::service_time::ServiceTimeMean;

/// A request is admitted if its expected end, with the work taken this much longer than its mean, lies
/// before its deadline.
const WORK_MARGIN: f64 = 1.3;

/// Share of the time that a request has to spare until its deadline for which it may wait though it will be
/// late.
const LATE_WAIT_SHARE: f64 = 0.1;

/// Share of its mean work that a running request is expected to need at least.
const LEAST_REST: f64 = 0.25;

/// What is known of a request that wants to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Class of urgency; zero is the most urgent.
    pub priority: u32,
    /// An answer after this point is late.
    pub objective: Millis,
    /// An answer after this point is of no use.
    pub deadline: Millis,
    /// Expected work, in milliseconds.
    pub work_ms: f64,
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It waits for its turn.
    Queued,
    /// It would not be done in time.
    Refused {
        /// When it would be worth another try, in milliseconds from now.
        retry_ms: u64,
    },
}

/// Slots that are kept for brief urgent work while such work comes.
const KEPT_SLOTS: u32 = 1;

/// Urgent work is brief if it takes at most this share of the work that it would wait for.
const BRIEF_SHARE: f64 = 0.4;

/// Brief urgent work keeps a slot if it asks for at least this share of one.
const BRIEF_USE: f64 = 0.1;

/// Requests at one backend server and those that wait for it.
#[derive(Clone, Debug)]
pub struct WorkQueue {
    slots: u32,
    /// Work that each class of urgency was offered lately.
    offered: BTreeMap<u32, ClassWork>,
    waiting: BTreeMap<u64, AdmissionRequest>,
    running: BTreeMap<u64, RunningWork>,
}

/// Work of one class of urgency.
#[derive(Clone, Debug, Default)]
struct ClassWork {
    offered: OfferedWork,
    mean: ServiceTimeMean,
}

/// A request that runs.
#[derive(Clone, Copy, Debug)]
struct RunningWork {
    started: Millis,
    priority: u32,
    work_ms: f64,
}

impl WorkQueue {
    /// Makes a queue for a backend server that runs `slots` requests at once.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            offered: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
        }
    }

    /// Changes the number of requests that run at once.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Requests that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Requests that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }

    /// Takes in a request, or refuses it if those before it leave it no time.
    pub fn offer(&mut self, now: Millis, ticket: u64, terms: AdmissionRequest) -> Admission {
        let class = self.offered.entry(terms.priority).or_default();
        class.offered.add(now, None, terms.work_ms);
        class.mean.observe(terms.work_ms);
        let rank = rank(now, ticket, &terms);
        let before: f64 = self
            .waiting
            .iter()
            .filter(|(other, waiting)| self::rank(now, **other, waiting) < rank)
            .map(|(_, waiting)| waiting.work_ms)
            .sum();
        let wait_ms = self.wait_ms(now, &terms, before);
        if wait_ms > 0.0 && wait_ms > self.longest_wait_ms(now, &terms) {
            let retry_ms = wait_ms as u64;
            return Admission::Refused { retry_ms };
        }
        self.waiting.insert(ticket, terms);
        Admission::Queued
    }

    /// Takes the next request that may run, if there is a free slot.
    pub fn start(&mut self, now: Millis) -> Option<u64> {
        let (ticket, terms) = self
            .waiting
            .iter()
            .min_by_key(|(ticket, terms)| rank(now, **ticket, terms))?;
        if self.free_slots(now, terms) == 0 {
            return None;
        }
        let (ticket, priority, work_ms) = (*ticket, terms.priority, terms.work_ms);
        self.waiting.remove(&ticket);
        let started = now;
        self.running.insert(
            ticket,
            RunningWork {
                started,
                priority,
                work_ms,
            },
        );
        Some(ticket)
    }

    /// Longest wait that is worth it for a request, in milliseconds: until the last start with which it can
    /// be on time, or a small part of the time until the last one with which it can be done at all. Brief
    /// urgent work may use all that time.
    fn longest_wait_ms(&self, now: Millis, terms: &AdmissionRequest) -> f64 {
        let need_ms = terms.work_ms * WORK_MARGIN;
        let until = |end: Millis| end.since(now) as f64 - need_ms;
        let mut below = self.offered.range(terms.priority.saturating_add(1)..);
        if below.any(|(_, class)| terms.work_ms <= class.mean.mean_ms(0.0) * BRIEF_SHARE) {
            return until(terms.deadline);
        }
        let on_time = until(terms.objective.min(terms.deadline));
        on_time.max(until(terms.deadline) * LATE_WAIT_SHARE)
    }

    /// Slots that are free for work of a class, apart from those kept for brief work of more urgent ones.
    fn free_slots(&self, now: Millis, terms: &AdmissionRequest) -> u32 {
        let free = self.slots.saturating_sub(self.running());
        let mut above = self.offered.range(..terms.priority);
        let is_expected = above.any(|(_, class)| {
            let is_brief = class.mean.mean_ms(0.0) <= terms.work_ms * BRIEF_SHARE;
            is_brief && class.offered.share(now, 1) >= BRIEF_USE
        });
        if !is_expected || self.slots <= 2 * KEPT_SLOTS {
            return free;
        }
        let is_less_urgent = |work: &&RunningWork| work.priority >= terms.priority;
        let less_urgent = self.running.values().filter(is_less_urgent).count();
        let left = (self.slots - KEPT_SLOTS)
            .saturating_sub(u32::try_from(less_urgent).unwrap_or(u32::MAX));
        left.min(free)
    }

    /// Forgets a request, whether it waited or ran.
    pub fn remove(&mut self, ticket: u64) {
        self.waiting.remove(&ticket);
        self.running.remove(&ticket);
    }

    /// Expected wait behind some waiting work, in milliseconds.
    fn wait_ms(&self, now: Millis, terms: &AdmissionRequest, before_ms: f64) -> f64 {
        let is_free = self.free_slots(now, terms) > 0;
        if is_free && before_ms <= 0.0 {
            return 0.0;
        }
        let rest: f64 = self.running.values().map(|work| work.rest_ms(now)).sum();
        let slots = f64::from(self.slots);
        // A slot comes free when the first of the running requests ends, on the mean after the rest of
        // one of them divided by their number.
        let first_free = if is_free { 0.0 } else { rest / slots / slots };
        first_free + before_ms / slots
    }
}

impl RunningWork {
    /// Work that is expected to be left.
    fn rest_ms(&self, now: Millis) -> f64 {
        let elapsed = now.since(self.started) as f64;
        (self.work_ms - elapsed).max(self.work_ms * LEAST_REST)
    }
}

/// Order in which requests run: by urgency, those first that can still be on time, by objective.
fn rank(now: Millis, ticket: u64, terms: &AdmissionRequest) -> (u32, bool, Millis, u64) {
    let is_late = now.plus(terms.work_ms as u64) > terms.objective;
    (terms.priority, is_late, terms.objective, ticket)
}
