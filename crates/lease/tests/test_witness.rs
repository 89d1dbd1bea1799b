//! Support of owners by witnesses: single rules, then random schedules of losses, delays and restarts.

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

/// Random schedules of the sound protocol.
const SEEDS: u64 = 1_000;
/// Random schedules in which a broken rule must show.
const BROKEN_SEEDS: u64 = 1_000;
/// Length of one schedule, in milliseconds.
const SPAN_MS: u64 = 30_000;
/// One step of a schedule, in milliseconds.
const STEP_MS: u64 = 20;
/// Time between two requests for support, in milliseconds.
const ASK_MS: u64 = 700;
/// Authority that the store alone would give, in milliseconds.
const CAP_MS: u64 = 10_500;

/// The owner of all cases.
fn owner() -> Name {
    "owner".into()
}

/// A set of three witnesses in their first runs.
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
fn deny_promise_stands_refused() {
    let mut ledger = WitnessPromises::new("r".into(), Millis(0));
    expect_that!(ledger.support(Millis(10), &owner(), 1, "r"), eq(true));
    let end = 10 + PROMISE_MS;
    expect_that!(
        ledger.deny(Millis(end - 1), &owner(), 1, "r"),
        eq(Denial::Supported { left_ms: 1 })
    );
    expect_that!(
        ledger.deny(Millis(end), &owner(), 1, "r"),
        eq(Denial::Denied)
    );
}

#[gtest]
fn support_denied_epoch_refused_next_granted() {
    let mut ledger = WitnessPromises::new("r".into(), Millis(0));
    expect_that!(ledger.deny(Millis(0), &owner(), 4, "r"), eq(Denial::Denied));
    expect_that!(ledger.support(Millis(1), &owner(), 4, "r"), eq(false));
    expect_that!(ledger.support(Millis(1), &owner(), 5, "r"), eq(true));
}

#[gtest]
fn support_other_run_asked_refused() {
    let mut ledger = WitnessPromises::new("r2".into(), Millis(0));
    expect_that!(ledger.support(Millis(1), &owner(), 1, "r1"), eq(false));
}

#[gtest]
fn deny_after_restart_waits_for_forgotten_promises() {
    let mut ledger = WitnessPromises::new("r2".into(), Millis(100));
    expect_that!(
        ledger.deny(Millis(200), &owner(), 1, "r1"),
        eq(Denial::Supported {
            left_ms: PROMISE_MS - 100
        })
    );
    let end = Millis(100 + PROMISE_MS);
    expect_that!(ledger.deny(end, &owner(), 1, "r1"), eq(Denial::Denied));
}

#[gtest]
fn until_two_of_three_suffice() {
    let mut support = OwnerSupport::new();
    support.propose(set(1));
    support.confirm(1);
    support.supported(&"w0".into(), 1, Millis(1_000));
    expect_that!(support.until(Millis(CAP_MS)), eq(Millis(0)), "one promise");
    support.supported(&"w1".into(), 1, Millis(2_000));
    let end = Millis(1_000 + PROMISE_MS - PROMISE_MARGIN_MS);
    expect_that!(support.until(Millis(CAP_MS)), eq(end));
    expect_that!(
        support.until(Millis(1_500)),
        eq(Millis(1_500)),
        "the store's bound"
    );
}

#[gtest]
fn until_open_sets_need_both() {
    let mut support = OwnerSupport::new();
    expect_that!(
        support.until(Millis(CAP_MS)),
        eq(Millis(CAP_MS)),
        "no witnesses"
    );
    support.propose(set(1));
    expect_that!(support.until(Millis(CAP_MS)), eq(Millis(0)));
    support.withdraw(1);
    expect_that!(support.until(Millis(CAP_MS)), eq(Millis(CAP_MS)));
}

/// Which rule a schedule breaks on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    Nothing,
    /// A take-over after one denial.
    OneDenial,
    /// A witness that restarts says nothing of it.
    SilentRestart,
    /// The owner takes the newest set for recorded without an answer.
    AssumedRecord,
}

