//! Admission control for a backend server that is offered more work than it can finish in time.
//!
//! Requests wait in this queue instead of at the backend server, the most urgent first. A request that
//! would not finish by its deadline is refused at once. Calls made by running requests take precedence
//! over new work, since refusing such a call wastes the run that made it.

use std::collections::BTreeMap;

use jy_types::time::Millis;

use crate::offered::OfferedWork;
use crate::service_time::ServiceTimeMean;

/// Safety factor on the mean service time when the latest start of a request is computed.
const WORK_MARGIN: f64 = 1.3;

/// Share of the slack before its deadline that a request may spend waiting although it will miss its
/// objective.
const LATE_WAIT_SHARE: f64 = 0.1;

/// Lower bound on the expected remaining work of a running request, as a share of its mean work.
const MIN_REMAINING_SHARE: f64 = 0.25;

/// Properties of a request that asks for admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionRequest {
    /// Priority class; zero is the most urgent.
    pub priority: u32,
    /// An answer after this point is late.
    pub objective: Millis,
    /// An answer after this point is useless to the caller.
    pub deadline: Millis,
    /// Expected work, in milliseconds.
    pub work_ms: f64,
}

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
    /// Recently offered work by priority class.
    offered: BTreeMap<u32, ClassWork>,
    waiting: BTreeMap<u64, AdmissionRequest>,
    running: BTreeMap<u64, RunningWork>,
}

/// Recently offered work of one priority class.
#[derive(Clone, Debug, Default)]
struct ClassWork {
    offered: OfferedWork,
    mean: ServiceTimeMean,
}

/// A running request.
#[derive(Clone, Copy, Debug)]
struct RunningWork {
    started: Millis,
    priority: u32,
    work_ms: f64,
}

