//! Admission and start order of requests at an overloaded backend server.

use googletest::prelude::*;
use jy_policy::admission::Admission;
use jy_policy::admission::AdmissionRequest;
use jy_policy::admission::WorkQueue;
use jy_types::time::Millis;

/// A request with a distant objective and deadline.
const LONG_DEADLINE: AdmissionRequest = AdmissionRequest {
    tenant: None,
    is_call: false,
    priority: 2,
    first_sent: Millis(0),
    objective: Millis(10_000),
    deadline: Millis(20_000),
    work_ms: 100.0,
};

/// Creates a queue of two slots that are both in use since time 0.
fn full_queue() -> WorkQueue {
    let mut queue = WorkQueue::new(2);
    for ticket in [1, 2] {
        queue.offer(Millis(0), ticket, LONG_DEADLINE);
        queue.start(Millis(0));
    }
    queue
}

#[gtest]
fn offer_refuses_request_that_would_miss_deadline() {
    let mut queue = full_queue();
    for ticket in 3..23 {
        let admission = queue.offer(Millis(0), ticket, LONG_DEADLINE);
        expect_that!(admission, eq(Admission::Queued));
    }
    let short_deadline = AdmissionRequest {
        deadline: Millis(500),
        ..LONG_DEADLINE
    };
    let admission = queue.offer(Millis(0), 30, short_deadline);
    let retry_ms = match admission {
        Admission::Refused { retry_ms } => retry_ms,
        Admission::Queued => 0,
    };
    expect_that!(
        retry_ms,
        ge(900),
        "twenty requests of 100 ms wait for two slots"
    );
    expect_that!(queue.waiting(), eq(20));
}

#[gtest]
fn offer_accepts_any_request_while_slots_are_free() {
    let mut queue = WorkQueue::new(2);
    let short = AdmissionRequest {
        deadline: Millis(50),
        ..LONG_DEADLINE
    };
    expect_that!(queue.offer(Millis(0), 1, short), eq(Admission::Queued));
}

#[gtest]
fn start_prefers_late_urgent_request_to_less_urgent() {
    let mut queue = full_queue();
    let late_call = AdmissionRequest {
        tenant: None,
        is_call: false,
        priority: 1,
        first_sent: Millis(0),
        objective: Millis(10),
        deadline: Millis(400),
        work_ms: 15.0,
    };
    queue.offer(Millis(0), 3, LONG_DEADLINE);
    queue.offer(Millis(0), 4, late_call);
    queue.remove(1);
    expect_that!(queue.start(Millis(50)), some(eq(4)));
}

#[gtest]
fn start_prefers_request_that_can_meet_objective() {
    let mut queue = full_queue();
    let overdue = AdmissionRequest {
        objective: Millis(40),
        ..LONG_DEADLINE
    };
    queue.offer(Millis(0), 3, overdue);
    queue.offer(Millis(0), 4, LONG_DEADLINE);
    queue.remove(1);
    expect_that!(queue.start(Millis(30)), some(eq(4)));
}

#[gtest]
fn start_runs_no_more_than_slots() {
    let mut queue = full_queue();
    queue.offer(Millis(0), 3, LONG_DEADLINE);
    expect_that!(queue.start(Millis(1)), none());
    queue.remove(2);
    expect_that!(queue.start(Millis(2)), some(eq(3)));
    expect_that!(queue.running(), eq(2));
}

/// A brief urgent request, like the calls that running requests make.
const BRIEF: AdmissionRequest = AdmissionRequest {
    tenant: None,
    is_call: false,
    priority: 0,
    first_sent: Millis(0),
    objective: Millis(60),
    deadline: Millis(200),
    work_ms: 15.0,
};

/// Creates a queue of six slots that has completed `brief_count` brief urgent requests and was then offered
/// more long requests than it has slots.
fn queue_after(brief_count: u64) -> WorkQueue {
    let mut queue = WorkQueue::new(6);
    for ticket in 0..brief_count {
        queue.offer(Millis(0), ticket, BRIEF);
        queue.start(Millis(0));
        queue.remove(ticket);
    }
    for ticket in 100..110 {
        queue.offer(Millis(1), ticket, LONG_DEADLINE);
    }
    while queue.start(Millis(1)).is_some() {}
    queue
}

#[gtest]
fn start_long_work_leaves_slot_for_brief_urgent_work() {
    let mut queue = queue_after(40);
    expect_that!(queue.running(), eq(5));
    expect_that!(queue.offer(Millis(2), 200, BRIEF), eq(Admission::Queued));
    expect_that!(
        queue.start(Millis(2)),
        some(eq(200)),
        "starts without a wait"
    );
}

#[gtest]
fn start_rare_urgent_work_reserves_no_slot() {
    expect_that!(queue_after(1).running(), eq(6));
}

#[gtest]
fn offer_overload_refuses_request_that_would_be_late() {
    let mut queue = WorkQueue::new(6);
    let long_request = |at: u64| AdmissionRequest {
        objective: Millis(at + 800),
        deadline: Millis(at + 3_000),
        work_ms: 300.0,
        ..LONG_DEADLINE
    };
    let mut queued = 0;
    for ticket in 0..100 {
        if queue.offer(Millis(0), ticket, long_request(0)) == Admission::Queued {
            queued += 1;
        }
        queue.start(Millis(0));
    }
    expect_that!(queued, ge(10), "the slots stay busy");
    expect_that!(queued, le(18), "six run, and the others end within 800 ms");
}

