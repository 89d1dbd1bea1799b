//! One key gets several times what its owner can run, for seconds: who waits, and who is refused.
//!
//! The owner runs as many requests as it can whatever the order. The order decides how many of them are answered
//! within their objective, and how long the others are held before they are refused.

use googletest::prelude::*;
use jy_policy::admission::Admission;
use jy_policy::admission::AdmissionRequest;
use jy_policy::admission::WorkQueue;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: u32 = 12;
const OBJECTIVE_MS: u64 = 600;
const DEADLINE_MS: u64 = 2_000;
/// Expected work of a request; a slow owner takes most of the objective.
const WORK_MS: u64 = 400;
/// Time after which the gate gives up a waiting request, in milliseconds.
const MAX_HELD_MS: u64 = 1_200;
const DAY_MS: u64 = 10_000;

/// What became of the requests of a run.
#[derive(Debug, Default)]
struct DayOutcome {
    in_time: u32,
    late: u32,
    /// Longest time for which a request was held and then refused, in milliseconds.
    longest_refused_ms: u64,
}

/// Offers `per_s` requests a second at random times and runs those that the queue starts.
fn play(per_s: f64, seed: u64) -> DayOutcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut queue = WorkQueue::new(SLOTS);
    let mut offered_at: Vec<Millis> = Vec::new();
    let mut waiting: Vec<u64> = Vec::new();
    let mut running: Vec<(Millis, u64)> = Vec::new();
    let mut outcome = DayOutcome::default();
    for now in (0..DAY_MS).map(Millis) {
        running.retain(|(end, ticket)| {
            if *end > now {
                return true;
            }
            queue.remove(*ticket);
            let elapsed_ms = now.since(offered_at[*ticket as usize]);
            if elapsed_ms <= OBJECTIVE_MS {
                outcome.in_time += 1;
            } else {
                outcome.late += 1;
            }
            false
        });
        waiting.retain(|ticket| {
            let held_ms = now.since(offered_at[*ticket as usize]);
            if held_ms < MAX_HELD_MS {
                return true;
            }
            queue.remove(*ticket);
            outcome.longest_refused_ms = outcome.longest_refused_ms.max(held_ms);
            false
        });
        if rng.random_bool(per_s / 1_000.0) {
            let ticket = offered_at.len() as u64;
            offered_at.push(now);
            let request = AdmissionRequest {
                tenant: None,
                is_call: false,
                priority: 2,
                first_sent: now,
                objective: now.plus(OBJECTIVE_MS),
                deadline: now.plus(DEADLINE_MS),
                work_ms: WORK_MS as f64,
            };
            if queue.offer(now, ticket, request) == Admission::Queued {
                waiting.push(ticket);
            }
            for refused in queue.refuse_late(now) {
                waiting.retain(|ticket| *ticket != refused);
                let held_ms = now.since(offered_at[refused as usize]);
                outcome.longest_refused_ms = outcome.longest_refused_ms.max(held_ms);
            }
        }
        while let Some(ticket) = queue.start(now) {
            waiting.retain(|other| *other != ticket);
            let work_ms = rng.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
            running.push((now.plus(work_ms), ticket));
        }
    }
    outcome
}

/// Guards against a queue in which late requests wait behind those that come after them: they are held for
/// seconds, and those that run are late.
#[gtest]
fn refuse_late_one_hot_key_answers_in_time_or_refuses_soon() {
    for seed in 1..6 {
        let outcome = play(150.0, seed);
        let served = outcome.in_time + outcome.late;
        let capacity = DAY_MS / WORK_MS * u64::from(SLOTS);
        expect_that!(u64::from(served), ge(capacity * 9 / 10), "seed {seed}");
        expect_that!(outcome.in_time, ge(served * 7 / 10), "seed {seed}");
        expect_that!(outcome.longest_refused_ms, le(OBJECTIVE_MS), "seed {seed}");
    }
}

/// At a load that the owner can run, requests are not refused for being late.
#[gtest]
fn refuse_late_moderate_load_refuses_none() {
    for seed in 1..6 {
        let outcome = play(15.0, seed);
        expect_that!(outcome.longest_refused_ms, eq(0), "seed {seed}");
    }
}
