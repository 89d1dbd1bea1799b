//! Tests which announcements of a backend server are accepted, and which keys the agent grants to it.

use std::net::SocketAddr;
use std::rc::Rc;

use googletest::prelude::*;
use jy_edge::backend::AnnounceOutcome;
use jy_edge::backend::LocalBackend;
use jy_edge::restore;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::VersionedRanges;
use jy_kernel::clock;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::BackendPhase;
use jy_types::endpoint::HeldRange;
use jy_types::endpoint::ReleasedRange;
use jy_types::leaving::LeavingSet;
use jy_types::time::Millis;
use jy_types::time::WallMillis;

/// Longest time for which keys are granted to the backend server, in milliseconds.
const LONGEST_GRANT_MS: u64 = 10_000;
/// Time between announcements, in milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 1_000;
/// Time for which the backend server serves after it has begun to leave, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// An authority that does not limit any grant in these tests.
const UNLIMITED: Millis = Millis(1_000_000);

/// Returns the address at which the backend server listens.
fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 9], 8_080))
}

/// Returns an announcement of the incarnation that started at `started_at`.
fn announcement(started_at: u64, sequence: u64) -> Announcement {
    Announcement {
        incarnation: BackendIncarnation {
            id: "i-1".into(),
            started_at,
        },
        address: address(),
        service: "s".into(),
        zone: "z".into(),
        slots: 6,
        phase: BackendPhase::Serving,
        sequence,
        cold_ms: 0,
        held: Vec::new(),
        released: Vec::new(),
    }
}

/// Returns the incarnation that started at `started_at` as an owner.
fn owner(started_at: u64) -> RangeOwner {
    RangeOwner {
        node: "n".into(),
        incarnation: announcement(started_at, 0).incarnation,
    }
}

/// Returns the state of an agent that has received no announcement.
fn unannounced_backend() -> LocalBackend {
    LocalBackend::new(
        "n".into(),
        Millis(0),
        LONGEST_GRANT_MS,
        ANNOUNCE_INTERVAL_MS,
    )
}

/// Applies an announcement and returns the duration of its grant, in milliseconds.
///
/// # Panics
///
/// Panics if the table can't be created.
fn grant_ms(backend: &LocalBackend, now: u64, sequence: u64, authority: Millis) -> Option<u64> {
    let table = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    let announced = announcement(1, sequence);
    let outcome = backend.announce(Millis(now), address(), announced, Some(&table), authority);
    match outcome {
        AnnounceOutcome::Accepted(reply) => reply.map(|reply| reply.grant_ms),
        AnnounceOutcome::Outdated | AnnounceOutcome::Foreign => None,
    }
}

#[gtest]
fn announce_older_is_outdated() {
    let backend = unannounced_backend();
    let announce = |announced| backend.announce(Millis(0), address(), announced, None, UNLIMITED);
    expect_that!(
        announce(announcement(5, 3)),
        eq(&AnnounceOutcome::Accepted(None))
    );
    expect_that!(
        announce(announcement(5, 3)),
        eq(&AnnounceOutcome::Outdated),
        "the same announcement again"
    );
    expect_that!(
        announce(announcement(5, 2)),
        eq(&AnnounceOutcome::Outdated),
        "an earlier announcement"
    );
    expect_that!(
        announce(announcement(4, 9)),
        eq(&AnnounceOutcome::Outdated),
        "an earlier incarnation"
    );
    expect_that!(
        announce(announcement(6, 1)),
        eq(&AnnounceOutcome::Accepted(None)),
        "a later incarnation"
    );
}

#[gtest]
fn announce_other_address_is_foreign() {
    let mut announced = announcement(1, 1);
    announced.address.set_port(9);
    let outcome = unannounced_backend().announce(Millis(0), address(), announced, None, UNLIMITED);
    expect_that!(outcome, eq(&AnnounceOutcome::Foreign));
}

