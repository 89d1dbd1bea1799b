//! Tests of the support that an owner of keys asks of its witnesses, over real connections.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::StatusCode;
use googletest::prelude::*;
use jy_edge::feed::SnapshotSender;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::ObservedInstance;
use jy_edge::snapshot::VersionedWitnesses;
use jy_edge::support::LocalSupport;
use jy_http::message::HttpRequest;
use jy_http::message::HttpResponse;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use jy_kernel::clock;
use jy_lease::witness::WitnessSet;
use jy_types::endpoint::InstanceRecord;
use jy_types::name::Name;
use jy_types::time::Millis;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 1024,
    read_ms: 1_000,
    idle_ms: 1_000,
};
/// Time within which an owner whose epoch was denied chooses another one, in milliseconds.
const MAX_REPLACEMENT_MS: u64 = 2_000;
const POLL_INTERVAL_MS: u64 = 50;
/// An authority that does not limit the support.
const UNLIMITED: Millis = Millis::MAX;

/// Returns the record of an agent.
fn record(node: &Name, gate: SocketAddr) -> ObservedInstance {
    let record = InstanceRecord {
        node: Name::clone(node),
        run: format!("run of {node}").into(),
        gate,
        zone: format!("zone of {node}").into(),
        leaving: false,
        backend: None,
    };
    ObservedInstance {
        record: Rc::new(record),
        revision: 1,
        lapsed: None,
        lapse_revision: 0,
    }
}

/// Returns the state of an agent that has just started.
fn support(node: &Name, snapshot: &Rc<SnapshotSender>) -> Rc<LocalSupport> {
    let (run, zone) = (format!("run of {node}"), format!("zone of {node}"));
    let (run, zone, snapshot) = (run.into(), zone.into(), Rc::clone(snapshot));
    Rc::new(LocalSupport::new(Name::clone(node), zone, run, snapshot))
}

/// Starts a witness that answers other agents, and returns its address.
///
/// # Panics
///
/// Panics if no port can be bound.
async fn serve(witness: Rc<LocalSupport>) -> SocketAddr {
    let address = {
        let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("failed to bind a free port");
        probe.local_addr().expect("failed to get the local address")
    };
    let listener = HttpListener::new(
        Rc::new(move |request, _| {
            let response = witness.answer(&request);
            Box::pin(async move {
                response.unwrap_or_else(|| HttpResponse::new(StatusCode::NOT_FOUND, ""))
            })
        }),
        Rc::new(|| LIMITS),
    );
    listener
        .serve(address)
        .await
        .expect("failed to bind the port of a witness");
    address
}

/// Guards against an owner that never grants keys again: its witnesses denied it before a take-over, the record of its
/// witnesses is gone, and its new run begins with the epoch that was denied.
#[gtest]
fn replacement_set_after_lost_record_passes_denied_epoch() {
    actix_rt::System::new().block_on(async {
        let snapshot: Rc<SnapshotSender> =
            Rc::new(watch::Sender::new(Rc::new(FleetSnapshot::default())));
        let mut instances = BTreeMap::new();
        for node in ["n-1", "n-2", "n-3"].map(Name::from) {
            let witness = support(&node, &snapshot);
            let target = format!("/jy/deny?owner=n-0&epoch=1&run=run+of+{node}");
            let denial = witness.answer(&HttpRequest::new(Method::GET, &target));
            let body = denial.expect("a witness answers").body;
            expect_that!(String::from_utf8_lossy(&body), eq("\"denied\""));
            let address = serve(witness).await;
            instances.insert(Name::clone(&node), record(&node, address));
        }
        snapshot.send_replace(Rc::new(FleetSnapshot {
            instances,
            ..FleetSnapshot::default()
        }));
        let owner = support(&"n-0".into(), &snapshot);
        owner.set_wanted(true);
        let record_set = |set: WitnessSet, revision: u64| {
            let epoch = set.epoch;
            owner.propose(set.clone());
            let mut next = FleetSnapshot::clone(&snapshot.borrow());
            let set = Rc::new(set);
            next.witnesses
                .insert("n-0".into(), VersionedWitnesses { set, revision });
            snapshot.send_replace(Rc::new(next));
            owner.confirm(epoch);
        };
        let first = owner.replacement_set(clock::now());
        record_set(first.expect("there are three agents to choose from"), 5);
        let asking = Rc::clone(&owner);
        actix_rt::spawn(async move { asking.run().await });
        let replaced = async {
            loop {
                sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
                if let Some(set) = owner.replacement_set(clock::now()) {
                    return set;
                }
            }
        };
        let replaced = timeout(Duration::from_millis(MAX_REPLACEMENT_MS), replaced).await;
        let set = replaced.expect("a set with a later epoch is proposed in time");
        expect_that!(set.epoch, eq(2));
        record_set(set, 6);
        sleep(Duration::from_millis(POLL_INTERVAL_MS * 4)).await;
        expect_that!(owner.authorized_until(UNLIMITED), gt(clock::now()));
    });
}

/// Guards against a take-over that rests on a set of witnesses of the store's older copy, while the owner is supported
/// by another set.
#[gtest]
fn answer_denial_waits_until_era_is_settled() {
    let fleet = FleetSnapshot {
        settled_at: clock::now().plus(60_000),
        ..FleetSnapshot::default()
    };
    let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(Rc::new(fleet)));
    let witness = support(&"n-1".into(), &snapshot);
    let answer = || {
        let target = "/jy/deny?owner=n-0&epoch=1&run=run+of+n-1";
        let response = witness.answer(&HttpRequest::new(Method::GET, target));
        let body = response.expect("a witness answers").body;
        String::from_utf8_lossy(&body).into_owned()
    };
    expect_that!(answer(), starts_with("{\"supported\""));
    snapshot.send_replace(Rc::default());
    expect_that!(answer(), eq("\"denied\""));
}
