//! Tests what becomes of a backend server once its end was reported, in whatever order its reports arrive.

use std::net::SocketAddr;

use googletest::prelude::*;
use jy_edge::backend::AnnounceOutcome;
use jy_edge::backend::LocalBackend;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::BackendPhase;
use jy_types::time::Millis;
use jy_types::time::WallMillis;

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);
/// Time for which the backend server serves its keys after it has begun to leave, in milliseconds.
const DRAIN_MS: u64 = 2_000;
/// When an end is reported and when late announcements arrive, in milliseconds; the same on the wall clock.
const REPORTED_AT: u64 = 5_000;
const LATE_AT: u64 = 5_500;

/// Returns an announcement.
fn announcement(id: &str, started_at: u64) -> Announcement {
    Announcement {
        incarnation: BackendIncarnation {
            id: id.into(),
            started_at,
        },
        address: ADDRESS,
        service: "s".into(),
        zone: "z".into(),
        slots: 6,
        phase: BackendPhase::Serving,
        sequence: 1,
        cold_ms: 0,
        held: Vec::new(),
        released: Vec::new(),
    }
}

/// Returns an agent that has heard of nothing.
fn unaware_backend() -> LocalBackend {
    LocalBackend::new("n".into(), Millis(0), 10_000, 1_000).with_drain_ms(DRAIN_MS)
}

/// Applies an announcement.
fn announce(backend: &LocalBackend, now: u64, announced: Announcement) -> AnnounceOutcome {
    backend.announce(Millis(now), ADDRESS, announced, None, Millis(0))
}

/// Reports the end of a backend server.
fn report_end(backend: &LocalBackend, now: u64, id: &str) -> BackendIncarnation {
    backend.mark_ended(Millis(now), WallMillis(now), id)
}

/// Whether requests are sent to the backend server at `now`.
fn accepts(backend: &LocalBackend, now: u64, is_keyed: bool) -> bool {
    backend.read(|state| state.is_some_and(|state| backend.accepts(Millis(now), state, is_keyed)))
}

/// Guards against a backend server that is used after its end was acknowledged: the agent had not heard of it, and an
/// announcement from before arrives later.
#[gtest]
fn mark_ended_unknown_takes_late_announcement_as_ended() {
    for earlier in [None, Some("i-0")] {
        let backend = unaware_backend();
        if let Some(id) = earlier {
            announce(&backend, 100, announcement(id, 50));
        }
        let ended = report_end(&backend, REPORTED_AT, "i-1");
        let leaving = backend.leaving().expect("an end was reported");
        expect_that!(leaving.contains(&ended), eq(true));
        announce(&backend, LATE_AT, announcement("i-1", 200));
        expect_that!(accepts(&backend, LATE_AT, false), eq(false), "{earlier:?}");
        let serves_keys = accepts(&backend, LATE_AT, true);
        expect_that!(serves_keys, eq(true), "{earlier:?}");
        let drained_at = REPORTED_AT + DRAIN_MS;
        let serves_keys = accepts(&backend, drained_at, true);
        expect_that!(serves_keys, eq(false), "{earlier:?}");
        let phase = backend.listed().map(|listed| listed.phase);
        expect_that!(phase, some(eq(BackendPhase::Draining)));
        expect_that!(backend.leaving(), some(eq(&leaving)), "nothing to record");
    }
}

/// Guards against an end that takes more than it names: other ids, and later starts under the same id.
#[gtest]
fn mark_ended_unknown_spares_others() {
    for (id, started_at) in [("i-2", 200), ("i-1", REPORTED_AT + 1)] {
        let backend = unaware_backend();
        report_end(&backend, REPORTED_AT, "i-1");
        announce(&backend, LATE_AT, announcement(id, started_at));
        let is_used = accepts(&backend, LATE_AT, false);
        expect_that!(is_used, eq(true), "{id} {started_at}");
    }
}

/// Guards against ends that push each other out: of several backend servers, and of two lives under one id.
#[gtest]
fn mark_ended_several_unknown_all_stay_ended() {
    let backend = unaware_backend();
    for (number, id) in (0..).zip(["i-1", "i-2", "i-1"]) {
        report_end(&backend, REPORTED_AT + number * 100, id);
    }
    let starts = [("i-2", 200), ("i-1", 300), ("i-1", REPORTED_AT + 150)];
    for (id, started_at) in starts {
        announce(&backend, LATE_AT, announcement(id, started_at));
        let is_used = accepts(&backend, LATE_AT, false);
        expect_that!(is_used, eq(false), "{id} {started_at}");
    }
}

/// Guards against an agent that keeps every end that it is told of.
#[gtest]
fn mark_ended_many_unknown_are_bounded() {
    let backend = unaware_backend();
    for number in 0..1_000 {
        report_end(&backend, REPORTED_AT, &format!("i-{number}"));
    }
    let leaving = backend.leaving().expect("ends were reported");
    let text = serde_json::to_string(&leaving).expect("a record");
    expect_that!(text.len(), lt(400));
    expect_that!(text, contains_substring("i-999"));
}
