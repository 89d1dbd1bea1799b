//! A backend server offered more than it can do in time.

use googletest::prelude::*;
use jy_policy::admission::Admission;
use jy_policy::admission::AdmissionRequest;
use jy_policy::admission::WorkQueue;
use jy_types::time::Millis;

/// A request with an objective and a deadline that are far off.
const LEISURELY: AdmissionRequest = AdmissionRequest {
    priority: 2,
    objective: Millis(10_000),
    deadline: Millis(20_000),
    work_ms: 100.0,
};

/// A queue of two slots with both taken since the start.
fn full_queue() -> WorkQueue {
    let mut queue = WorkQueue::new(2);
    for ticket in [1, 2] {
        queue.offer(Millis(0), ticket, LEISURELY);
        queue.start(Millis(0));
    }
    queue
}

#[gtest]
fn offer_refuses_what_ends_past_deadline() {
    let mut queue = full_queue();
    for ticket in 3..23 {
        let admission = queue.offer(Millis(0), ticket, LEISURELY);
        expect_that!(admission, eq(Admission::Queued));
    }
    let hasty = AdmissionRequest {
        deadline: Millis(500),
        ..LEISURELY
    };
    let admission = queue.offer(Millis(0), 30, hasty);
    let retry_ms = match admission {
        Admission::Refused { retry_ms } => retry_ms,
        Admission::Queued => 0,
    };
    expect_that!(retry_ms, ge(900), "twenty requests of 100 ms in two slots");
    expect_that!(queue.waiting(), eq(20));
}

#[gtest]
fn offer_takes_anything_while_slots_are_free() {
    let mut queue = WorkQueue::new(2);
    let short = AdmissionRequest {
        deadline: Millis(50),
        ..LEISURELY
    };
    expect_that!(queue.offer(Millis(0), 1, short), eq(Admission::Queued));
}

#[gtest]
fn start_prefers_urgent_late_to_less_urgent() {
    let mut queue = full_queue();
    let late_call = AdmissionRequest {
        priority: 1,
        objective: Millis(10),
        deadline: Millis(400),
        work_ms: 15.0,
    };
    queue.offer(Millis(0), 3, LEISURELY);
    queue.offer(Millis(0), 4, late_call);
    queue.remove(1);
    expect_that!(queue.start(Millis(50)), some(eq(4)));
}

#[gtest]
fn start_prefers_what_can_be_on_time() {
    let mut queue = full_queue();
    let lost = AdmissionRequest {
        objective: Millis(40),
        ..LEISURELY
    };
    queue.offer(Millis(0), 3, lost);
    queue.offer(Millis(0), 4, LEISURELY);
    queue.remove(1);
    expect_that!(queue.start(Millis(30)), some(eq(4)));
}

#[gtest]
fn start_keeps_to_slots() {
    let mut queue = full_queue();
    queue.offer(Millis(0), 3, LEISURELY);
    expect_that!(queue.start(Millis(1)), none());
    queue.remove(2);
    expect_that!(queue.start(Millis(2)), some(eq(3)));
    expect_that!(queue.running(), eq(2));
}

/// Brief urgent work, as running requests ask for.
const BRIEF: AdmissionRequest = AdmissionRequest {
    priority: 0,
    objective: Millis(60),
    deadline: Millis(200),
    work_ms: 15.0,
};

/// A queue of six slots that was offered `brief` pieces of brief urgent work, all done, and then more long
/// work than it has slots.
fn queue_after(brief: u64) -> WorkQueue {
    let mut queue = WorkQueue::new(6);
    for ticket in 0..brief {
        queue.offer(Millis(0), ticket, BRIEF);
        queue.start(Millis(0));
        queue.remove(ticket);
    }
    for ticket in 100..110 {
        queue.offer(Millis(1), ticket, LEISURELY);
    }
    while queue.start(Millis(1)).is_some() {}
    queue
}

#[gtest]
fn start_long_work_leaves_slot_to_brief_urgent_work() {
    let mut queue = queue_after(40);
    expect_that!(queue.running(), eq(5));
    expect_that!(queue.offer(Millis(2), 200, BRIEF), eq(Admission::Queued));
    expect_that!(queue.start(Millis(2)), some(eq(200)), "without a wait");
}

#[gtest]
fn start_rare_urgent_work_keeps_no_slot() {
    expect_that!(queue_after(1).running(), eq(6));
}

#[gtest]
fn offer_overload_refuses_at_once_what_would_be_late() {
    let mut queue = WorkQueue::new(6);
    let browse = |at: u64| AdmissionRequest {
        objective: Millis(at + 800),
        deadline: Millis(at + 3_000),
        work_ms: 300.0,
        ..LEISURELY
    };
    let mut queued = 0;
    for ticket in 0..100 {
        if queue.offer(Millis(0), ticket, browse(0)) == Admission::Queued {
            queued += 1;
        }
        queue.start(Millis(0));
    }
    expect_that!(queued, ge(10), "the slots stay busy");
    expect_that!(queued, le(18), "six run and all others end within 800 ms");
}

#[gtest]
fn offer_overload_still_takes_call_of_running_request() {
    let mut queue = queue_after(40);
    let call = AdmissionRequest {
        objective: Millis(1),
        ..BRIEF
    };
    queue.offer(Millis(1), 200, call);
    queue.start(Millis(1));
    expect_that!(queue.offer(Millis(1), 201, call), eq(Admission::Queued));
}
