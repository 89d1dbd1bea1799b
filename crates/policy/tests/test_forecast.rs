//! Late requests at a gate whose on-time work leaves some of the capacity free, or none.

use googletest::prelude::*;
use jy_policy::admission::Admission;
use jy_policy::admission::AdmissionRequest;
use jy_policy::admission::WorkQueue;
use jy_types::time::Millis;

const SLOTS: u32 = 2;
const WORK_MS: u64 = 100;
const OBJECTIVE_MS: u64 = 500;
const LIMIT_MS: u64 = 2_500;

/// Creates a request that arrives now and could be on time.
fn request(now: Millis) -> AdmissionRequest {
    AdmissionRequest {
        tenant: None,
        is_call: false,
        priority: 2,
        first_sent: now,
        objective: now.plus(OBJECTIVE_MS),
        deadline: now.plus(LIMIT_MS),
        work_ms: WORK_MS as f64,
    }
}

/// A queue whose started requests end after [`WORK_MS`].
struct PlayedQueue {
    queue: WorkQueue,
    running: Vec<(Millis, u64)>,
    next_ticket: u64,
    started: Vec<u64>,
    /// Waiting requests that were refused.
    refused: Vec<u64>,
}

impl PlayedQueue {
    fn new() -> Self {
        Self {
            queue: WorkQueue::new(SLOTS),
            running: Vec::new(),
            next_ticket: 0,
            started: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Offers a request and returns its ticket if it is queued.
    fn offer(&mut self, now: Millis, request: AdmissionRequest) -> Option<u64> {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let admission = self.queue.offer(now, ticket, request);
        let is_queued = admission == Admission::Queued;
        self.refused.extend(self.queue.refuse_late(now));
        is_queued.then_some(ticket)
    }

    /// Ends and starts requests at one point in time.
    fn step(&mut self, now: Millis) {
        let queue = &mut self.queue;
        self.running.retain(|(end, ticket)| {
            if *end <= now {
                queue.remove(*ticket);
            }
            *end > now
        });
        while let Some(ticket) = queue.start(now) {
            self.running.push((now.plus(WORK_MS), ticket));
            self.started.push(ticket);
        }
    }

    /// Offers a request every `gap_ms` from `from` to `to`.
    fn play(&mut self, from: u64, to: u64, gap_ms: u64) {
        for now in (from..to).map(Millis) {
            if now.0 % gap_ms == 0 {
                self.offer(now, request(now));
            }
            self.step(now);
        }
    }
}

/// Creates a queue that has run at half its capacity for five seconds, with four on-time requests waiting.
fn half_used_queue() -> PlayedQueue {
    let mut played = PlayedQueue::new();
    played.play(0, 5_000, WORK_MS);
    for _ in 0..6 {
        played.offer(Millis(5_000), request(Millis(5_000)));
    }
    played.step(Millis(5_000));
    played
}

/// Guards against refusing a request although capacity for a late answer is left, and against starting it before
/// those that can be on time.
#[gtest]
fn offer_late_request_waits_for_free_capacity() {
    let mut played = half_used_queue();
    let late = AdmissionRequest {
        objective: Millis(5_050),
        ..request(Millis(5_000))
    };
    let ticket = played.offer(Millis(5_000), late).expect("it is queued");
    played.play(5_001, 6_000, WORK_MS);
    expect_that!(played.started, contains(eq(&ticket)));
    expect_that!(
        played.started.iter().rposition(|started| *started < ticket),
        lt(played.started.iter().position(|started| *started == ticket)),
        "after those that waited before it"
    );
}

/// Guards against late requests that wait although work that is on time fills the capacity.
#[gtest]
fn offer_late_request_without_free_capacity_is_refused() {
    let mut played = PlayedQueue::new();
    played.play(0, 5_000, WORK_MS / 3);
    let late = AdmissionRequest {
        objective: Millis(5_050),
        ..request(Millis(5_000))
    };
    expect_that!(played.offer(Millis(5_000), late), none());
}

/// Guards against a change for callers whose time limit is less than three times their objective.
#[gtest]
fn offer_late_request_with_short_limit_is_refused() {
    let mut played = half_used_queue();
    let short = AdmissionRequest {
        objective: Millis(5_110),
        deadline: Millis(5_329),
        ..request(Millis(5_000))
    };
    let room = AdmissionRequest {
        deadline: Millis(7_500),
        ..short.clone()
    };
    expect_that!(played.offer(Millis(5_000), short), none());
    expect_that!(played.offer(Millis(5_000), room), some(anything()));
}

/// Guards against callers that lose their last attempt to a wrong forecast: on-time work grows to three times the
/// capacity after late requests were let in.
#[gtest]
fn refuse_late_wrong_forecast_leaves_time_for_another_attempt() {
    let mut played = half_used_queue();
    let late = AdmissionRequest {
        objective: Millis(5_050),
        ..request(Millis(5_000))
    };
    let ticket = played.offer(Millis(5_000), late).expect("it is queued");
    let mut now = 5_001;
    while !played.refused.contains(&ticket) && !played.started.contains(&ticket) {
        played.play(now, now + 1, WORK_MS / 6);
        now += 1;
    }
    expect_that!(played.refused, contains(eq(&ticket)));
    expect_that!(now, le(5_000 + LIMIT_MS * 6 / 10));
}

/// Guards against a wait that goes on although it has passed its limit and nothing will be free, and against giving up
/// a request that is about to start.
#[gtest]
fn wait_longer_follows_forecast() {
    let mut played = half_used_queue();
    let late = AdmissionRequest {
        objective: Millis(5_050),
        ..request(Millis(5_000))
    };
    let ticket = played.offer(Millis(5_000), late).expect("it is queued");
    let before = played.queue.wait_longer(Millis(6_000), ticket);
    expect_that!(before, none(), "no request has ended");
    let (_, ended) = played.running.pop().expect("a request runs");
    played.queue.remove(ended);
    let until = played.queue.wait_longer(Millis(6_000), ticket);
    expect_that!(until, some(gt(Millis(6_000))));
    expect_that!(until, some(lt(Millis(7_500))));
    expect_that!(played.queue.wait_longer(Millis(7_400), ticket), none());
}
