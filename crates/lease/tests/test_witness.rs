//! Support of owners by witnesses: tests of single rules, and random schedules with message loss, delays and
//! restarts.

use googletest::prelude::*;
use jy_lease::witness::Denial;
use jy_lease::witness::OwnerSupport;
use jy_lease::witness::PROMISE_MARGIN_MS;
use jy_lease::witness::PROMISE_MS;
use jy_lease::witness::WITNESS_QUORUM;
use jy_lease::witness::WitnessId;
use jy_lease::witness::WitnessPromises;
use jy_lease::witness::WitnessSet;
use jy_types::name::Name;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of random schedules without a broken rule.
const SCHEDULES: u64 = 1_000;
/// Number of random schedules per broken rule; at least one must be unsafe.
const BROKEN_RULE_SCHEDULES: u64 = 1_000;
const SCHEDULE_MS: u64 = 45_000;
const STEP_MS: u64 = 20;
const SUPPORT_INTERVAL_MS: u64 = 700;
/// How long the owner may grant keys after a renewal of its record in the store, apart from its witnesses.
const STORE_AUTHORITY_MS: u64 = 20_000;

fn owner() -> Name {
    "owner".into()
}

/// Returns a set of three witnesses in their first runs.
fn set(epoch: u64) -> WitnessSet {
    let witness = |number: usize| WitnessId {
        node: format!("w{number}").into(),
        run: "run-0".into(),
    };
    WitnessSet {
        epoch,
        witnesses: (0..3).map(witness).collect(),
    }
}

#[gtest]
fn deny_refused_until_promise_ends() {
    let mut promises = WitnessPromises::new("r".into(), Millis(0));
    expect_that!(promises.support(Millis(10), &owner(), 1, "r"), eq(true));
    let end = 10 + PROMISE_MS;
    expect_that!(
        promises.deny(Millis(end - 1), &owner(), 1, "r"),
        eq(Denial::Supported { left_ms: 1 })
    );
    expect_that!(
        promises.deny(Millis(end), &owner(), 1, "r"),
        eq(Denial::Denied)
    );
}

#[gtest]
fn support_refused_for_denied_epoch_granted_for_next() {
    let mut promises = WitnessPromises::new("r".into(), Millis(0));
    expect_that!(
        promises.deny(Millis(0), &owner(), 4, "r"),
        eq(Denial::Denied)
    );
    expect_that!(promises.support(Millis(1), &owner(), 4, "r"), eq(false));
    expect_that!(promises.support(Millis(1), &owner(), 5, "r"), eq(true));
}

#[gtest]
fn support_refused_for_other_run() {
    let mut promises = WitnessPromises::new("r2".into(), Millis(0));
    expect_that!(promises.support(Millis(1), &owner(), 1, "r1"), eq(false));
}

#[gtest]
fn deny_after_restart_waits_for_lost_promises() {
    let mut promises = WitnessPromises::new("r2".into(), Millis(100));
    expect_that!(
        promises.deny(Millis(200), &owner(), 1, "r1"),
        eq(Denial::Supported {
            left_ms: PROMISE_MS - 100
        })
    );
    let end = Millis(100 + PROMISE_MS);
    expect_that!(promises.deny(end, &owner(), 1, "r1"), eq(Denial::Denied));
}

#[gtest]
fn authorized_until_needs_two_of_three_witnesses() {
    let mut support = OwnerSupport::new();
    support.propose(set(1));
    support.confirm(1);
    support.record_support(&"w0".into(), 1, Millis(1_000));
    expect_that!(
        support.authorized_until(Millis(STORE_AUTHORITY_MS)),
        eq(Millis(0)),
        "one promise"
    );
    support.record_support(&"w1".into(), 1, Millis(2_000));
    let end = Millis(1_000 + PROMISE_MS - PROMISE_MARGIN_MS);
    expect_that!(
        support.authorized_until(Millis(STORE_AUTHORITY_MS)),
        eq(end)
    );
    expect_that!(
        support.authorized_until(Millis(1_500)),
        eq(Millis(1_500)),
        "limit of the store"
    );
}

#[gtest]
fn authorized_until_needs_support_under_each_possible_set() {
    let mut support = OwnerSupport::new();
    expect_that!(
        support.authorized_until(Millis(STORE_AUTHORITY_MS)),
        eq(Millis(STORE_AUTHORITY_MS)),
        "no witnesses"
    );
    support.propose(set(1));
    expect_that!(
        support.authorized_until(Millis(STORE_AUTHORITY_MS)),
        eq(Millis(0))
    );
    support.withdraw(1);
    expect_that!(
        support.authorized_until(Millis(STORE_AUTHORITY_MS)),
        eq(Millis(STORE_AUTHORITY_MS))
    );
}

/// Rule that a schedule breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BrokenRule {
    Nothing,
    /// The keys are taken over after one denial.
    OneDenial,
    /// A restarted witness keeps the name of its first run.
    SilentRestart,
    /// The owner assumes that its newest set is recorded before the store replies.
    AssumedRecord,
}

