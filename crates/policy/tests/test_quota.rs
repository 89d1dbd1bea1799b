//! Tests of the quotas of tenants over all agents of a fleet, in virtual time.

use googletest::prelude::*;
use jy_policy::quota::QuotaAllowance;
use jy_policy::quota::QuotaTerms;
use jy_policy::quota::SharedBook;
use jy_policy::quota::account::AccountStep;
use jy_policy::quota::account::PartView;
use jy_policy::quota::account::TenantAccount;
use jy_policy::quota::bucket::CreditBucket;
use jy_policy::quota::claims::SlotView;
use jy_policy::quota::claims::reclaims;
use jy_policy::quota::lender::CreditLender;
use jy_policy::quota::lender::LeaseTerm;
use jy_testutils::quota_check::End;
use jy_testutils::quota_check::World;
use jy_testutils::quota_check::book;
use jy_types::name::Name;
use jy_types::quota::CreditGrant;
use jy_types::quota::CreditReply;
use jy_types::quota::CreditRequest;
use jy_types::quota::SlotId;
use jy_types::tenant::TenantQuota;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

const WINDOW_MS: u64 = 5_000;
/// Time in which the slots of a new fleet are claimed and the buckets fill.
const START_MS: u64 = 8_000;
const AGENTS: usize = 12;

/// Where the requests of a tenant arrive.
#[derive(Clone, Copy)]
enum Callers {
    One,
    All,
    /// At another agent every 700 ms.
    Moving,
    /// At all agents, for 1.5 s after a pause of 4.5 s, in which buckets fill and credit is requested ahead.
    Waves,
}

