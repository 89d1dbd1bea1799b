//! Tests of what a backend server is considered to hold after its keys may have been given away and the store came back
//! from an older copy.

use std::net::SocketAddr;
use std::rc::Rc;

use googletest::prelude::*;
use jy_edge::backend::AnnounceOutcome;
use jy_edge::backend::LocalBackend;
use jy_edge::restore;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::VersionedRanges;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::BackendPhase;
use jy_types::endpoint::GrantedRange;
use jy_types::time::Millis;

/// When the era is settled.
const SETTLED_AT: Millis = Millis(22_000);

/// Returns the address at which the backend server listens.
fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 9], 8_080))
}

/// Returns the incarnation on an instance that started at `started_at` as an owner.
fn owner(node: &str, started_at: u64) -> RangeOwner {
    RangeOwner {
        node: node.into(),
        incarnation: BackendIncarnation {
            id: format!("{node}-{started_at}").into(),
            started_at,
        },
    }
}

/// Returns a table in which an owner on instance `n` has all keys, under fence 1.
///
/// # Panics
///
/// Panics if it can't be created.
fn table(started_at: u64) -> RangeTable {
    RangeTable::new(&[(owner("n", started_at), 1)]).expect("one owner")
}

/// Returns `table` after a move of the lower half of the keys to instance `c`, and before its end if it is only marked.
fn moved(table: &RangeTable, started_at: u64, is_marked_only: bool) -> RangeTable {
    let own = owner("n", started_at);
    let marked = table.clone().with_move(&own, 0, 32_767, &owner("c", 1));
    if is_marked_only {
        marked
    } else {
        marked.with_moves_completed(&own, &[], |_| true)
    }
}

/// Returns the snapshot of a new era with a copy in the store, and the last table of the era before.
fn snapshot(copy: &RangeTable, earlier: &RangeTable) -> FleetSnapshot {
    let ranges = VersionedRanges {
        table: Rc::new(copy.clone()),
        revision: 5,
    };
    FleetSnapshot {
        era: 1,
        settled_at: SETTLED_AT,
        ranges: [("s".into(), ranges)].into(),
        earlier_ranges: [("s".into(), Rc::new(earlier.clone()))].into(),
        ..FleetSnapshot::default()
    }
}

/// Returns the state of an agent without an announcement.
fn unannounced_backend() -> LocalBackend {
    LocalBackend::new("n".into(), Millis(0), 10_000, 1_000)
}

/// Applies an announcement of an incarnation, and returns what it is granted.
///
/// # Panics
///
/// Panics if the announcement is not accepted.
fn announce(
    backend: &LocalBackend,
    now: u64,
    started_at: u64,
    table: &RangeTable,
) -> Vec<GrantedRange> {
    let announced = Announcement {
        incarnation: owner("n", started_at).incarnation,
        address: address(),
        service: "s".into(),
        zone: "z".into(),
        slots: 6,
        phase: BackendPhase::Serving,
        sequence: now,
        cold_ms: 0,
        held: Vec::new(),
        released: Vec::new(),
    };
    let outcome = backend.announce(
        Millis(now),
        address(),
        announced,
        Some(table),
        Millis(60_000),
    );
    let AnnounceOutcome::Accepted(reply) = outcome else {
        panic!("the announcement is not accepted");
    };
    reply.map_or_else(Vec::new, |reply| reply.ranges)
}

/// Returns the bounds of ranges.
fn bounds(ranges: &[GrantedRange]) -> Vec<(u16, u16)> {
    let bounds = ranges.iter().map(|range| (range.first, range.last));
    bounds.collect()
}

/// Guards against keys with two owners: those of a crashed process are with another owner, or may be if the answer to the
/// write of their move was lost, when the copy names the crashed one.
#[gtest]
fn held_grants_exited_process_leaves_out_moved() {
    let all = vec![(0, u16::MAX)];
    let upper = vec![(32_768, u16::MAX)];
    for is_marked_only in [false, true] {
        let backend = unannounced_backend();
        announce(&backend, 1_000, 1, &table(1));
        let earlier = moved(&table(1), 1, is_marked_only);
        let snapshot = snapshot(&table(1), &earlier);
        let held = || bounds(&backend.held_grants(Millis(2_000), &snapshot));
        // While the process runs, a mark says nothing.
        expect_that!(held(), eq(if is_marked_only { &all } else { &upper }));
        backend.mark_refused("n-1");
        expect_that!(held(), eq(&upper));
        let restored = restore::table_with_held(Millis(2_000), &backend, &snapshot, "s");
        expect_that!(restored, none(), "the copy has the keys that are held");
        // The process accepts connections again after all.
        backend.set_snapshot(&snapshot);
        let granted = announce(&backend, 2_500, 1, &table(1));
        expect_that!(bounds(&granted), eq(&upper));
    }
}

/// Guards against keys that go to the next incarnation although the agent has moved them to another owner.
#[gtest]
fn inherited_grants_leave_out_moved() {
    for is_marked_only in [false, true] {
        let backend = unannounced_backend();
        announce(&backend, 1_000, 1, &table(1));
        backend.mark_refused("n-1");
        let earlier = moved(&table(1), 1, is_marked_only);
        announce(&backend, 2_000, 2, &earlier);
        let snapshot = snapshot(&table(1), &earlier);
        let inherited = backend.inherited_grants(Millis(2_100), &snapshot, "s");
        expect_that!(bounds(&inherited), eq(&vec![(32_768, u16::MAX)]));
        let restored = restore::table_with_held(Millis(2_100), &backend, &snapshot, "s");
        let restored = restored.expect("the other keys go to the new incarnation");
        let lower = restored.find(0).map(|range| range.owner.clone());
        expect_that!(lower, some(eq(&owner("n", 1))), "as in the copy");
        expect_that!(restored.width_of(&owner("n", 2)), eq(32_768));
    }
}

/// Guards against keys that the next incarnation was granted, and has released since, but that count as held by the one
/// before it.
#[gtest]
fn inherited_grants_end_with_settled_grant() {
    let backend = unannounced_backend();
    announce(&backend, 1_000, 1, &table(1));
    let inherited = |now: u64| {
        let snapshot = snapshot(&table(1), &table(2));
        backend.inherited_grants(Millis(now), &snapshot, "s").len()
    };
    announce(&backend, 2_000, 2, &table(1));
    expect_that!(inherited(2_100), eq(1));
    announce(&backend, 3_000, 2, &table(2));
    expect_that!(inherited(3_100), eq(0));
}