#[gtest]
fn announce_after_end_stays_ended() {
    let backend = unannounced_backend();
    backend.announce(Millis(0), address(), announcement(1, 1), None, UNLIMITED);
    backend.mark_ended(Millis(0), WallMillis(0), "i-1");
    let outcome = backend.announce(Millis(10), address(), announcement(1, 2), None, UNLIMITED);
    expect_that!(outcome, eq(&AnnounceOutcome::Outdated));
    expect_that!(backend.listed(), none());
}

#[gtest]
fn announce_grant_never_outlives_authority() {
    let backend = unannounced_backend();
    expect_that!(
        grant_ms(&backend, 0, 1, UNLIMITED),
        some(eq(4 * ANNOUNCE_INTERVAL_MS))
    );
    let hold_ms = grant_ms(&backend, 1_000, 2, Millis(4_000)).expect("some authority is left");
    // The backend server's clock may run 2 % slow, and 500 ms are the margin for messages in transit.
    expect_that!(hold_ms as f64 * 1.02 + 500.0, le(3_000.0));
    expect_that!(grant_ms(&backend, 2_000, 3, Millis(3_000)), none());
}

#[gtest]
fn is_free_only_if_released_or_expired() {
    let backend = unannounced_backend();
    let table = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    let range = &table.ranges()[0];
    grant_ms(&backend, 0, 1, UNLIMITED);
    let is_free = |now| backend.read(|state| state.is_some_and(|state| state.is_free(now, range)));
    expect_that!(is_free(Millis(1_000)), eq(false), "it is granted");
    expect_that!(is_free(Millis(4_500)), eq(true), "its grant has expired");
    let moving = table.clone().with_move(&owner(1), 0, u16::MAX, &owner(2));
    let mut still_held = announcement(1, 2);
    still_held.held = vec![HeldRange {
        first: 0,
        last: u16::MAX,
        fence: 1,
    }];
    backend.announce(
        Millis(1_000),
        address(),
        still_held,
        Some(&moving),
        UNLIMITED,
    );
    expect_that!(
        is_free(Millis(1_100)),
        eq(false),
        "it is still announced as held"
    );
    backend.announce(
        Millis(1_200),
        address(),
        announcement(1, 3),
        Some(&moving),
        UNLIMITED,
    );
    expect_that!(is_free(Millis(1_300)), eq(true), "it was released");
}

#[gtest]
fn mark_refused_releases_all_ranges() {
    let backend = unannounced_backend();
    let table = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    grant_ms(&backend, 0, 1, UNLIMITED);
    backend.mark_refused("i-1");
    let is_free = backend
        .read(|state| state.is_some_and(|state| state.is_free(Millis(100), &table.ranges()[0])));
    expect_that!(is_free, eq(true));
    expect_that!(backend.listed(), none());
}

/// Returns whether another owner may be given the keys of the backend server, which owns all of them.
///
/// # Panics
///
/// Panics if the table can't be created.
fn is_free(backend: &LocalBackend, now: u64) -> bool {
    let table = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    let range = &table.ranges()[0];
    backend.read(|state| state.is_some_and(|state| state.is_free(Millis(now), range)))
}

/// Guards against keys that have two owners at work: a backend server that exits refuses connections while it
/// finishes its requests, and keeps the keys until it has released them or its grant has expired.
#[gtest]
fn mark_refused_leaving_backend_keeps_ranges() {
    let backend = holding_backend();
    announce_leaving(&backend, 100, 2);
    backend.mark_refused("i-1");
    expect_that!(is_free(&backend, 200), eq(false), "its grant runs");
    expect_that!(is_free(&backend, 4_500), eq(true), "its grant has expired");
    let backend = holding_backend();
    backend.mark_ended(Millis(100), WallMillis(100), "i-1");
    backend.mark_refused("i-1");
    expect_that!(
        is_free(&backend, 200),
        eq(false),
        "it reported its end without having announced that it leaves, and serves for some more time"
    );
}