/// The demand of one tenant, in requests per second.
struct Demand(&'static str, f64, Callers);

/// Has requests arrive at random times until `end`.
fn drive(world: &mut World, demands: &[Demand], end: u64) {
    while world.now < end {
        for Demand(tenant, rate, callers) in demands {
            let tenant: Name = (*tenant).into();
            let is_pause = matches!(callers, Callers::Waves) && world.now % 6_000 < 4_500;
            let mut left = if is_pause { 0.0 } else { rate / 1_000.0 };
            while left > 0.0 {
                if world.rng.random::<f64>() < left {
                    let agent = match callers {
                        Callers::One => 1,
                        Callers::All | Callers::Waves => world.rng.random_range(0..AGENTS),
                        Callers::Moving => (world.now / 700) as usize % AGENTS,
                    };
                    world.arrive(agent, &tenant);
                }
                left -= 1.0;
            }
        }
        world.run_until(world.now + 1);
    }
}

/// Returns by how much the admitted requests of a tenant exceed the page's bound in the worst window of those that
/// begin at `from` or later; at most zero if they keep it.
fn excess(world: &World, tenant: &str, rate: f64, burst: f64, from: u64) -> f64 {
    let ends = world.ends.get(tenant).map_or(&[][..], Vec::as_slice);
    let admitted = ends.iter().filter(|(_, end, _)| *end == End::Admitted);
    let mut times: Vec<u64> = admitted
        .map(|(_, _, at)| *at)
        .filter(|at| *at >= from)
        .collect();
    times.sort_unstable();
    let bound = (rate * WINDOW_MS as f64 / 1_000.0 + burst) * 1.1 + 20.0;
    let count = |index: usize| times.partition_point(|at| *at <= times[index] + WINDOW_MS) - index;
    let worst = (0..times.len()).map(count).max().unwrap_or_default();
    worst as f64 - bound
}

/// Returns the number of requests that arrived in a time and ended in a way.
fn count(world: &World, tenant: &str, end: End, from: u64, to: u64) -> usize {
    let ends = world.ends.get(tenant).map_or(&[][..], Vec::as_slice);
    let is_counted =
        |(arrived, ended, _): &&(u64, End, u64)| *ended == end && (from..to).contains(arrived);
    ends.iter().filter(is_counted).count()
}

/// The quotas of most tests.
fn quotas() -> SharedBook {
    book(1, &QUOTAS)
}

const QUOTAS: [(&str, f64, f64); 4] = [
    ("large", 300.0, 300.0),
    ("middle", 20.0, 20.0),
    ("small", 2.0, 2.0),
    ("hot", 40.0, 40.0),
];

/// Guards against requests beyond the bound after holders and borrowers were killed, frozen or cut off, messages
/// were lost or late, and slots moved; and against quotas that stay without credit after the faults.
#[gtest]
fn lend_random_faults_keep_bound_and_recover() {
    for seed in 0..8 {
        let mut world = World::new(seed, AGENTS, &quotas());
        world.refund_share = 0.1;
        let demands = [
            Demand("large", 500.0, Callers::All),
            Demand("middle", 100.0, Callers::All),
            Demand("small", 14.0, Callers::All),
            Demand("hot", 175.0, Callers::One),
            Demand("hot", 400.0, Callers::Waves),
        ];
        drive(&mut world, &demands, START_MS);
        for _ in 0..30 {
            let agent = world.rng.random_range(0..AGENTS);
            let duration_ms = world.rng.random_range(100..9_000);
            match world.rng.random_range(0..7) {
                0 => world.freeze(agent, duration_ms),
                1 => world.cut(agent, duration_ms),
                2 => world.kill(agent, duration_ms),
                3 => (0..AGENTS).for_each(|agent| world.kill(agent, 500)),
                4 => (0..AGENTS / 3).for_each(|agent| world.cut(agent, 9_000)),
                5 => world.delays_ms = (150, 1_500),
                _ => world.loss = 0.3,
            }
            let pause_ms = world.rng.random_range(100..2_000);
            let end = world.now + pause_ms;
            drive(&mut world, &demands, end);
            (world.loss, world.delays_ms) = (0.0, (2, 8));
        }
        // The last faults end after 9 s; then slots are claimed and buckets fill.
        let recovered = world.now + 9_000 + 6_000;
        drive(&mut world, &demands, recovered + 10_000);
        for (tenant, rate, burst) in QUOTAS {
            expect_that!(
                excess(&world, tenant, rate, burst, 0),
                le(0.0),
                "{tenant} {seed}"
            );
            let admitted = count(&world, tenant, End::Admitted, recovered, recovered + 10_000);
            if tenant != "hot" {
                let least = rate * 10.0 * 0.85 * 0.9;
                expect_that!(
                    admitted as f64,
                    ge(least),
                    "{tenant} after the faults, {seed}"
                );
            }
            let lost = count(&world, tenant, End::Unreachable, recovered, u64::MAX);
            expect_that!(lost, eq(0), "{tenant} after the faults, {seed}");
        }
    }
}

/// Guards against refusals of tenants that use 1/1.6 of their quotas, wherever their callers are, while another
/// tenant sends 7 times its demand.
#[gtest]
fn lend_normal_demand_is_admitted_beside_hot_tenant() {
    for (seed, callers) in [(1, Callers::One), (2, Callers::All), (3, Callers::Moving)] {
        let mut world = World::new(seed, AGENTS, &quotas());
        let demands = [
            Demand("large", 300.0 / 1.6, callers),
            Demand("middle", 20.0 / 1.6, callers),
            Demand("small", 2.0 / 1.6, callers),
            Demand("hot", 40.0 / 1.6 * 7.0, Callers::All),
        ];
        drive(&mut world, &demands, START_MS);
        let messages = world.messages;
        let end = START_MS + 60_000;
        drive(&mut world, &demands, end);
        for (tenant, rate, burst) in QUOTAS {
            let refused = count(&world, tenant, End::Exceeded, START_MS, end);
            let lost = count(&world, tenant, End::Unreachable, START_MS, end);
            expect_that!(lost, eq(0), "{tenant}");
            if tenant != "hot" {
                expect_that!(refused, eq(0), "{tenant}, {seed}");
            }
            expect_that!(excess(&world, tenant, rate, burst, 0), le(0.0), "{tenant}");
        }
        let admitted = count(&world, "hot", End::Admitted, START_MS, end);
        expect_that!(admitted as f64, ge(40.0 * 60.0 * 0.97), "hot, {seed}");
        let per_agent = (world.messages - messages) as f64 / 60.0 / AGENTS as f64;
        expect_that!(per_agent, le(20.0), "messages a second, {seed}");
    }
}

/// Guards against refusals of tenants whose quota is divided, while one agent is lost that may hold the part of the other
/// agents' own zone: the reply that does not come takes as long as a request may wait.
#[gtest]
fn lend_lost_holder_leaves_divided_tenants() {
    for agent in (0..AGENTS).step_by(3) {
        let mut world = World::new(30, AGENTS, &quotas());
        let demands = [
            Demand("large", 300.0 / 1.6, Callers::All),
            // Two thirds of the quota are left.
            Demand("middle", 20.0 / 2.2, Callers::All),
        ];
        drive(&mut world, &demands, START_MS);
        world.kill(agent, 60_000);
        let end = START_MS + 10_000;
        drive(&mut world, &demands, end);
        for tenant in ["large", "middle"] {
            let refused = count(&world, tenant, End::Exceeded, START_MS, end);
            let lost = count(&world, tenant, End::Unreachable, START_MS, end);
            expect_that!((refused, lost), eq((0, 0)), "{tenant} {agent}");
        }
        let held = world.held();
        let live = (0..AGENTS).filter(|live| *live != agent);
        expect_that!(live.map(|live| held[live]).sum::<usize>(), eq(48));
    }
}

/// Guards against quotas that are used up by requests that were refused and did not run: without returned credit, half
/// again of what the quotas allow would be needed.
#[gtest]
fn put_back_credit_of_refused_requests_is_used_again() {
    let mut world = World::new(9, AGENTS, &quotas());
    world.refund_share = 0.6;
    let demands = [
        Demand("large", 300.0 * 1.5, Callers::All),
        Demand("middle", 20.0 * 1.5, Callers::All),
        Demand("small", 2.0 * 1.5, Callers::All),
    ];
    let end = START_MS + 60_000;
    drive(&mut world, &demands, end);
    for (tenant, rate, burst) in &QUOTAS[..3] {
        let refused = count(&world, tenant, End::Exceeded, START_MS, end);
        expect_that!(refused as f64, le(rate * 60.0 * 0.01), "{tenant}");
        expect_that!(excess(&world, tenant, *rate, *burst, 0), le(0.0));
    }
}

/// Guards against callers that are told to come back all at once.
#[gtest]
fn refuse_together_spreads_retries_in_order() {
    let book = quotas();
    let terms = book.terms["middle"].expect("the tenant has a quota");
    let mut bucket = CreditBucket::new(Millis(0), &terms);
    let waits = [0, 1, 2].map(|_| bucket.lend(Millis(0), 1, 1).wait_ms);
    expect_that!(waits, eq([150, 300, 450]));
    let mut account = TenantAccount::new(1, terms);
    let request = account.request(Millis(0), &"middle".into(), 0, 3);
    let grant = CreditGrant {
        version: 1,
        lent: 0,
        valid_ms: terms.valid_ms,
        stamp: 1,
        wait_ms: 450,
        spacing_ms: 150,
    };
    account.apply(Millis(0), Millis(0), &request, &grant);
    let retries = [0, 1, 2].map(|now| account.refuse(Millis(now), Millis(450)));
    expect_that!(retries, eq([450, 599, 748]));
}

/// Guards against a lowered limit that is exceeded by more than the bound once it is in force everywhere, and
/// against refusals by a raised limit for longer than 200 ms, also if the holders learn of it last.
#[gtest]
fn lend_changed_limit_binds_and_is_found() {
    for seed in 20..24 {
        let limits = |version, rate| book(version, &[("large", rate, 30.0)]);
        let mut world = World::new(seed, AGENTS, &limits(1, 300.0));
        let demands = [
            Demand("large", 90.0, Callers::All),
            Demand("large", 90.0, Callers::One),
        ];
        drive(&mut world, &demands, START_MS);
        world.configure(&limits(2, 1.0), 2_000);
        let lowered = world.now + 2_000;
        drive(&mut world, &demands, lowered + 20_000);
        expect_that!(
            excess(&world, "large", 1.0, 30.0, lowered),
            le(0.0),
            "{seed}"
        );
        world.configure_one(1, &limits(3, 300.0), 0);
        for agent in (0..AGENTS).filter(|agent| *agent != 1) {
            world.configure_one(agent, &limits(3, 300.0), 2_000);
        }
        let raised = world.now + 2_000;
        drive(&mut world, &demands[1..], raised + 3_000);
        // The buckets of the holders are empty when they learn of the limit.
        let refused = count(&world, "large", End::Exceeded, raised + 200, u64::MAX);
        expect_that!(refused, eq(0), "{seed}");
    }
}

/// Guards against terms by which the requests in a window may exceed the bound: with full buckets, all credit lent
/// within the validity before the window, and all that accrues in it.
#[gtest]
fn new_terms_keep_bound_in_worst_case() {
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..2_000 {
        let rate_per_s = 10f64.powf(rng.random_range(-1.0..4.0));
        let burst = rate_per_s * rng.random_range(0.0..4.0);
        let quota = TenantQuota { rate_per_s, burst };
        let terms = QuotaTerms::new("tenant", quota, QuotaAllowance::default());
        let parts = (0..3).filter(|part| terms.has_part(*part)).count() as f64;
        let span_ms = (WINDOW_MS + terms.valid_ms) as f64;
        let most = parts * (terms.depth + span_ms * terms.rate_per_ms);
        let bound = (rate_per_s * 5.0 + burst) * 1.1 + 20.0;
        expect_that!(most, le(bound), "{quota:?} {terms:?}");
        expect_that!(terms.depth * parts, ge(burst));
    }
}

/// Guards against new holders that lend what the holder before them lent already.
#[gtest]
fn hold_starts_without_credit() {
    let mut lender = CreditLender::new();
    lender.set_book(Millis(0), quotas());
    for slot in SlotId::all() {
        lender.hold(Millis(50_000), slot, 7, 1);
    }
    let request = CreditRequest {
        tenant: "large".into(),
        part: 0,
        version: 1,
        needed: 900,
        wanted: 900,
        returned: Vec::new(),
    };
    let term = LeaseTerm {
        lease: 7,
        until: Millis(90_000),
    };
    let mut lent = |now| match lender.answer(Millis(now), Some(term), &request) {
        CreditReply::Grant(grant) => grant.lent,
        CreditReply::NotHolder => u32::MAX,
    };
    expect_that!(lent(50_000), eq(0));
    expect_that!(lent(50_100), eq(10), "a third of 300 a second");
}

/// Guards against holders that lend after their lease may have ended, or under a lease that did.
#[gtest]
fn answer_lends_only_under_present_lease() {
    let book = quotas();
    let mut lender = CreditLender::new();
    lender.set_book(Millis(0), book);
    for slot in SlotId::all() {
        lender.hold(Millis(0), slot, 7, 1);
    }
    let request = |part| CreditRequest {
        tenant: "large".into(),
        part,
        version: 1,
        needed: 1,
        wanted: 1,
        returned: Vec::new(),
    };
    let term = |lease| LeaseTerm {
        lease,
        until: Millis(9_500),
    };
    let mut answer = |now, term| lender.answer(Millis(now), term, &request(0));
    let is_lent = matches_pattern!(CreditReply::Grant(_));
    expect_that!(answer(8_999, Some(term(7))), is_lent);
    expect_that!(answer(9_000, Some(term(7))), eq(CreditReply::NotHolder));
    expect_that!(answer(8_999, Some(term(8))), eq(CreditReply::NotHolder));
    expect_that!(answer(8_999, None), eq(CreditReply::NotHolder));
}

/// Guards against credit that is used for longer than its validity from the sending of the credit request, after the
/// reply was late or the borrower frozen.
#[gtest]
fn take_credit_of_late_reply_expires_from_sending() {
    let book = quotas();
    let terms = book.terms["large"].expect("the tenant has a quota");
    let mut account = TenantAccount::new(1, terms);
    let request = account.request(Millis(1_000), &"large".into(), 0, 5);
    let grant = CreditGrant {
        version: 1,
        lent: 5,
        valid_ms: terms.valid_ms,
        stamp: 1,
        wait_ms: 0,
        spacing_ms: 10,
    };
    let end = 1_000 + terms.valid_ms;
    account.apply(Millis(end - 10), Millis(1_000), &request, &grant);
    expect_that!(account.take(Millis(end - 1)), some(anything()));
    expect_that!(account.take(Millis(end)), none());
    account.apply(Millis(end), Millis(1_000), &request, &grant);
    expect_that!(account.take(Millis(end)), none());
}

/// Guards against agents that start first and hold most slots, slots that stay free, and many store calls.
#[gtest]
fn plan_starting_fleet_divides_slots() {
    let mut world = World::new(5, 60, &quotas());
    world.run_until(START_MS);
    let held = world.held();
    expect_that!(held.iter().sum::<usize>(), eq(48));
    expect_that!(held.iter().max(), some(le(&6)));
    expect_that!(world.claims, le(48 + 12));
}

/// Guards against claims that replace the record of another agent, or write a current one again, after the store came
/// back from an older copy.
#[gtest]
fn reclaims_free_and_own_stale_slots() {
    let slots: Vec<SlotId> = SlotId::all().take(5).collect();
    let view = |node: &'static str, is_current: bool, revision: u64| SlotView {
        node,
        is_current,
        revision,
    };
    let records = [
        (slots[1], view("n", false, 7)),
        (slots[2], view("n", true, 8)),
        (slots[3], view("m", false, 9)),
    ];
    let remembered = slots[..4].iter().copied().collect();
    let claims = reclaims("n", &remembered, &records.into());
    expect_that!(claims, eq(&vec![(slots[0], 0), (slots[1], 7)]));
}