/// A message on its way.
#[derive(Clone, Debug)]
enum Message {
    Ask {
        to: usize,
        epoch: u64,
        run: Name,
        sent: Millis,
    },
    Granted {
        from: usize,
        epoch: u64,
        sent: Millis,
    },
    /// A write of the owner: its record, with a set if it changes.
    Write {
        set: WitnessSet,
        expected: u64,
    },
    Written {
        epoch: u64,
        is_applied: bool,
    },
    Deny {
        to: usize,
        epoch: u64,
        run: Name,
        revision: u64,
    },
    Denied {
        from: usize,
        revision: u64,
    },
}

/// One schedule.
struct World {
    rng: SmallRng,
    broken: Broken,
    now: Millis,
    support: OwnerSupport,
    cap: Millis,
    ledgers: Vec<WitnessPromises>,
    runs: Vec<u64>,
    /// Whether the owner's record is in the store.
    has_record: bool,
    recorded: WitnessSet,
    revision: u64,
    is_taken: bool,
    is_unsafe: bool,
    denials: Vec<(usize, u64)>,
    queue: Vec<(Millis, Message)>,
    is_store_cut: bool,
    cut_witnesses: [bool; 3],
}

impl World {
    fn new(seed: u64, broken: Broken) -> Self {
        let ledger = |_| WitnessPromises::new("run-0".into(), Millis(0));
        Self {
            rng: SmallRng::seed_from_u64(seed),
            broken,
            now: Millis(0),
            support: OwnerSupport::new(),
            cap: Millis(0),
            ledgers: (0..3).map(ledger).collect(),
            runs: vec![0; 3],
            has_record: true,
            recorded: WitnessSet::default(),
            revision: 1,
            is_taken: false,
            is_unsafe: false,
            denials: Vec::new(),
            queue: Vec::new(),
            is_store_cut: false,
            cut_witnesses: [false; 3],
        }
    }

    fn is_likely(&mut self, share: f64) -> bool {
        self.rng.random_bool(share)
    }

    fn send(&mut self, message: Message) {
        let longest = if self.is_likely(0.1) { 4_000 } else { 60 };
        let at = self.now.plus(self.rng.random_range(1..=longest));
        self.queue.push((at, message));
    }

    /// The set of the witnesses in their present runs.
    fn present_set(&self, epoch: u64) -> WitnessSet {
        let mut next = set(epoch);
        for (witness, run) in next.witnesses.iter_mut().zip(&self.runs) {
            witness.run = format!("run-{run}").into();
        }
        next
    }

