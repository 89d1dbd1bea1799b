//! Tests which service the agent takes the backend server beside it for.

use std::net::SocketAddr;

use googletest::prelude::*;
use jy_edge::backend::LocalBackend;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::BackendPhase;
use jy_types::time::Millis;
use jy_types::time::WallMillis;

/// When the agent reads its first settings.
const START: WallMillis = WallMillis(1_000);
const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

/// A change of what the agent knows.
#[derive(Clone, Copy, Debug)]
enum ServiceEvent {
    /// The settings name a service, first read at a time.
    Settings(u64, &'static str),
    /// A backend server that started at a time announces a service.
    Announced(u64, &'static str),
    /// The backend server that started at a time reports its end.
    Ended(u64),
}

/// Returns the id of the backend server that started at `started_at`.
fn id_of(started_at: u64) -> String {
    format!("i-{started_at}")
}

/// Applies an event.
///
/// # Panics
///
/// Panics if a backend server ends that had not announced itself.
fn apply(backend: &LocalBackend, number: u64, event: ServiceEvent) {
    match event {
        ServiceEvent::Settings(read_at, service) => {
            backend.set_service(WallMillis(read_at), service.into());
        }
        ServiceEvent::Announced(started_at, service) => {
            let announced = Announcement {
                incarnation: BackendIncarnation {
                    id: id_of(started_at).into(),
                    started_at,
                },
                address: ADDRESS,
                service: service.into(),
                zone: "z".into(),
                slots: 6,
                phase: BackendPhase::Serving,
                sequence: number,
                cold_ms: 0,
                held: Vec::new(),
                released: Vec::new(),
            };
            backend.announce(Millis(number), ADDRESS, announced, None, Millis(0));
        }
        ServiceEvent::Ended(started_at) => {
            let ended = backend.mark_ended(Millis(number), WallMillis(number), &id_of(started_at));
            assert_eq!(ended.started_at, started_at, "it had announced itself");
        }
    }
}

/// Guards against requests that state the service of a backend server that is gone, in each order in which the agent may
/// learn of the next one.
#[gtest]
fn service_newest_statement_counts() {
    use ServiceEvent::Announced;
    use ServiceEvent::Ended;
    use ServiceEvent::Settings;
    let cases: [(&str, &[ServiceEvent]); 11] = [
        // Nothing has been announced.
        ("old", &[]),
        ("new", &[Settings(2_000, "new")]),
        // The backend server was there before the agent.
        ("old", &[Announced(500, "old")]),
        ("new", &[Announced(500, "old"), Settings(2_000, "new")]),
        // The next one is known from its announcement, from the settings, or from both.
        ("new", &[Announced(500, "old"), Announced(2_000, "new")]),
        ("new", &[Settings(2_100, "new"), Announced(2_000, "new")]),
        ("new", &[Announced(2_000, "new"), Settings(2_100, "new")]),
        // Its service stays known while it is silent, and after its end.
        ("new", &[Announced(2_000, "new"), Ended(2_000)]),
        // A late announcement of a backend server that the agent never heard of, gone before the settings changed.
        ("new", &[Settings(3_000, "new"), Announced(2_000, "old")]),
        // The time of day was set back before the settings changed.
        ("new", &[Announced(2_000, "old"), Settings(1_500, "new")]),
        // A service that the configuration does not have.
        ("old", &[Announced(2_000, "unknown")]),
    ];
    for (expected, events) in cases {
        let backend = LocalBackend::new("n".into(), Millis(0), 10_000, 1_000);
        let backend = backend.with_service(START, "old".into());
        for (number, event) in (1..).zip(events) {
            apply(&backend, number, *event);
        }
        let service = backend.service(|service| service != "unknown");
        expect_that!(&*service, eq(expected), "{events:?}");
    }
}
