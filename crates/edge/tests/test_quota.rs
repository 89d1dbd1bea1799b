//! Tests of the credit that agents lend each other over real connections, and of the claims of slots.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use googletest::prelude::*;
use jy_edge::backend::LocalBackend;
use jy_edge::feed::FeedPart;
use jy_edge::feed::SnapshotSender;
use jy_edge::gate::LocalGate;
use jy_edge::gateway::CallerGateway;
use jy_edge::gateway::GatewayParts;
use jy_edge::keys::KeyChecker;
use jy_edge::member::LocalMember;
use jy_edge::metrics::EdgeMetrics;
use jy_edge::quota::LocalQuota;
use jy_edge::quota::QUOTA_PATH;
use jy_edge::quota::QuotaFleet;
use jy_edge::quota::QuotaOutcome;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::ObservedInstance;
use jy_edge::support::LocalSupport;
use jy_http::message::HttpRequest;
use jy_http::server::HttpListener;
use jy_http::server::ReadLimits;
use jy_kernel::clock;
use jy_platform::store::StoreAnswer;
use jy_platform::store::StoreClient;
use jy_policy::budget::BudgetLimits;
use jy_policy::quota::group_of;
use jy_types::endpoint::InstanceRecord;
use jy_types::name::Name;
use jy_types::quota::SlotId;
use jy_types::quota::SlotRecord;
use jy_types::record::Record;
use jy_types::routing::CallerLimits;
use jy_types::routing::RouteRule;
use jy_types::routing::RouteTable;
use jy_types::routing::RouteTarget;
use jy_types::tenant::TenantQuota;
use jy_types::tenant::TenantRule;
use jy_types::tenant::TenantTable;
use jy_types::time::Millis;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::timeout;

const LIMITS: ReadLimits = ReadLimits {
    head_bytes: 16 * 1024,
    body_bytes: 1024,
    read_ms: 1_000,
    idle_ms: 1_000,
};
/// Time within which all slots are claimed, in milliseconds.
const MAX_CLAIM_MS: u64 = 4_000;

thread_local! {
    /// Whether the store answers commits with 503.
    static REFUSES_COMMITS: Cell<bool> = const { Cell::new(false) };
    /// Delay of replies to credit requests, in milliseconds.
    static REPLY_DELAY_MS: Cell<u64> = const { Cell::new(0) };
}

/// An agent that lends and borrows.
struct Agent {
    quota: Rc<LocalQuota>,
    metrics: Rc<EdgeMetrics>,
}

/// A store that grants leases and applies commits of slots' records to the snapshot of all agents.
fn store(node: &Name, lease: u64, snapshot: &Rc<SnapshotSender>) -> StoreClient {
    // The store states the era of the snapshot.
    let (node, snapshot) = (Name::clone(node), Rc::clone(snapshot));
    StoreClient::with_call(Rc::new(move |request: HttpRequest, _| {
        let is_commit = request.path() == "/kv-txn";
        let reply = if is_commit && REFUSES_COMMITS.get() {
            (503, String::new())
        } else if is_commit {
            commit(&node, lease, &snapshot, &request.body)
        } else {
            (200, format!("{{\"lease\":{lease}}}"))
        };
        let era = snapshot.borrow().era;
        let answer = StoreAnswer::new(reply.0, Bytes::from(reply.1)).with_era(era);
        Box::pin(async move { Ok(answer) })
    }))
}