/// Guards against returned credit that is lent a second time beyond the quota: the bucket was full after the loan,
/// so that nothing is missing in it.
#[gtest]
fn take_back_after_full_bucket_adds_nothing() {
    let quota = TenantQuota {
        rate_per_s: 10.0,
        burst: 30.0,
    };
    let terms = QuotaTerms::new("tenant", quota, QuotaAllowance::default());
    let mut bucket = CreditBucket::new(Millis(0), &terms);
    let depth = terms.depth.floor() as u32;
    let first = bucket.lend(Millis(100_000), depth, depth);
    let early = bucket.lend(Millis(100_000), 1, 1);
    expect_that!((first.lent, early.lent), eq((depth, 0)));
    let second = bucket.lend(Millis(200_000), depth, depth);
    expect_that!(second.lent, eq(depth));
    bucket.take_back(Millis(200_000), first.period, depth);
    bucket.take_back(Millis(200_000), second.period, depth);
    expect_that!(bucket.lend(Millis(200_000), depth, depth).lent, eq(0));
}

/// Guards against credit that is kept until it expires if a slow holder's reply arrives after another holder has lent
/// the credit.
#[gtest]
fn plan_surplus_return_after_late_reply() {
    let quota = TenantQuota {
        rate_per_s: 20.0,
        burst: 12.0,
    };
    let terms = QuotaTerms::new("t", quota, QuotaAllowance::default());
    let mut account = TenantAccount::new(1, terms);
    let views = [0, 1, 2].map(|part| PartView {
        part,
        is_reachable: true,
        is_same_zone: part == 0,
    });
    let tenant: Name = "t".into();
    let at = |ms: u64| Millis(100_000 + ms);
    let grant = CreditGrant {
        version: 1,
        lent: 1,
        valid_ms: terms.valid_ms,
        stamp: 7,
        wait_ms: 0,
        spacing_ms: 150,
    };
    account.record_arrival(at(0));
    let slow = account.request(at(0), &tenant, 0, 1);
    let second = account.request(at(20), &tenant, 1, 1);
    account.apply(at(22), at(20), &second, &grant);
    expect_that!(account.take(at(22)), some(anything()));
    expect_that!(account.plan_surplus_return(at(22), &second), eq(false));
    account.apply(at(30), at(0), &slow, &grant);
    expect_that!(account.plan_surplus_return(at(30), &slow), eq(true));
    expect_that!(account.next_step(at(30), 0, &views), eq(AccountStep::Idle));
    expect_that!(
        account.next_step(at(80), 0, &views),
        eq(AccountStep::Ask(0))
    );
    let returned = account.request(at(80), &tenant, 0, 0).returned;
    expect_that!(
        returned.iter().map(|credit| credit.amount).sum::<u32>(),
        eq(1)
    );
}