/// Guards against keys that have two owners at work: the reports of a backend server that exits may be late, so
/// that only the requests at which it works show that its process has not ended.
#[gtest]
fn mark_refused_unanswered_request_keeps_ranges() {
    let backend = Rc::new(holding_backend());
    let deadline = clock::now().plus(60_000);
    let (answered, abandoned) = (
        backend.start_request(&owner(1).incarnation, deadline),
        backend.start_request(&owner(1).incarnation, deadline),
    );
    backend.mark_refused("i-1");
    expect_that!(is_free(&backend, 200), eq(false), "two requests run");
    answered
        .expect("the backend server has announced itself")
        .end();
    expect_that!(is_free(&backend, 200), eq(false), "one request runs");
    drop(abandoned);
    expect_that!(
        is_free(&backend, 200),
        eq(false),
        "it may go on with a request whose connection the agent closed"
    );
    let crashed = Rc::new(holding_backend());
    let request = crashed.start_request(&owner(1).incarnation, deadline);
    crashed.mark_refused("i-1");
    request
        .expect("the backend server has announced itself")
        .end();
    expect_that!(
        is_free(&crashed, 200),
        eq(true),
        "the end of its process closed the connection of its last request"
    );
}

/// Guards against keys that have two owners at work: a run of the agent does not know the requests of the runs
/// before it.
#[gtest]
fn mark_refused_after_agent_restart_keeps_ranges() {
    let backend = unannounced_backend();
    let table = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    let announced = Announcement {
        held: vec![HeldRange {
            first: 0,
            last: u16::MAX,
            fence: 1,
        }],
        ..announcement(1, 7)
    };
    backend.announce(Millis(0), address(), announced, Some(&table), UNLIMITED);
    backend.mark_refused("i-1");
    expect_that!(is_free(&backend, 100), eq(false));
    expect_that!(is_free(&backend, 4_500), eq(true), "its grant has expired");
}

/// Guards against keys that have two owners at work: a new incarnation announces itself while an earlier one,
/// which has closed its listener, finishes a request.
#[gtest]
fn announce_new_incarnation_waits_for_earlier_requests() {
    let backend = Rc::new(holding_backend());
    let request = backend.start_request(&owner(1).incarnation, Millis(60_000));
    let table = RangeTable::new(&[(owner(2), 1)]).expect("one owner");
    let announce = |now, sequence| {
        let announced = announcement(2, sequence);
        backend.announce(Millis(now), address(), announced, Some(&table), UNLIMITED)
    };
    expect_that!(announce(200, 1), eq(&AnnounceOutcome::Accepted(None)));
    request
        .expect("the earlier incarnation was announced")
        .end();
    expect_that!(
        announce(300, 2),
        matches_pattern!(AnnounceOutcome::Accepted(some(anything())))
    );
}

#[gtest]
fn mark_disowned_serves_again_after_next_announcement() {
    let backend = unannounced_backend();
    let held = HeldRange {
        first: 0,
        last: 9,
        fence: 1,
    };
    let announcing = |sequence| Announcement {
        held: vec![held],
        ..announcement(1, sequence)
    };
    let is_usable = || {
        backend.read(|state| {
            state.is_some_and(|state| state.is_serving() && state.holds(Millis(5), 3))
        })
    };
    backend.announce(Millis(0), address(), announcing(1), None, Millis(0));
    expect_that!(
        is_usable(),
        eq(true),
        "an agent that restarted relies on the ranges that the announcement lists as held"
    );
    backend.mark_disowned("i-1");
    expect_that!(is_usable(), eq(false));
    backend.announce(Millis(1), address(), announcing(2), None, Millis(0));
    expect_that!(is_usable(), eq(true));
}