/// Applies a commit; records of slots name the agent that wrote them.
///
/// # Panics
///
/// Panics if the commit is malformed.
fn commit(node: &Name, lease: u64, snapshot: &SnapshotSender, body: &[u8]) -> (u16, String) {
    let commit: Value = serde_json::from_slice(body).expect("a commit is JSON");
    let slot_of = |key: &Value| key.as_str()?.strip_prefix("jy/quota/")?.parse().ok();
    let current = FleetSnapshot::clone(&snapshot.borrow());
    let expected = commit["expected_revision"].as_array().expect("a list");
    let is_expected = |entry: &Value| {
        slot_of(&entry["key"]).is_none_or(|slot| {
            let stored = current.quota_slots.get(&slot);
            stored.map_or(0, |stored| stored.revision) == entry["revision"]
        })
    };
    if !expected.iter().all(is_expected) {
        return (412, String::new());
    }
    let revision = current.revision + 1;
    let record = SlotRecord {
        node: Name::clone(node),
        run: format!("run of {node}").into(),
        lease,
    };
    let value: Name = serde_json::to_string(&record).expect("a record").into();
    let keys = |name: &str, field: Option<&str>| -> Vec<Name> {
        let entries = commit[name].as_array().expect("a list").iter();
        let keys = entries.map(|entry| field.map_or(entry, |field| &entry[field]));
        let slots = keys.filter(|key| slot_of(key).is_some());
        slots.filter_map(Value::as_str).map(Name::from).collect()
    };
    let change = |key, value| Record {
        key,
        revision,
        value,
    };
    let written = keys("writes", Some("key")).into_iter();
    let deleted = keys("deletes", None).into_iter();
    let written = written.map(|key| change(key, Some(Name::clone(&value))));
    let changes: Vec<Record> = written
        .chain(deleted.map(|key| change(key, None)))
        .collect();
    let next = current.with_changes(clock::now(), FeedPart::Fleet, &changes, revision);
    snapshot.send_replace(Rc::new(next));
    (200, format!("{{\"revision\":{revision}}}"))
}

/// Starts an agent in a zone of its own.
///
/// # Panics
///
/// Panics if no port can be bound.
async fn start(node: &str, lease: u64, snapshot: &Rc<SnapshotSender>) -> Agent {
    let node: Name = node.into();
    let run: Name = format!("run of {node}").into();
    let zone: Name = format!("zone of {node}").into();
    let gate = {
        let probe = std::net::TcpListener::bind("127.0.0.1:0").expect("failed to bind a free port");
        probe.local_addr().expect("failed to get the local address")
    };
    let record = InstanceRecord {
        node: Name::clone(&node),
        run: Name::clone(&run),
        gate,
        zone: Name::clone(&zone),
        leaving: false,
        backend: None,
    };
    let mut next = FleetSnapshot::clone(&snapshot.borrow());
    let observed = ObservedInstance {
        record: Rc::new(record.clone()),
        revision: 1,
        lapsed: None,
        lapse_revision: 0,
    };
    next.instances.insert(Name::clone(&node), observed);
    snapshot.send_replace(Rc::new(next));
    let support = LocalSupport::new(
        Name::clone(&node),
        Name::clone(&zone),
        Name::clone(&run),
        Rc::clone(snapshot),
    );
    let member = Rc::new(LocalMember::new(
        store(&node, lease, snapshot),
        Rc::clone(snapshot),
        Name::clone(&node),
        Rc::new(move || record.clone()),
        Rc::new(support),
    ));
    let metrics = Rc::new(EdgeMetrics::new());
    let quota = Rc::new(LocalQuota::new(node, None));
    quota.join(QuotaFleet {
        zone,
        run,
        snapshot: Rc::clone(snapshot),
        member: Rc::clone(&member),
        metrics: Rc::clone(&metrics),
    });
    let lender = Rc::clone(&quota);
    let listener = HttpListener::new(
        Rc::new(move |request, _| {
            assert_eq!(request.path(), QUOTA_PATH);
            let response = lender.answer(&request);
            Box::pin(async move {
                actix_rt::time::sleep(Duration::from_millis(REPLY_DELAY_MS.get())).await;
                response
            })
        }),
        Rc::new(|| LIMITS),
    );
    listener
        .serve(gate)
        .await
        .expect("failed to bind the port of an agent");
    actix_rt::spawn(async move { member.run().await });
    let claiming = Rc::clone(&quota);
    actix_rt::spawn(async move { claiming.run().await });
    Agent { quota, metrics }
}

/// Returns a tenant with a quota.
fn tenant(name: &str, rate_per_s: f64, burst: f64) -> TenantRule {
    TenantRule {
        name: name.into(),
        priority: None,
        quota: Some(TenantQuota { rate_per_s, burst }),
    }
}

/// Returns a snapshot with the configuration of tenants.
fn snapshot_of(tenants: &[TenantRule]) -> FleetSnapshot {
    let table = TenantTable::new();
    let add = |table: TenantTable, rule: &TenantRule| table.with_tenant(rule.clone(), &[]);
    let routes = RouteTable {
        version: 1,
        routes: Vec::new(),
        services: BTreeMap::new(),
        limits: CallerLimits {
            head_bytes: 1024,
            body_bytes: 1024,
            read_ms: 1_000,
            idle_ms: 1_000,
        },
        tenants: (!tenants.is_empty()).then(|| tenants.iter().fold(table, add)),
    };
    FleetSnapshot {
        revision: 1,
        routes: Some(Rc::new(routes)),
        ..FleetSnapshot::default()
    }
}

