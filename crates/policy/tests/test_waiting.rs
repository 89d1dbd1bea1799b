//! Crowds at one gate, with callers that retry as told: who is served in time, late or never, and how often
//! callers are refused.
//!
//! One backend server in virtual time. Callers send one to three attempts, 8 ms away, and heed `Retry-After` up
//! to a third of the time that they have left.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jy_policy::admission::Admission;
use jy_policy::admission::AdmissionRequest;
use jy_policy::admission::WorkQueue;
use jy_types::name::Name;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: u32 = 6;
const WORK_MS: u64 = 200;
const OBJECTIVE_MS: u64 = 1_000;
/// Time limit of callers as a multiple of the objective.
const LIMIT_RATIO: u64 = 5;
const LINK_MS: u64 = 8;
/// Requests per second that the backend server runs at most.
const CAPACITY_PER_S: f64 = SLOTS as f64 * 1_000.0 / WORK_MS as f64;
/// Longest wait at the gate, as a share of the time left.
const MAX_QUEUE_WAIT_SHARE: f64 = 0.6;

/// Requests of one kind: their tenant, their priority, and their rate at a time as a multiple of the capacity.
struct Source {
    tenant: Option<Name>,
    priority: u32,
    load: Box<dyn Fn(u64) -> f64>,
}

/// Variants of a gate and its callers.
#[derive(Clone, Copy, Debug, Default)]
struct LoopRules {
    /// The gate sees time limits just too short for waiting behind work that is on time: the order before.
    has_no_room: bool,
    /// The objective counts from the first attempt instead of from each attempt's arrival.
    counts_from_first: bool,
    /// When the crowd ends.
    crowd_end: Millis,
}

/// One request of a caller, over all attempts.
#[derive(Clone)]
struct Caller {
    source: usize,
    sent: Millis,
    attempts_left: u32,
}

/// What became of the requests of one source, or of all.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    requests: u32,
    in_time: u32,
    late: u32,
    refusals: u32,
    /// Requests first sent in the time limit after the crowd, and those of them answered in time.
    requests_after: u32,
    in_time_after: u32,
}

impl Tally {
    fn served(&self) -> u32 {
        self.in_time + self.late
    }

    fn share_served(&self) -> f64 {
        f64::from(self.served()) / f64::from(self.requests.max(1))
    }

    fn refusals_per_served(&self) -> f64 {
        f64::from(self.refusals) / f64::from(self.served().max(1))
    }

    fn share_in_time_after(&self) -> f64 {
        f64::from(self.in_time_after) / f64::from(self.requests_after.max(1))
    }

    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }
}

/// A gate with its callers.
struct GateLoop {
    queue: WorkQueue,
    rules: LoopRules,
    rng: SmallRng,
    /// Arrivals of each source, so that a source sends the same whatever the others do.
    arrivals: Vec<SmallRng>,
    callers: Vec<Caller>,
    /// Attempts on their way to the gate.
    sent: BTreeMap<(Millis, u64), usize>,
    next_ticket: u64,
    /// Waiting attempts with the time at which the gate gives up.
    waiting: BTreeMap<u64, (usize, Millis)>,
    running: BTreeMap<(Millis, u64), usize>,
    tallies: Vec<Tally>,
}

impl GateLoop {
    fn request(&self, now: Millis, caller: usize, sources: &[Source]) -> AdmissionRequest {
        let Caller { source, sent, .. } = self.callers[caller];
        let mut deadline = sent.plus(OBJECTIVE_MS * LIMIT_RATIO);
        let counted_from = if self.rules.counts_from_first {
            sent
        } else {
            now
        };
        let objective = counted_from.plus(OBJECTIVE_MS).min(deadline);
        if self.rules.has_no_room {
            deadline = deadline.min(now.plus(objective.since(now) * 3).minus(1));
        }
        AdmissionRequest {
            tenant: sources[source].tenant.clone(),
            is_call: false,
            priority: sources[source].priority,
            first_sent: sent,
            objective,
            deadline,
            work_ms: WORK_MS as f64,
        }
    }

    fn is_after_crowd(&self, sent: Millis) -> bool {
        let end = self.rules.crowd_end;
        (end..end.plus(OBJECTIVE_MS * LIMIT_RATIO)).contains(&sent)
    }

    fn send(&mut self, at: Millis, caller: usize) {
        self.sent.insert((at, self.next_ticket), caller);
        self.next_ticket += 1;
    }

    fn refuse(&mut self, now: Millis, caller: usize, retry_ms: u64) {
        let state = &mut self.callers[caller];
        self.tallies[state.source].refusals += 1;
        let left_ms = state.sent.plus(OBJECTIVE_MS * LIMIT_RATIO).since(now);
        state.attempts_left -= 1;
        if state.attempts_left > 0 {
            let retry_ms = retry_ms.max(40).min(left_ms / 3);
            self.send(now.plus(retry_ms + 2 * LINK_MS), caller);
        }
    }