/// Guards against requests that the backend server can only reject: it lists withdrawn keys as held for as long as it
/// finishes requests for them.
#[gtest]
fn holds_withdrawn_keys_are_not_held() {
    let backend = holding_backend();
    let table = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    let moving = table.with_move(&owner(1), 0, u16::MAX, &owner(2));
    let announced = Announcement {
        held: vec![HeldRange {
            first: 0,
            last: u16::MAX,
            fence: 1,
        }],
        ..announcement(1, 2)
    };
    backend.announce(Millis(100), address(), announced, Some(&moving), UNLIMITED);
    let holds = backend.read(|state| state.is_some_and(|state| state.holds(Millis(200), 3)));
    expect_that!(holds, eq(false));
    expect_that!(is_free(&backend, 200), eq(false), "it finishes requests");
}

#[gtest]
fn announce_range_granted_again_drops_older_release() {
    let backend = unannounced_backend();
    let released = Announcement {
        released: vec![ReleasedRange {
            first: 0,
            last: 9,
            handover: "old".into(),
        }],
        ..announcement(1, 1)
    };
    let count = || backend.read(|state| state.map_or(0, |state| state.released.len()));
    backend.announce(Millis(0), address(), released, None, UNLIMITED);
    expect_that!(count(), eq(1), "the release is kept for the next owner");
    expect_that!(grant_ms(&backend, 1, 2, UNLIMITED), some(anything()));
    expect_that!(
        count(),
        eq(0),
        "the keys are granted to the same backend server again"
    );
}

/// Returns an agent's state in which a backend server holds all keys and serves for [`DRAIN_MS`] after it has
/// begun to leave.
fn holding_backend() -> LocalBackend {
    let backend = unannounced_backend().with_drain_ms(DRAIN_MS);
    expect_that!(
        grant_ms(&backend, 0, 1, UNLIMITED),
        some(gt(ANNOUNCE_INTERVAL_MS))
    );
    backend
}

/// Returns whether a request with or without a key may be sent to the backend server.
fn accepts(backend: &LocalBackend, now: u64, is_keyed: bool) -> bool {
    backend.read(|state| state.is_some_and(|state| backend.accepts(Millis(now), state, is_keyed)))
}

/// Announces that the backend server leaves.
fn announce_leaving(backend: &LocalBackend, now: u64, sequence: u64) {
    let leaving = Announcement {
        phase: BackendPhase::Draining,
        ..announcement(1, sequence)
    };
    backend.announce(Millis(now), address(), leaving, None, UNLIMITED);
}

/// Guards against keys without service while their owner waits to hand them over: it still runs requests.
#[gtest]
fn accepts_leaving_owner_serves_keys_until_drained() {
    let backend = holding_backend();
    announce_leaving(&backend, 100, 2);
    expect_that!(accepts(&backend, 200, true), eq(true));
    expect_that!(accepts(&backend, 200, false), eq(false), "no key");
    announce_leaving(&backend, 1_100, 3);
    expect_that!(
        accepts(&backend, 100 + DRAIN_MS, true),
        eq(false),
        "the time counts from the first report"
    );
}

/// Guards against new work for a backend server that has left: a run of the agent does not know when the run
/// before it acknowledged that the backend server leaves.
#[gtest]
fn accepts_leaving_since_earlier_agent_run_takes_nothing() {
    let backend = unannounced_backend().with_drain_ms(DRAIN_MS);
    announce_leaving(&backend, 5_000, 9);
    expect_that!(accepts(&backend, 5_001, true), eq(false));
    expect_that!(accepts(&backend, 5_001, false), eq(false));
}