    fn ask_witnesses(&mut self) {
        let sets: Vec<WitnessSet> = self.support.sets().cloned().collect();
        for set in sets {
            for (to, witness) in set.witnesses.iter().enumerate() {
                let (epoch, run, sent) = (set.epoch, Name::clone(&witness.run), self.now);
                if !self.cut_witnesses[to] {
                    self.send(Message::Ask {
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
        if !self.is_store_cut && self.has_record && self.is_likely(0.1) {
            self.cap = self.now.plus(CAP_MS);
        }
        if self.now.0.is_multiple_of(ASK_MS) {
            self.ask_witnesses();
        }
        if !self.is_store_cut && self.is_likely(0.03) {
            let newest = self.support.sets().last().map_or(0, |set| set.epoch);
            let set = self.present_set(newest.max(self.recorded.epoch) + 1);
            self.support.propose(set.clone());
            if self.broken == Broken::AssumedRecord {
                self.support.confirm(set.epoch);
            }
            let expected = self.revision;
            self.send(Message::Write { set, expected });
        }
    }

    fn taker_step(&mut self) {
        if self.has_record || !self.recorded.is_deniable() || !self.is_likely(0.05) {
            return;
        }
        let (set, revision) = (self.recorded.clone(), self.revision);
        for (to, witness) in set.witnesses.iter().enumerate() {
            let (epoch, run) = (set.epoch, Name::clone(&witness.run));
            self.send(Message::Deny {
                to,
                epoch,
                run,
                revision,
            });
        }
    }

    fn faults(&mut self) {
        if self.is_likely(0.003) {
            self.is_store_cut = !self.is_store_cut;
        }
        if self.is_likely(0.005) {
            let witness = self.rng.random_range(0..3);
            self.cut_witnesses[witness] = !self.cut_witnesses[witness];
        }
        // A record may be revoked at any moment, also soon after a renewal.
        if self.is_store_cut && self.is_likely(0.01) {
            self.has_record = false;
        }
        if self.is_likely(0.004) {
            let witness = self.rng.random_range(0..3);
            let run: u64 = self.runs[witness] + 1;
            let is_silent = self.broken == Broken::SilentRestart;
            self.runs[witness] = if is_silent { 0 } else { run };
            let name = format!("run-{}", self.runs[witness]);
            self.ledgers[witness] = WitnessPromises::new(name.into(), self.now);
        }
    }

    fn take(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Ask {
                to,
                epoch,
                run,
                sent,
            } => {
                if self.ledgers[to].support(now, &owner(), epoch, &run) {
                    self.send(Message::Granted {
                        from: to,
                        epoch,
                        sent,
                    });
                }
            }
            Message::Granted { from, epoch, sent } => {
                self.support
                    .supported(&format!("w{from}").into(), epoch, sent);
            }
            Message::Write { set, expected } => {
                let is_applied = expected == self.revision && !self.is_taken;
                let epoch = set.epoch;
                if is_applied {
                    self.revision += 1;
                    self.recorded = set;
                    self.has_record = true;
                }
                if self.is_likely(0.7) {
                    self.send(Message::Written { epoch, is_applied });
                }
            }
            Message::Written { epoch, is_applied } => {
                if is_applied && self.recorded.epoch == epoch {
                    self.support.confirm(epoch);
                } else if !is_applied {
                    self.support.withdraw(epoch);
                }
            }
            Message::Deny {
                to,
                epoch,
                run,
                revision,
            } => {
                if self.ledgers[to].deny(now, &owner(), epoch, &run) == Denial::Denied {
                    self.send(Message::Denied { from: to, revision });
                }
            }
            Message::Denied { from, revision } => {
                if !self.denials.contains(&(from, revision)) {
                    self.denials.push((from, revision));
                }
                self.take_over();
            }
        }
    }

    /// Takes the owner's keys if enough witnesses of the recorded set have denied it.
    fn take_over(&mut self) {
        let needed = if self.broken == Broken::OneDenial {
            1
        } else {
            WITNESS_QUORUM
        };
        let revision = self.revision;
        let denials = self.denials.iter().filter(|(_, seen)| *seen == revision);
        if denials.count() >= needed && !self.has_record && !self.is_taken {
            self.is_taken = true;
            self.is_unsafe = self.support.until(self.cap) > self.now;
        }
    }

    /// Runs the schedule; whether keys were taken, and whether the owner could still grant them then.
    fn run(mut self) -> (bool, bool) {
        while self.now.0 < SPAN_MS && !self.is_taken {
            self.faults();
            self.owner_step();
            self.taker_step();
            let now = self.now;
            let (due, later) = self.queue.drain(..).partition(|(at, _)| *at <= now);
            self.queue = later;
            let due: Vec<(Millis, Message)> = due;
            for (_, message) in due {
                self.take(message);
            }
            self.now = self.now.plus(STEP_MS);
        }
        (self.is_taken, self.is_unsafe)
    }
}

/// Counts schedules with a take-over, and those in which the owner could still grant keys.
fn count(broken: Broken, seeds: u64) -> (usize, usize) {
    let ends = (0..seeds).map(|seed| World::new(seed, broken).run());
    ends.fold((0, 0), |(taken, unsafe_count), (is_taken, is_unsafe)| {
        (
            taken + usize::from(is_taken),
            unsafe_count + usize::from(is_unsafe),
        )
    })
}

#[gtest]
fn take_over_random_schedules_owner_has_stopped() {
    let (taken, unsafe_count) = count(Broken::Nothing, SEEDS);
    expect_that!(unsafe_count, eq(0));
    expect_that!(
        taken,
        gt(SEEDS as usize / 10),
        "the schedules reach take-overs"
    );
}

#[gtest]
fn take_over_broken_rule_found() {
    for broken in [
        Broken::OneDenial,
        Broken::SilentRestart,
        Broken::AssumedRecord,
    ] {
        let (_, unsafe_count) = count(broken, BROKEN_SEEDS);
        expect_that!(unsafe_count, gt(0), "{broken:?}");
    }
}