    fn arrive(&mut self, now: Millis, ticket: u64, caller: usize, sources: &[Source]) {
        let request = self.request(now, caller, sources);
        let left_ms = self.callers[caller]
            .sent
            .plus(OBJECTIVE_MS * LIMIT_RATIO)
            .since(now);
        if left_ms <= WORK_MS {
            return;
        }
        match self.queue.offer(now, ticket, request) {
            Admission::Refused { retry_ms } => self.refuse(now, caller, retry_ms),
            Admission::Queued => {
                let max_wait_ms = (left_ms as f64 * MAX_QUEUE_WAIT_SHARE) as u64;
                let give_up = now.plus(max_wait_ms.min(left_ms - WORK_MS));
                self.waiting.insert(ticket, (caller, give_up));
                for refused in self.queue.refuse_late(now) {
                    self.give_up(now, refused, sources);
                }
            }
        }
    }

    fn give_up(&mut self, now: Millis, ticket: u64, sources: &[Source]) {
        if let Some((caller, _)) = self.waiting.remove(&ticket) {
            self.queue.remove(ticket);
            let request = self.request(now, caller, sources);
            let place_ms = self.queue.assign_retry(now, &request);
            let place_ms = place_ms.filter(|_| !self.rules.has_no_room);
            self.refuse(now, caller, place_ms.unwrap_or(WORK_MS));
        }
    }

    fn step(&mut self, now: Millis, sources: &[Source]) {
        while let Some(entry) = self
            .running
            .first_entry()
            .filter(|entry| entry.key().0 <= now)
        {
            let ((_, ticket), caller) = entry.remove_entry();
            self.queue.remove(ticket);
            let Caller { source, sent, .. } = self.callers[caller];
            let elapsed_ms = now.since(sent) + LINK_MS;
            if elapsed_ms <= OBJECTIVE_MS {
                self.tallies[source].in_time += 1;
                self.tallies[source].in_time_after += u32::from(self.is_after_crowd(sent));
            } else if elapsed_ms <= OBJECTIVE_MS * LIMIT_RATIO {
                self.tallies[source].late += 1;
            }
        }
        let is_over =
            |(ticket, (_, give_up)): (&u64, &(usize, Millis))| (*give_up <= now).then_some(*ticket);
        let given_up: Vec<u64> = self.waiting.iter().filter_map(is_over).collect();
        for ticket in given_up {
            match self.queue.wait_longer(now, ticket) {
                Some(until) => self.waiting.entry(ticket).and_modify(|wait| wait.1 = until),
                None => {
                    self.give_up(now, ticket, sources);
                    continue;
                }
            };
        }
        for (source, kind) in sources.iter().enumerate() {
            let per_ms = (kind.load)(now.0) * CAPACITY_PER_S / 1_000.0;
            let attempts_left = self.arrivals[source].random_range(2..=3);
            if self.arrivals[source].random_bool(per_ms.min(1.0)) {
                self.tallies[source].requests += 1;
                self.tallies[source].requests_after += u32::from(self.is_after_crowd(now));
                self.callers.push(Caller {
                    source,
                    sent: now,
                    attempts_left,
                });
                self.send(now.plus(LINK_MS), self.callers.len() - 1);
            }
        }
        while let Some(entry) = self.sent.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, ticket), caller) = entry.remove_entry();
            self.arrive(now, ticket, caller, sources);
        }
        while let Some(ticket) = self.queue.start(now) {
            let Some((caller, _)) = self.waiting.remove(&ticket) else {
                continue;
            };
            let work_ms = self.rng.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
            self.running.insert((now.plus(work_ms), ticket), caller);
        }
    }
}

/// Plays a load and returns what became of each source's requests.
fn play(sources: &[Source], rules: LoopRules, duration_ms: u64, seed: u64) -> Vec<Tally> {
    let mut gate = GateLoop {
        queue: WorkQueue::new(SLOTS),
        rules,
        rng: SmallRng::seed_from_u64(seed),
        arrivals: (1..=sources.len() as u64)
            .map(|source| SmallRng::seed_from_u64(seed * 1_000 + source))
            .collect(),
        callers: Vec::new(),
        sent: BTreeMap::new(),
        next_ticket: 0,
        waiting: BTreeMap::new(),
        running: BTreeMap::new(),
        tallies: vec![Tally::default(); sources.len()],
    };
    for now in (1..duration_ms).map(Millis) {
        gate.step(now, sources);
    }
    gate.tallies
}

/// Adds up tallies.
fn total<'tally>(tallies: impl IntoIterator<Item = &'tally Tally>) -> Tally {
    let mut sum = Tally::default();
    for tally in tallies {
        sum.requests += tally.requests;
        sum.in_time += tally.in_time;
        sum.late += tally.late;
        sum.refusals += tally.refusals;
        sum.requests_after += tally.requests_after;
        sum.in_time_after += tally.in_time_after;
    }
    sum
}

