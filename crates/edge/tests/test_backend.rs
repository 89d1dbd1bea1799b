//! The backend server beside the agent: which announcement counts, and which keys it is granted.

use std::net::SocketAddr;

use googletest::prelude::*;
use jy_edge::backend::AnnounceOutcome;
use jy_edge::backend::LocalBackend;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::BackendPhase;
use jy_types::endpoint::HeldRange;
use jy_types::endpoint::ReleasedRange;
use jy_types::time::Millis;

/// Longest hold that the backend server takes, in milliseconds.
const MAX_HOLD_MS: u64 = 10_000;
/// Time between announcements, in milliseconds.
const PERIOD_MS: u64 = 1_000;
/// Authority that does not bind.
const LONG: Millis = Millis(1_000_000);

/// Where the backend server listens.
fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 9], 8_080))
}

/// An announcement of a life.
fn announced(born: u64, sequence: u64) -> Announcement {
    Announcement {
        incarnation: BackendIncarnation {
            id: "i-1".into(),
            started_at: born,
        },
        address: address(),
        service: "s".into(),
        zone: "z".into(),
        slots: 6,
        phase: BackendPhase::Serving,
        sequence,
        cold_ms: 0,
        held: Vec::new(),
        freed: Vec::new(),
    }
}

/// An owner on the instance of these tests.
fn owner(born: u64) -> RangeOwner {
    RangeOwner {
        node: "n".into(),
        incarnation: announced(born, 0).incarnation,
    }
}

/// A backend server that the agent has not heard of.
fn unheard() -> LocalBackend {
    LocalBackend::new("n".into(), Millis(0), MAX_HOLD_MS, PERIOD_MS)
}

/// Takes an announcement and returns the hold that it was granted, in milliseconds.
///
/// # Panics
///
/// If the case can't be set up or does not end.
fn grant_ms(backend: &LocalBackend, now: u64, sequence: u64, authority: Millis) -> Option<u64> {
    let table = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    let announced = announced(1, sequence);
    let end = backend.announce(Millis(now), address(), announced, Some(&table), authority);
    match end {
        AnnounceOutcome::Taken(reply) => reply.map(|reply| reply.grant_ms),
        AnnounceOutcome::Outdated | AnnounceOutcome::Foreign => None,
    }
}

#[gtest]
fn announce_older_is_outdated() {
    let backend = unheard();
    let take = |announced| backend.announce(Millis(0), address(), announced, None, LONG);
    expect_that!(take(announced(5, 3)), eq(&AnnounceOutcome::Taken(None)));
    expect_that!(
        take(announced(5, 3)),
        eq(&AnnounceOutcome::Outdated),
        "the same call again"
    );
    expect_that!(
        take(announced(5, 2)),
        eq(&AnnounceOutcome::Outdated),
        "an earlier call"
    );
    expect_that!(
        take(announced(4, 9)),
        eq(&AnnounceOutcome::Outdated),
        "an earlier life"
    );
    expect_that!(
        take(announced(6, 1)),
        eq(&AnnounceOutcome::Taken(None)),
        "a later life"
    );
}

#[gtest]
fn announce_other_address_is_foreign() {
    let mut announced = announced(1, 1);
    announced.address.set_port(9);
    let end = unheard().announce(Millis(0), address(), announced, None, LONG);
    expect_that!(end, eq(&AnnounceOutcome::Foreign));
}

#[gtest]
fn announce_after_end_stays_ended() {
    let backend = unheard();
    backend.announce(Millis(0), address(), announced(1, 1), None, LONG);
    backend.end("i-1");
    let end = backend.announce(Millis(10), address(), announced(1, 2), None, LONG);
    expect_that!(end, eq(&AnnounceOutcome::Outdated));
    expect_that!(backend.listed(), none());
}

#[gtest]
fn announce_grant_never_outlives_authority() {
    let backend = unheard();
    expect_that!(grant_ms(&backend, 0, 1, LONG), some(eq(4 * PERIOD_MS)));
    let hold = grant_ms(&backend, 1_000, 2, Millis(4_000)).expect("some authority is left");
    // Counted by a clock that runs 2 % slow, with the margin for what is on its way.
    expect_that!(hold as f64 * 1.02 + 500.0, le(3_000.0));
    expect_that!(grant_ms(&backend, 2_000, 3, Millis(3_000)), none());
}

#[gtest]
fn is_free_only_released_or_over() {
    let backend = unheard();
    let table = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    let range = &table.ranges()[0];
    grant_ms(&backend, 0, 1, LONG);
    let is_free = |now| backend.read(|state| state.is_some_and(|state| state.is_free(now, range)));
    expect_that!(is_free(Millis(1_000)), eq(false), "it was granted");
    expect_that!(is_free(Millis(4_500)), eq(true), "its hold is over");
    let marked = table.clone().marked(&owner(1), 0, u16::MAX, &owner(2));
    let mut still = announced(1, 2);
    still.held = vec![HeldRange {
        first: 0,
        last: u16::MAX,
        fence: 1,
    }];
    backend.announce(Millis(1_000), address(), still, Some(&marked), LONG);
    expect_that!(is_free(Millis(1_100)), eq(false), "it still works on it");
    backend.announce(
        Millis(1_200),
        address(),
        announced(1, 3),
        Some(&marked),
        LONG,
    );
    expect_that!(is_free(Millis(1_300)), eq(true), "it released it");
}

#[gtest]
fn refused_connections_free_all() {
    let backend = unheard();
    let table = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    grant_ms(&backend, 0, 1, LONG);
    backend.refused("i-1");
    let is_free = backend
        .read(|state| state.is_some_and(|state| state.is_free(Millis(100), &table.ranges()[0])));
    expect_that!(is_free, eq(true));
    expect_that!(backend.listed(), none());
}

#[gtest]
fn disowned_serves_again_after_next_announcement() {
    let backend = unheard();
    let held = HeldRange {
        first: 0,
        last: 9,
        fence: 1,
    };
    let announced = |sequence| Announcement {
        held: vec![held],
        ..announced(1, sequence)
    };
    let is_able =
        || backend.read(|state| state.is_some_and(|it| it.is_serving() && it.holds(Millis(5), 3)));
    backend.announce(Millis(0), address(), announced(1), None, Millis(0));
    expect_that!(
        is_able(),
        eq(true),
        "an agent that restarted believes the announcement"
    );
    backend.disowned("i-1");
    expect_that!(is_able(), eq(false));
    backend.announce(Millis(1), address(), announced(2), None, Millis(0));
    expect_that!(is_able(), eq(true));
}

#[gtest]
fn announce_range_held_again_forgets_older_release() {
    let backend = unheard();
    let released = Announcement {
        freed: vec![ReleasedRange {
            first: 0,
            last: 9,
            handover: "old".into(),
        }],
        ..announced(1, 1)
    };
    let count = || backend.read(|state| state.map_or(0, |state| state.freed.len()));
    backend.announce(Millis(0), address(), released, None, LONG);
    expect_that!(count(), eq(1), "the next owner is to have it");
    expect_that!(grant_ms(&backend, 1, 2, LONG), some(anything()));
    expect_that!(count(), eq(0), "the keys came back");
}