/// A message in transit.
#[derive(Clone, Debug)]
enum Message {
    RequestSupport {
        to: usize,
        epoch: u64,
        run: Name,
        sent: Millis,
    },
    SupportGranted {
        from: usize,
        epoch: u64,
        sent: Millis,
    },
    /// The owner writes its record with a new set.
    WriteRecord {
        set: WitnessSet,
        expected: u64,
    },
    WriteReply {
        epoch: u64,
        is_applied: bool,
    },
    RequestDenial {
        to: usize,
        epoch: u64,
        run: Name,
        revision: u64,
    },
    SupportDenied {
        from: usize,
        revision: u64,
    },
}

/// State of one random schedule.
struct Simulation {
    rng: SmallRng,
    broken: BrokenRule,
    now: Millis,
    support: OwnerSupport,
    store_authority_until: Millis,
    promises: Vec<WitnessPromises>,
    runs: Vec<u64>,
    /// Whether the owner's record is in the store.
    has_record: bool,
    recorded: WitnessSet,
    revision: u64,
    is_taken_over: bool,
    is_unsafe: bool,
    denials: Vec<(usize, u64)>,
    queue: Vec<(Millis, Message)>,
    is_store_unreachable: bool,
    unreachable_witnesses: [bool; 3],
}

impl Simulation {
    fn new(seed: u64, broken: BrokenRule) -> Self {
        let new_promises = |_| WitnessPromises::new("run-0".into(), Millis(0));
        Self {
            rng: SmallRng::seed_from_u64(seed),
            broken,
            now: Millis(0),
            support: OwnerSupport::new(),
            store_authority_until: Millis(0),
            promises: (0..3).map(new_promises).collect(),
            runs: vec![0; 3],
            has_record: true,
            recorded: WitnessSet::default(),
            revision: 1,
            is_taken_over: false,
            is_unsafe: false,
            denials: Vec::new(),
            queue: Vec::new(),
            is_store_unreachable: false,
            unreachable_witnesses: [false; 3],
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn send(&mut self, message: Message) {
        let max_delay_ms = if self.chance(0.1) { 4_000 } else { 60 };
        let at = self.now.plus(self.rng.random_range(1..=max_delay_ms));
        self.queue.push((at, message));
    }

    /// Returns a set of the witnesses in their current runs.
    fn current_set(&self, epoch: u64) -> WitnessSet {
        let mut next = set(epoch);
        for (witness, run) in next.witnesses.iter_mut().zip(&self.runs) {
            witness.run = format!("run-{run}").into();
        }
        next
    }

    fn request_support(&mut self) {
        let sets: Vec<WitnessSet> = self.support.sets().cloned().collect();
        for set in sets {
            for (to, witness) in set.witnesses.iter().enumerate() {
                let (epoch, run, sent) = (set.epoch, Name::clone(&witness.run), self.now);
                if !self.unreachable_witnesses[to] {
                    self.send(Message::RequestSupport {
                        to,
                        epoch,
                        run,
                        sent,
                    });
                }
            }
        }
    }

    fn owner_step(&mut self) {
        if !self.is_store_unreachable && self.has_record && self.chance(0.1) {
            self.store_authority_until = self.now.plus(STORE_AUTHORITY_MS);
        }
        if self.now.0.is_multiple_of(SUPPORT_INTERVAL_MS) {
            self.request_support();
        }
        if !self.is_store_unreachable && self.chance(0.03) {
            let newest = self.support.sets().last().map_or(0, |set| set.epoch);
            let set = self.current_set(newest.max(self.recorded.epoch) + 1);
            self.support.propose(set.clone());
            if self.broken == BrokenRule::AssumedRecord {
                self.support.confirm(set.epoch);
            }
            let expected = self.revision;
            self.send(Message::WriteRecord { set, expected });
        }
    }

    fn successor_step(&mut self) {
        if self.has_record || !self.recorded.is_deniable() || !self.chance(0.05) {
            return;
        }
        let (set, revision) = (self.recorded.clone(), self.revision);
        for (to, witness) in set.witnesses.iter().enumerate() {
            let (epoch, run) = (set.epoch, Name::clone(&witness.run));
            self.send(Message::RequestDenial {
                to,
                epoch,
                run,
                revision,
            });
        }
    }

    fn inject_faults(&mut self) {
        if self.chance(0.003) {
            self.is_store_unreachable = !self.is_store_unreachable;
        }
        if self.chance(0.005) {
            let witness = self.rng.random_range(0..3);
            self.unreachable_witnesses[witness] = !self.unreachable_witnesses[witness];
        }
        // A record may be revoked at any time, even soon after a renewal.
        if self.is_store_unreachable && self.chance(0.01) {
            self.has_record = false;
        }
        if self.chance(0.004) {
            let witness = self.rng.random_range(0..3);
            let run: u64 = self.runs[witness] + 1;
            let keeps_run_name = self.broken == BrokenRule::SilentRestart;
            self.runs[witness] = if keeps_run_name { 0 } else { run };
            let name = format!("run-{}", self.runs[witness]);
            self.promises[witness] = WitnessPromises::new(name.into(), self.now);
        }
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::RequestSupport {
                to,
                epoch,
                run,
                sent,
            } => {
                if self.promises[to].support(now, &owner(), epoch, &run) {
                    self.send(Message::SupportGranted {
                        from: to,
                        epoch,
                        sent,
                    });
                }
            }
            Message::SupportGranted { from, epoch, sent } => {
                self.support
                    .record_support(&format!("w{from}").into(), epoch, sent);
            }
            Message::WriteRecord { set, expected } => {
                let is_applied = expected == self.revision && !self.is_taken_over;
                let epoch = set.epoch;
                if is_applied {
                    self.revision += 1;
                    self.recorded = set;
                    self.has_record = true;
                }
                if self.chance(0.7) {
                    self.send(Message::WriteReply { epoch, is_applied });
                }
            }
            Message::WriteReply { epoch, is_applied } => {
                if is_applied && self.recorded.epoch == epoch {
                    self.support.confirm(epoch);
                } else if !is_applied {
                    self.support.withdraw(epoch);
                }
            }
            Message::RequestDenial {
                to,
                epoch,
                run,
                revision,
            } => {
                if self.promises[to].deny(now, &owner(), epoch, &run) == Denial::Denied {
                    self.send(Message::SupportDenied { from: to, revision });
                }
            }
            Message::SupportDenied { from, revision } => {
                if !self.denials.contains(&(from, revision)) {
                    self.denials.push((from, revision));
                }
                self.take_over();
            }
        }
    }

    /// Takes over the owner's keys if enough witnesses of the recorded set have denied it support.
    fn take_over(&mut self) {
        let required = if self.broken == BrokenRule::OneDenial {
            1
        } else {
            WITNESS_QUORUM
        };
        let revision = self.revision;
        let denials = self
            .denials
            .iter()
            .filter(|(_, denied_revision)| *denied_revision == revision);
        if denials.count() >= required && !self.has_record && !self.is_taken_over {
            self.is_taken_over = true;
            self.is_unsafe = self.support.authorized_until(self.store_authority_until) > self.now;
        }
    }

    /// Runs the schedule; returns whether the keys were taken over, and whether the owner could still grant
    /// them at that time.
    fn run(mut self) -> (bool, bool) {
        while self.now.0 < SCHEDULE_MS && !self.is_taken_over {
            self.inject_faults();
            self.owner_step();
            self.successor_step();
            let now = self.now;
            let (due, later) = self.queue.drain(..).partition(|(at, _)| *at <= now);
            self.queue = later;
            let due: Vec<(Millis, Message)> = due;
            for (_, message) in due {
                self.deliver(message);
            }
            self.now = self.now.plus(STEP_MS);
        }
        (self.is_taken_over, self.is_unsafe)
    }
}

/// Counts the schedules with a take-over, and those in which the owner could still grant keys at that time.
fn count_take_overs(broken: BrokenRule, schedules: u64) -> (usize, usize) {
    let outcomes = (0..schedules).map(|seed| Simulation::new(seed, broken).run());
    outcomes.fold(
        (0, 0),
        |(take_overs, unsafe_count), (is_taken_over, is_unsafe)| {
            (
                take_overs + usize::from(is_taken_over),
                unsafe_count + usize::from(is_unsafe),
            )
        },
    )
}

#[gtest]
fn take_over_random_schedules_safe() {
    let (take_overs, unsafe_count) = count_take_overs(BrokenRule::Nothing, SCHEDULES);
    expect_that!(unsafe_count, eq(0));
    expect_that!(
        take_overs,
        gt(SCHEDULES as usize / 10),
        "too few schedules reach a take-over"
    );
}

#[gtest]
fn take_over_broken_rule_unsafe() {
    for broken in [
        BrokenRule::OneDenial,
        BrokenRule::SilentRestart,
        BrokenRule::AssumedRecord,
    ] {
        let (_, unsafe_count) = count_take_overs(broken, BROKEN_RULE_SCHEDULES);
        expect_that!(unsafe_count, gt(0), "{broken:?}");
    }
}

/// Load pattern: all machines lose power and start again within a second. Guards against owners that wait for
/// the support of runs that have ended, and leave their keys without a holder meanwhile.
#[gtest]
fn has_quorum_after_mass_restart_is_lost() {
    let set = set(3);
    let restarted = |count: usize| {
        let ended: Vec<Name> = (0..count)
            .map(|number| format!("w{number}").into())
            .collect();
        set.has_quorum(|witness| !ended.contains(&witness.node))
    };
    expect_that!(restarted(0), eq(true));
    expect_that!(restarted(1), eq(true), "two witnesses suffice");
    expect_that!(restarted(2), eq(false));
    expect_that!(WitnessSet::default().has_quorum(|_| false), eq(true));
}