/// Asks for the credit of one request, for at most 200 ms.
async fn acquire(agent: &Agent, tenant: &TenantRule) -> QuotaOutcome {
    agent.quota.acquire(tenant, clock::now().plus(200)).await
}

/// Waits until all slots are held by agents whose names begin with `prefix`.
///
/// # Panics
///
/// Panics if this takes too long.
async fn wait_for_holders(snapshot: &SnapshotSender, prefix: &str) {
    let mut updates = snapshot.subscribe();
    let held = updates.wait_for(|snapshot| {
        let mut slots = snapshot.quota_slots.values();
        snapshot.quota_slots.len() == 48 && slots.all(|slot| slot.record.node.starts_with(prefix))
    });
    let limit = Duration::from_millis(MAX_CLAIM_MS);
    timeout(limit, held)
        .await
        .expect("the slots are claimed in time")
        .expect("the sender lives");
}

/// Guards against credit that is not found at another agent, that is lent beyond the quota, or that is lost when the
/// holder stops.
#[gtest]
fn acquire_from_other_agent_until_used_up() {
    actix_rt::System::new().block_on(async {
        let (busy, idle) = (tenant("busy", 100.0, 9.0), tenant("idle", 50.0, 30.0));
        let rules = [busy.clone(), idle.clone()];
        let snapshot: Rc<SnapshotSender> =
            Rc::new(watch::Sender::new(Rc::new(snapshot_of(&rules))));
        let agents = [
            start("n-1", 11, &snapshot).await,
            start("n-2", 12, &snapshot).await,
        ];
        wait_for_holders(&snapshot, "n-").await;
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        // One of the agents holds the only part of the tenant.
        let holders = |group| {
            let snapshot = snapshot.borrow();
            let slots = snapshot.quota_slots.iter();
            let of_group = slots.filter(|(slot, _)| slot.group == group);
            of_group
                .map(|(_, slot)| Name::clone(&slot.record.node))
                .collect::<Vec<_>>()
        };
        expect_that!(holders(group_of("busy")), contains(eq(&Name::from("n-1"))));
        expect_that!(holders(group_of("busy")), contains(eq(&Name::from("n-2"))));
        for agent in &agents {
            let outcome = acquire(agent, &busy).await;
            expect_that!(outcome, matches_pattern!(QuotaOutcome::Admitted(_)));
            let outcome = acquire(agent, &idle).await;
            expect_that!(outcome, matches_pattern!(QuotaOutcome::Admitted(_)));
        }
        let messages = agents
            .iter()
            .map(|agent| agent.metrics.quota_messages.get());
        expect_that!(messages.sum::<u64>(), ge(1));
        let mut admitted = 0;
        let mut last = Vec::new();
        for agent in &agents {
            let outcome = loop {
                let wait_until = clock::now();
                match agent.quota.acquire(&busy, wait_until).await {
                    QuotaOutcome::Admitted(_) if admitted < 1_000 => admitted += 1,
                    outcome => break outcome,
                }
            };
            last.push(outcome);
        }
        // The burst, and what accrues in half a second.
        expect_that!(admitted, le(9 + 50));
        expect_that!(
            last,
            contains(matches_pattern!(QuotaOutcome::Exceeded {
                retry_ms: gt(&0)
            }))
        );
        agents[1].quota.release().await;
        wait_for_holders(&snapshot, "n-1").await;
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        let outcome = acquire(&agents[1], &idle).await;
        expect_that!(outcome, matches_pattern!(QuotaOutcome::Admitted(_)));
    });
}