/// Guards against a server that had left and is in use again after a restart of the agent, also if the store's records
/// are read after its late report.
#[gtest]
fn set_recorded_leaving_takes_nothing_but_later_incarnation() {
    let backend = unannounced_backend().with_drain_ms(DRAIN_MS);
    backend.announce(
        Millis(9_000),
        address(),
        announcement(1, 1),
        None,
        UNLIMITED,
    );
    expect_that!(accepts(&backend, 9_001, false), eq(true));
    backend.set_recorded_leaving(Millis(9_005), Some(&LeavingSet::new(owner(1).incarnation)));
    expect_that!(accepts(&backend, 9_006, false), eq(false));
    expect_that!(accepts(&backend, 9_006, true), eq(false));
    backend.announce(
        Millis(9_010),
        address(),
        announcement(1, 2),
        None,
        UNLIMITED,
    );
    expect_that!(accepts(&backend, 9_011, false), eq(false));
    backend.announce(
        Millis(9_020),
        address(),
        announcement(2, 1),
        None,
        UNLIMITED,
    );
    expect_that!(
        accepts(&backend, 9_021, false),
        eq(true),
        "it has started again"
    );
}

#[gtest]
fn accepts_ended_without_notice_serves_keys_until_drained() {
    let backend = holding_backend();
    backend.mark_ended(Millis(100), WallMillis(100), "i-1");
    expect_that!(accepts(&backend, 200, true), eq(true));
    expect_that!(accepts(&backend, 200, false), eq(false));
    expect_that!(accepts(&backend, 100 + DRAIN_MS, true), eq(false));
}

/// A backend server that reports its end after it has drained exits at once.
#[gtest]
fn accepts_ended_after_draining_takes_nothing() {
    let backend = holding_backend();
    announce_leaving(&backend, 100, 2);
    backend.mark_ended(Millis(200), WallMillis(200), "i-1");
    expect_that!(accepts(&backend, 201, true), eq(false));
}

/// Load pattern: owners leave one after the other. Guards against a leaving owner that is granted its keys once
/// more and releases them an announcement later: its announcement is answered when the table moves them.
#[gtest]
fn keeps_keys_while_leaving_until_table_moves_them() {
    let backend = holding_backend();
    let next = RangeOwner {
        node: "m".into(),
        ..owner(2)
    };
    let table = RangeTable::new(&[(owner(1), 1), (next.clone(), 1)]).expect("two owners");
    let leaving = Announcement {
        phase: BackendPhase::Draining,
        ..announcement(1, 2)
    };
    expect_that!(backend.keeps_keys_while_leaving(&leaving, &table), eq(true));
    expect_that!(
        backend.keeps_keys_while_leaving(&announcement(1, 2), &table),
        eq(false),
        "it does not leave"
    );
    let own: Vec<(u16, u16)> = table
        .owned(&owner(1))
        .map(|range| (range.first, range.last))
        .collect();
    let moved = own.iter().fold(table, |table, (first, last)| {
        table.with_move(&owner(1), *first, *last, &next)
    });
    expect_that!(
        backend.keeps_keys_while_leaving(&leaving, &moved),
        eq(false)
    );
}

/// Announces the incarnation that started first and returns the granted fences by first key.
fn granted_fences(
    backend: &LocalBackend,
    now: u64,
    sequence: u64,
    table: &RangeTable,
    authority: u64,
) -> Vec<(u16, u64)> {
    let (now, authority) = (Millis(now), Millis(authority));
    let announced = announcement(1, sequence);
    let outcome = backend.announce(now, address(), announced, Some(table), authority);
    let AnnounceOutcome::Accepted(Some(reply)) = outcome else {
        return Vec::new();
    };
    let ranges = reply.ranges.iter();
    ranges.map(|range| (range.first, range.fence)).collect()
}

