//! Large bodies that are uploaded to few backend servers behind slow links.

use googletest::prelude::*;
use jy_policy::transfer::TransferAdmission;
use jy_policy::transfer::TransferQueue;
use jy_policy::transfer::TransferRequest;
use jy_policy::transfer::admit_by;
use jy_policy::transfer::bytes_per_ms;
use jy_types::time::Millis;

/// A link of 10 megabits per second.
const SLOW_LINK_MBPS: f64 = 10.0;

/// A body of 60 kB, which such a link carries in 48 ms.
const BODY: TransferRequest = TransferRequest {
    body_bytes: 60_000,
    admit_by: Millis(10_000),
    useful_until: Millis(10_000),
};

/// Creates the queue of a slow link.
fn slow_link() -> TransferQueue {
    TransferQueue::new(bytes_per_ms(SLOW_LINK_MBPS))
}

/// Guards against bodies that fill the link's queue: whatever is offered at once, the bodies that are sent
/// together use less than the link carries, so that a brief call finds its queue empty.
#[gtest]
fn start_uploads_to_few_servers_leaves_room_for_calls() {
    let mut queue = slow_link();
    for ticket in 0..40 {
        queue.offer(Millis(0), ticket, BODY);
    }
    let mut admitted = 0;
    while queue.start(Millis(0)).is_some() {
        admitted += 1;
    }
    expect_that!(admitted, gt(0));
    expect_that!(
        f64::from(admitted) * queue.rate(),
        lt(bytes_per_ms(SLOW_LINK_MBPS))
    );
}

/// Every body offered at a rate below the link's is admitted, in the order in which they were offered.
#[gtest]
fn start_steady_uploads_admits_all_in_order() {
    let mut queue = slow_link();
    let mut running: Vec<(Millis, u64)> = Vec::new();
    let mut started = Vec::new();
    for now in 0..10_000 {
        let now = Millis(now);
        if now.0.is_multiple_of(80) {
            queue.offer(now, now.0 / 80, BODY);
        }
        running.retain(|(end, ticket)| {
            if *end <= now {
                queue.remove(*ticket);
            }
            *end > now
        });
        while let Some((ticket, _)) = queue.start(now) {
            let duration_ms = BODY.body_bytes as f64 / queue.rate();
            running.push((now.plus(duration_ms as u64), ticket));
            started.push(ticket);
        }
    }
    expect_that!(started.is_sorted(), eq(true));
    expect_that!(started.len(), ge(123));
}

#[gtest]
fn offer_refuses_body_that_would_arrive_too_late() {
    let mut queue = slow_link();
    for ticket in 0..20 {
        queue.offer(Millis(0), ticket, BODY);
    }
    let urgent = TransferRequest {
        useful_until: Millis(500),
        ..BODY
    };
    let admission = queue.offer(Millis(0), 30, urgent);
    let is_refused = matches!(admission, TransferAdmission::Refused { retry_ms } if retry_ms > 500);
    expect_that!(is_refused, eq(true));
    expect_that!(queue.len(), eq(20));
}

#[gtest]
fn offer_accepts_any_body_on_idle_link() {
    let mut queue = slow_link();
    let large = TransferRequest {
        body_bytes: 60_000_000,
        ..BODY
    };
    expect_that!(
        queue.offer(Millis(0), 1, large),
        eq(TransferAdmission::Queued)
    );
}

/// A gate that is asked early refuses a body that would wait, so that the sender tries an idle link instead.
#[gtest]
fn admit_by_early_gate_prefers_idle_link() {
    let (now, objective, deadline) = (Millis(0), Millis(1_000), Millis(6_000));
    let mut busy = slow_link();
    for ticket in 0..8 {
        busy.offer(now, ticket, BODY);
        busy.start(now);
    }
    let offer = |queue: &mut TransferQueue, attempt| {
        let request = TransferRequest {
            admit_by: admit_by(now, attempt, 4, objective, deadline),
            ..BODY
        };
        queue.offer(now, 100 + attempt as u64, request)
    };
    let is_refused = matches!(offer(&mut busy, 1), TransferAdmission::Refused { .. });
    expect_that!(is_refused, eq(true));
    expect_that!(offer(&mut slow_link(), 1), eq(TransferAdmission::Queued));
    expect_that!(offer(&mut busy, 4), eq(TransferAdmission::Queued));
}

/// Guards against a link that stays blocked after the senders of admitted bodies were lost.
#[gtest]
fn start_lost_senders_admits_next_body() {
    let mut queue = slow_link();
    for ticket in 0..4 {
        queue.offer(Millis(0), ticket, BODY);
    }
    let mut expires = Millis(0);
    while let Some((_, until)) = queue.start(Millis(0)) {
        expires = until;
    }
    expect_that!(queue.start(Millis(expires.0 - 1)), none());
    expect_that!(queue.start(expires), some(anything()));
}