#[gtest]
fn offer_overload_accepts_call_of_running_request() {
    let mut queue = queue_after(40);
    let call = AdmissionRequest {
        objective: Millis(1),
        ..BRIEF
    };
    queue.offer(Millis(1), 200, call.clone());
    queue.start(Millis(1));
    expect_that!(queue.offer(Millis(1), 201, call), eq(Admission::Queued));
}

/// Guards against a returning caller that waits behind those whose first attempt came later.
#[gtest]
fn start_late_requests_of_tenants_by_first_attempt() {
    let late = |tenant: Option<&str>, first_sent: u64, objective: u64| AdmissionRequest {
        tenant: tenant.map(Into::into),
        first_sent: Millis(first_sent),
        objective: Millis(objective),
        ..LONG_DEADLINE
    };
    for (tenant, first) in [(Some("tenant"), 4), (None, 3)] {
        let mut queue = full_queue();
        queue.offer(Millis(2_000), 3, late(tenant, 1_500, 2_010));
        queue.offer(Millis(2_000), 4, late(tenant, 500, 2_020));
        queue.remove(1);
        expect_that!(queue.start(Millis(2_010)), some(eq(first)), "{tenant:?}");
    }
}

/// Guards against calls of running requests that wait behind new work, whatever its priority.
#[gtest]
fn start_prefers_call_to_more_urgent_work() {
    let mut queue = full_queue();
    let urgent = AdmissionRequest {
        priority: 0,
        ..LONG_DEADLINE
    };
    let call = AdmissionRequest {
        is_call: true,
        priority: 4,
        ..LONG_DEADLINE
    };
    queue.offer(Millis(0), 3, urgent);
    queue.offer(Millis(0), 4, call);
    queue.remove(1);
    expect_that!(queue.start(Millis(1)), some(eq(4)));
}

/// Guards against room for late answers that is taken from the little time that a caller has left: its limit is twice
/// its objective, which has passed.
#[gtest]
fn leaves_room_after_objective_counts_from_first_attempt() {
    let returning = |deadline| AdmissionRequest {
        first_sent: Millis(1_000),
        objective: Millis(2_000),
        deadline: Millis(deadline),
        ..LONG_DEADLINE
    };
    expect_that!(returning(3_000).leaves_room(Millis(2_100)), is_false());
    expect_that!(returning(4_000).leaves_room(Millis(2_100)), is_true());
}

/// Guards against a request that waits almost until its deadline at a backend server that has stopped, and against one
/// that is refused although requests still end.
#[gtest]
fn wait_longer_without_ended_request_is_refused() {
    let request = |now| AdmissionRequest {
        tenant: Some("t".into()),
        first_sent: Millis(now),
        objective: Millis(now + 1_000),
        deadline: Millis(now + 5_000),
        work_ms: 60.0,
        ..LONG_DEADLINE
    };
    let mut queue = WorkQueue::new(6);
    // Light load, so that the forecast expects free capacity.
    let mut now = 1_000;
    for ticket in 0..75 {
        queue.offer(Millis(now), ticket, request(now));
        queue.start(Millis(now));
        queue.remove(ticket);
        now += 40;
    }
    for ticket in 100..=106 {
        queue.offer(Millis(now), ticket, request(now));
        queue.start(Millis(now));
    }
    expect_that!((queue.running(), queue.waiting()), eq((6, 1)));
    expect_that!(queue.wait_longer(Millis(now + 3_000), 106), none());
    queue.remove(100);
    expect_that!(
        queue.wait_longer(Millis(now + 3_000), 106),
        some(anything())
    );
    expect_that!(queue.wait_longer(Millis(now + 3_500), 106), none());
}

/// Guards against tenants that lose their credit with protected requests that are refused before they start.
#[gtest]
fn refuse_late_returns_credit_of_protected_request() {
    let request = |now: u64, tenant: &str, priority| AdmissionRequest {
        tenant: Some(tenant.into()),
        priority,
        first_sent: Millis(now),
        objective: Millis(now + 1_000),
        deadline: Millis(now + 1_200),
        ..LONG_DEADLINE
    };
    let mut queue = WorkQueue::new(1);
    // Urgent work at twice the capacity, until the starved tenant has earned a protected request.
    let (mut now, mut ticket, mut running, mut is_protected) = (1_000, 0, None, false);
    while !is_protected && now < 61_000 {
        ticket += 1;
        queue.offer(Millis(now), ticket, request(now, "urgent", 0));
        queue.refuse_late(Millis(now));
        if now % 200 == 0 && now > 11_000 {
            let low = request(now, "low", 5);
            is_protected = queue.offer(Millis(now), 1_000_000, low) == Admission::Queued;
        }
        if now % 100 == 0 && !is_protected {
            running.into_iter().for_each(|ended| queue.remove(ended));
            running = queue.start(Millis(now));
        }
        now += 50;
    }
    expect_that!(is_protected, eq(true), "the test is void");
    // A call goes first, and the protected request can no longer be served behind it.
    let call = AdmissionRequest {
        is_call: true,
        ..LONG_DEADLINE
    };
    queue.offer(
        Millis(now),
        1_000_001,
        AdmissionRequest {
            deadline: Millis(now + 9_000),
            ..call
        },
    );
    let refused = queue.refuse_late(Millis(now + 1_150));
    expect_that!(refused, contains(eq(&1_000_000)));
    // The urgent work is back, so that only a protected request is queued.
    for other in 0..30 {
        queue.offer(Millis(now), 2_000_000 + other, request(now, "urgent", 0));
    }
    let again = queue.offer(Millis(now), 1_000_002, request(now, "low", 5));
    expect_that!(again, eq(Admission::Queued));
    let without_credit = queue.offer(Millis(now), 1_000_003, request(now, "low", 5));
    expect_that!(without_credit, not(eq(Admission::Queued)));
}