impl WorkQueue {
    /// Creates a queue for a backend server that runs `slots` requests at once.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            offered: BTreeMap::new(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
        }
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

    /// Queues a request, or refuses it if the requests ahead of it leave it too little time.
    pub fn offer(&mut self, now: Millis, ticket: u64, request: AdmissionRequest) -> Admission {
        let class = self.offered.entry(request.priority).or_default();
        class.offered.add(now, None, request.work_ms);
        class.mean.observe(request.work_ms);
        let rank = rank(now, ticket, &request);
        let ahead_ms: f64 = self
            .waiting
            .iter()
            .filter(|(other, waiting)| self::rank(now, **other, waiting) < rank)
            .map(|(_, waiting)| waiting.work_ms)
            .sum();
        let wait_ms = self.wait_ms(now, &request, ahead_ms);
        if wait_ms > 0.0 && wait_ms > self.max_wait_ms(now, &request) {
            let retry_ms = wait_ms as u64;
            return Admission::Refused { retry_ms };
        }
        self.waiting.insert(ticket, request);
        Admission::Queued
    }

    /// Removes the waiting requests that would be refused if they were offered now, and returns their tickets.
    ///
    /// Requests that came after them have a better rank, so that they would wait until their deadline.
    pub fn refuse_late(&mut self, now: Millis) -> Vec<u64> {
        let mut ranked: Vec<(u64, AdmissionRequest)> = self
            .waiting
            .iter()
            .map(|(ticket, request)| (*ticket, *request))
            .collect();
        ranked.sort_by_key(|(ticket, request)| rank(now, *ticket, request));
        let mut ahead_ms = 0.0;
        let mut refused = Vec::new();
        for (ticket, request) in ranked {
            let wait_ms = self.wait_ms(now, &request, ahead_ms);
            if ahead_ms > 0.0 && wait_ms > self.max_wait_ms(now, &request) {
                self.waiting.remove(&ticket);
                refused.push(ticket);
            } else {
                ahead_ms += request.work_ms;
            }
        }
        refused
    }

    /// Moves the next waiting request to the running ones if a slot is free for it, and returns its ticket.
    pub fn start(&mut self, now: Millis) -> Option<u64> {
        let (ticket, request) = self
            .waiting
            .iter()
            .min_by_key(|(ticket, request)| rank(now, **ticket, request))?;
        if self.free_slots(now, request) == 0 {
            return None;
        }
        let (ticket, priority, work_ms) = (*ticket, request.priority, request.work_ms);
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

    /// Returns the longest useful wait of a request, in milliseconds.
    ///
    /// A request may wait until the latest start that meets its objective, or for a small share of the time
    /// until the latest start that meets its deadline, whichever is longer. Brief urgent work may wait until
    /// the latest start that meets its deadline.
    fn max_wait_ms(&self, now: Millis, request: &AdmissionRequest) -> f64 {
        let padded_work_ms = request.work_ms * WORK_MARGIN;
        let slack_ms = |end: Millis| end.since(now) as f64 - padded_work_ms;
        let mut lower_classes = self.offered.range(request.priority.saturating_add(1)..);
        if lower_classes
            .any(|(_, class)| request.work_ms <= class.mean.mean_ms(0.0) * BRIEF_WORK_RATIO)
        {
            return slack_ms(request.deadline);
        }
        let on_time = slack_ms(request.objective.min(request.deadline));
        on_time.max(slack_ms(request.deadline) * LATE_WAIT_SHARE)
    }

    /// Returns the number of slots that are free for a request, without those reserved for brief work of more
    /// urgent classes.
    fn free_slots(&self, now: Millis, request: &AdmissionRequest) -> u32 {
        let free = self.slots.saturating_sub(self.running());
        let mut higher_classes = self.offered.range(..request.priority);
        let reserves_slots = higher_classes.any(|(_, class)| {
            let is_brief = class.mean.mean_ms(0.0) <= request.work_ms * BRIEF_WORK_RATIO;
            is_brief && class.offered.share(now, 1) >= MIN_BRIEF_LOAD
        });
        if !reserves_slots || self.slots <= 2 * RESERVED_SLOTS {
            return free;
        }
        let is_less_urgent = |work: &&RunningWork| work.priority >= request.priority;
        let less_urgent = self.running.values().filter(is_less_urgent).count();
        let unreserved = (self.slots - RESERVED_SLOTS)
            .saturating_sub(u32::try_from(less_urgent).unwrap_or(u32::MAX));
        unreserved.min(free)
    }

    /// Removes a request, whether it waits or runs.
    pub fn remove(&mut self, ticket: u64) {
        self.waiting.remove(&ticket);
        self.running.remove(&ticket);
    }

    /// Returns the expected wait behind `queued_ms` of queued work, in milliseconds.
    fn wait_ms(&self, now: Millis, request: &AdmissionRequest, queued_ms: f64) -> f64 {
        let is_free = self.free_slots(now, request) > 0;
        if is_free && queued_ms <= 0.0 {
            return 0.0;
        }
        let remaining: f64 = self
            .running
            .values()
            .map(|work| work.remaining_ms(now))
            .sum();
        let slots = f64::from(self.slots);
        // A slot becomes free when the first running request ends, which takes on average the mean remaining
        // work of the running requests divided by their number.
        let next_free_ms = if is_free {
            0.0
        } else {
            remaining / slots / slots
        };
        next_free_ms + queued_ms / slots
    }
}

impl RunningWork {
    /// Returns the expected remaining work, in milliseconds.
    fn remaining_ms(&self, now: Millis) -> f64 {
        let elapsed = now.since(self.started) as f64;
        (self.work_ms - elapsed).max(self.work_ms * MIN_REMAINING_SHARE)
    }
}

/// Returns the sort key for the order in which requests run: by priority, then those that can still meet
/// their objective, then by objective.
fn rank(now: Millis, ticket: u64, request: &AdmissionRequest) -> (u32, bool, Millis, u64) {
    let is_late = now.plus(request.work_ms as u64) > request.objective;
    (request.priority, is_late, request.objective, ticket)
}