/// Guards against keys with two owners: the store came back from an older copy, whose table names this owner for keys
/// that another one holds by a lost table, and the other way round.
#[gtest]
fn announce_unsettled_era_extends_holds_only() {
    let mut other = owner(1);
    other.node = "m".into();
    let recent = RangeTable::new(&[(owner(1), 1), (other.clone(), 1)]).expect("two owners");
    let copy = RangeTable::new(&[(other, 1)]).expect("one owner");
    let own = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    let backend = unannounced_backend();
    expect_that!(
        granted_fences(&backend, 1_000, 1, &recent, 60_000),
        elements_are![eq(&(0, 1))]
    );
    backend.set_era(1, Millis(22_000));
    let held = backend.held_grants(Millis(1_500), &FleetSnapshot::default());
    expect_that!(copy.lists(&owner(1), &held), eq(false));
    expect_that!(
        granted_fences(&backend, 2_000, 2, &copy, 60_000),
        elements_are![eq(&(0, 1))]
    );
    // The hold runs out, so that the keys wait until the era is settled and the table has a fence of the era.
    expect_that!(
        granted_fences(&backend, 12_000, 3, &own, 60_000),
        is_empty()
    );
    expect_that!(
        granted_fences(&backend, 23_000, 4, &own, 60_000),
        is_empty()
    );
    let fenced = own.with_era(1).with_new_fences(|_| true);
    expect_that!(
        granted_fences(&backend, 24_000, 5, &fenced, 60_000),
        elements_are![eq(&(0, 1 << 32))]
    );
}

/// Guards against a new run of an agent that grants by the table of an older copy.
#[gtest]
fn announce_unsettled_era_new_run_grants_nothing() {
    let backend = unannounced_backend();
    backend.set_era(1, Millis(22_000));
    let table = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    expect_that!(
        granted_fences(&backend, 1_000, 1, &table, 60_000),
        is_empty()
    );
}

/// Guards against keys that stay without an owner for the whole hold-back since their backend server started anew, and
/// against its grants under the fences of the run before.
#[gtest]
fn announce_unsettled_era_new_incarnation_gets_new_fences() {
    let table = RangeTable::new(&[(owner(1), 1)]).expect("one owner");
    let backend = unannounced_backend();
    granted_fences(&backend, 1_000, 1, &table, 60_000);
    backend.set_era(1, Millis(22_000));
    let announce = |now: u64, sequence: u64, table: &RangeTable| {
        let announced = announcement(2, sequence);
        let (now, authority) = (Millis(now), Millis(60_000));
        backend.announce(now, address(), announced, Some(table), authority)
    };
    expect_that!(
        announce(2_000, 1, &table),
        eq(&AnnounceOutcome::Accepted(None))
    );
    let ranges = VersionedRanges {
        table: Rc::new(table),
        revision: 5,
    };
    let snapshot = FleetSnapshot {
        era: 1,
        settled_at: Millis(22_000),
        ranges: [("s".into(), ranges)].into(),
        ..FleetSnapshot::default()
    };
    let claimed = restore::table_with_held(Millis(2_100), &backend, &snapshot, "s");
    let claimed = claimed.expect("the keys go to the new incarnation");
    let fences: Vec<u64> = claimed.owned(&owner(2)).map(|range| range.fence).collect();
    expect_that!(fences, elements_are![eq(&(1 << 32))]);
    let AnnounceOutcome::Accepted(Some(reply)) = announce(3_000, 2, &claimed) else {
        panic!("the keys are granted");
    };
    expect_that!(reply.ranges.len(), eq(1));
    expect_that!(reply.ranges[0].fence, eq(1 << 32));
    // A late agent keeps a table settled that another agent has settled.
    for is_incomplete in [false, true] {
        let table = snapshot.ranges["s"].table.as_ref().clone();
        let ranges = VersionedRanges {
            table: Rc::new(table.with_era(1).with_incomplete(is_incomplete)),
            revision: 6,
        };
        let snapshot = FleetSnapshot {
            ranges: [("s".into(), ranges)].into(),
            ..snapshot.clone()
        };
        let restored = restore::table_with_held(Millis(3_100), &backend, &snapshot, "s");
        let restored = restored.expect("the store's table lacks the grant");
        expect_that!(restored.is_incomplete(), eq(is_incomplete));
    }
    let late = restore::table_with_held(Millis(9_000), &backend, &snapshot, "s");
    expect_that!(late, none(), "the hold of the earlier incarnation is over");
}