/// Twenty tenants that use 0.85 of the capacity together, and one more that sends `hot_ratio` times as much as each
/// of them from 30 s to 40 s.
fn hot_tenant_sources(hot_ratio: f64, is_named: bool) -> Vec<Source> {
    let usual = 0.85 / 20.0;
    let load = move |index: u64, now: u64| {
        let is_hot = index == 20 && (30_000..40_000).contains(&now);
        if is_hot { hot_ratio * usual } else { usual }
    };
    let source = |index: u64| Source {
        tenant: is_named.then(|| format!("tenant-{index}").into()),
        priority: 2,
        load: Box::new(move |now| load(index, now)),
    };
    (0..21).map(source).collect()
}

/// Guards against a tenant that sends many times its usual load and takes capacity from all others.
#[gtest]
fn offer_hot_tenant_takes_nothing_from_others() {
    let mut tallies: [Vec<Tally>; 3] = Default::default();
    for seed in 1..9 {
        let loads = [(1.0, true), (7.0, true), (7.0, false)];
        for (tallies, (hot_ratio, is_named)) in tallies.iter_mut().zip(loads) {
            tallies.extend(play(
                &hot_tenant_sources(hot_ratio, is_named),
                LoopRules::default(),
                45_000,
                seed,
            ));
        }
    }
    let [calm, shared, unshared] = tallies.map(|tallies| {
        let (others, hot): (Vec<_>, Vec<_>) =
            tallies.chunks(21).map(|run| run.split_at(20)).unzip();
        (total(others.concat().iter()), total(hot.concat().iter()))
    });
    let lost = |tally: Tally| calm.0.share_in_time() - tally.share_in_time();
    expect_that!(lost(shared.0), le(0.01));
    expect_that!(lost(shared.0), le(lost(unshared.0) / 4.0));
    expect_that!(shared.1.share_served(), ge(0.25));
}

/// Guards against tenants of low priority that are starved while more urgent ones fill the capacity, and against
/// their protection taking more than it needs.
#[gtest]
fn offer_low_priority_tenant_gets_quarter_of_share() {
    for seed in 1..4 {
        for load in [1.4, 2.0, 3.0] {
            let urgent = load;
            let mut sources = vec![Source {
                tenant: Some("urgent".into()),
                priority: 1,
                load: Box::new(move |_| urgent),
            }];
            for index in 0..10 {
                sources.push(Source {
                    tenant: Some(format!("low-{index}").into()),
                    priority: 4,
                    load: Box::new(move |_| 0.02),
                });
            }
            let tallies = play(&sources, LoopRules::default(), 60_000, seed);
            let all = total(&tallies);
            let low = total(&tallies[1..]);
            let ratio = low.share_served() / all.share_served();
            expect_that!(ratio, ge(0.25), "seed {seed}, load {load}");
            expect_that!(ratio, le(0.75), "seed {seed}, load {load}");
        }
    }
}

/// A crowd of `peak` times the capacity from 10 s on for `length_ms`, and half the capacity else.
fn crowd(peak: f64, length_ms: u64) -> Vec<Source> {
    let is_crowded = move |now: u64| (10_000..10_000 + length_ms).contains(&now);
    vec![Source {
        tenant: None,
        priority: 2,
        load: Box::new(move |now| if is_crowded(now) { peak } else { 0.5 }),
    }]
}

/// Plays a crowd with several seeds.
fn play_crowd(peak: f64, length_ms: u64, rules: LoopRules) -> Tally {
    let play_seed = |seed| play(&crowd(peak, length_ms), rules, 30_000, seed);
    let runs: Vec<Tally> = (1..9).flat_map(play_seed).collect();
    total(&runs)
}

/// Guards against late requests that take capacity from those that can be on time, and against callers that are
/// refused together and return together.
#[gtest]
fn offer_crowd_serves_more_with_fewer_refusals() {
    for (peak, length_ms) in [(3.0, 800), (1.4, 4_000), (2.0, 4_000), (3.0, 4_000)] {
        let name = format!("{peak} for {length_ms} ms");
        let today = LoopRules {
            crowd_end: Millis(10_000 + length_ms),
            ..LoopRules::default()
        };
        let before = LoopRules {
            has_no_room: true,
            ..today
        };
        let counted = LoopRules {
            counts_from_first: true,
            ..today
        };
        let [before, after, counted] =
            [before, today, counted].map(|rules| play_crowd(peak, length_ms, rules));
        for after in [after, counted] {
            let in_time = after.share_in_time() - before.share_in_time();
            expect_that!(in_time, ge(-0.01), "{name}");
            expect_that!(
                after.refusals_per_served(),
                lt(before.refusals_per_served()),
                "{name}"
            );
        }
        expect_that!(after.share_served(), gt(before.share_served()), "{name}");
        expect_that!(
            counted.share_in_time_after(),
            ge(0.9),
            "{name}: second wave"
        );
    }
}