/// Lets the store come back without any slot, while one of two agents holds slots and a third agent starts. The agents
/// read the new era `delay_ms` after their last renewals. Returns the holders before and 2.5 s afterwards.
async fn lose_slots(snapshot: &Rc<SnapshotSender>, delay_ms: u64) -> [BTreeMap<SlotId, Name>; 2] {
    let agents = [
        start("n-1", 11, snapshot).await,
        start("n-2", 12, snapshot).await,
    ];
    wait_for_holders(snapshot, "n-").await;
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
    agents[1].quota.release().await;
    let before = holders(snapshot);
    let read_at = clock::now().plus(delay_ms);
    let next = FleetSnapshot::clone(&snapshot.borrow())
        .with_era(read_at, FeedPart::Fleet, 1)
        .with_changes(clock::now(), FeedPart::Fleet, &[], 5);
    snapshot.send_replace(Rc::new(next));
    let _late = start("n-3", 13, snapshot).await;
    actix_rt::time::sleep(Duration::from_millis(2_500)).await;
    [before, holders(snapshot)]
}

/// Returns the holders of all slots.
fn holders(snapshot: &SnapshotSender) -> BTreeMap<SlotId, Name> {
    let snapshot = snapshot.borrow();
    let slots = snapshot.quota_slots.iter();
    slots
        .map(|(slot, held)| (*slot, Name::clone(&held.record.node)))
        .collect()
}

/// Guards against slots without a holder until the leases of an earlier era have ended, and against claims meanwhile of
/// slots that the agent did not hold, or held under a lease that may have ended before the store stopped.
#[gtest]
fn run_new_era_claims_remembered_slots_only() {
    actix_rt::System::new().block_on(async {
        for delay_ms in [0, 10_000] {
            let rules = [tenant("busy", 100.0, 9.0)];
            let snapshot: Rc<SnapshotSender> =
                Rc::new(watch::Sender::new(Rc::new(snapshot_of(&rules))));
            let [before, after] = lose_slots(&snapshot, delay_ms).await;
            expect_that!(before.len(), gt(0));
            if delay_ms > 0 {
                expect_that!(after.len(), eq(0));
                continue;
            }
            expect_that!(after, eq(&before));
            wait_for_holders(&snapshot, "n-").await;
        }
    });
}

/// Guards against slots that are claimed, and messages that are sent, without any tenant with a quota.
#[gtest]
fn run_without_quotas_writes_nothing() {
    actix_rt::System::new().block_on(async {
        let mut free = tenant("free", 1.0, 1.0);
        free.quota = None;
        for rules in [vec![], vec![free.clone()]] {
            let snapshot: Rc<SnapshotSender> =
                Rc::new(watch::Sender::new(Rc::new(snapshot_of(&rules))));
            let agent = start("n-1", 11, &snapshot).await;
            actix_rt::time::sleep(Duration::from_millis(1_500)).await;
            expect_that!(snapshot.borrow().quota_slots.len(), eq(0));
            let outcome = acquire(&agent, &free).await;
            expect_that!(outcome, matches_pattern!(QuotaOutcome::Admitted(_)));
            expect_that!(agent.metrics.quota_messages.get(), eq(0));
        }
    });
}

/// Guards against records that stay until the lease ends after the store failed once at the release.
#[gtest]
fn release_after_failed_commit_is_repeated() {
    actix_rt::System::new().block_on(async {
        let busy = tenant("busy", 50.0, 9.0);
        let snapshot: Rc<SnapshotSender> =
            Rc::new(watch::Sender::new(Rc::new(snapshot_of(&[busy]))));
        let agent = start("n-1", 11, &snapshot).await;
        wait_for_holders(&snapshot, "n-1").await;
        let _other = start("n-2", 12, &snapshot).await;
        REFUSES_COMMITS.set(true);
        agent.quota.release().await;
        expect_that!(snapshot.borrow().quota_slots.len(), eq(48));
        REFUSES_COMMITS.set(false);
        wait_for_holders(&snapshot, "n-2").await;
    });
}

/// Guards against requests that are refused because the quota that they wait for is removed.
#[gtest]
fn acquire_waits_while_quota_is_removed() {
    actix_rt::System::new().block_on(async {
        let slow = tenant("slow", 1.0, 1.0);
        let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(Rc::new(snapshot_of(
            std::slice::from_ref(&slow),
        ))));
        let agent = start("n-1", 11, &snapshot).await;
        wait_for_holders(&snapshot, "n-").await;
        while let QuotaOutcome::Admitted(_) = agent.quota.acquire(&slow, clock::now()).await {}
        let mut free = slow.clone();
        free.quota = None;
        let mut next = FleetSnapshot::clone(&snapshot.borrow());
        next.routes = snapshot_of(&[free]).routes;
        let updated = Rc::clone(&snapshot);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(100)).await;
            updated.send_replace(Rc::new(next));
        });
        let outcome = agent.quota.acquire(&slow, clock::now().plus(3_000)).await;
        expect_that!(outcome, matches_pattern!(QuotaOutcome::Admitted(_)));
        expect_that!(format!("{outcome:?}"), contains_substring("tag: None"));
    });
}

/// Builds the gateway of an agent without a backend server.
fn gateway(agent: &Agent, snapshot: &Rc<SnapshotSender>) -> Rc<CallerGateway> {
    let backend = LocalBackend::new("n-1".into(), Millis(0), 10_000, 1_000);
    let gate = LocalGate::new(
        "z".into(),
        ([127, 0, 0, 1], 9).into(),
        Rc::new(backend),
        Rc::clone(snapshot),
        Rc::clone(&agent.metrics),
        1_250.0,
    );
    Rc::new(CallerGateway::new(GatewayParts {
        node: "n-1".into(),
        zone: "z".into(),
        reload_settings: Rc::new(|| ()),
        gate: Rc::new(gate),
        snapshot: Rc::clone(snapshot),
        link_bytes_per_ms: 1_250.0,
        budget: BudgetLimits {
            ratio: 0.2,
            slack: 50.0,
            window_ms: 10_000,
        },
        quota: Rc::clone(&agent.quota),
        keys: KeyChecker::new(Rc::default(), None),
        metrics: Rc::clone(&agent.metrics),
        refresh_requested: Rc::new(Notify::new()),
    }))
}

/// Guards against an agent that refuses requests without waiting for credit, since it had no processor time for longer
/// than the wait between their arrival and the credit request.
#[gtest]
fn serve_late_request_waits_for_credit() {
    actix_rt::System::new().block_on(async {
        let busy = tenant("busy", 100.0, 30.0);
        let mut first = snapshot_of(&[]);
        let mut routes = RouteTable::clone(first.routes.as_ref().expect("a configuration"));
        routes.tenants = Some(TenantTable::new().with_tenant(busy, &["key"]));
        routes.routes.push(RouteRule {
            name: "route".into(),
            host: "h.example".into(),
            prefix: "/p/".into(),
            idempotent: true,
            timeout_ms: 1_000,
            objective_ms: 400,
            priority: 1,
            max_attempts: 1,
            public: false,
            targets: vec![RouteTarget {
                service: "s".into(),
                weight: 1,
            }],
        });
        first.routes = Some(Rc::new(routes));
        let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(Rc::new(first)));
        let _holder = start("n-2", 12, &snapshot).await;
        wait_for_holders(&snapshot, "n-2").await;
        let agent = start("n-1", 11, &snapshot).await;
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        let request = HttpRequest::new(Method::GET, "/p/x")
            .with_header("host", "h.example")
            .with_header("x-request-id", "r1")
            .with_header("authorization", "Token key");
        // The wait is an eighth of the objective.
        let received_at = clock::now().minus(100);
        let gateway = gateway(&agent, &snapshot);
        let _response = gateway.serve(request, received_at).await;
        expect_that!(agent.metrics.quota_unreachable.get(), eq(0));
        expect_that!(agent.metrics.quota_admitted.get(), eq(1));
    });
}

/// Guards against credit that is kept until it expires if it arrives after the request has given up.
#[gtest]
fn acquire_given_up_returns_late_credit() {
    actix_rt::System::new().block_on(async {
        let busy = tenant("busy", 100.0, 9.0);
        let snapshot: Rc<SnapshotSender> = Rc::new(watch::Sender::new(Rc::new(snapshot_of(
            std::slice::from_ref(&busy),
        ))));
        let _holder = start("n-2", 12, &snapshot).await;
        wait_for_holders(&snapshot, "n-2").await;
        let agent = start("n-1", 11, &snapshot).await;
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        REPLY_DELAY_MS.set(30);
        let outcome = agent.quota.acquire(&busy, clock::now().plus(10)).await;
        expect_that!(outcome, not(matches_pattern!(QuotaOutcome::Admitted(_))));
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let messages = agent.metrics.quota_messages.get();
        expect_that!(messages, eq(2), "one that asks and one that returns");
    });
}
