//! Random schedules of a store that comes back from older copies, with cuts, restarts, crashes, moves of keys, lost
//! answers and late commits: no key has two holders, no fence is used twice, and every key is granted again in the end.
//!
//! The store, the network and the order of events are a model with virtual time; what agents decide by is the code of
//! the agent.

use std::collections::BTreeMap;

use googletest::prelude::*;
use jy_edge::backend::AnnounceOutcome;
use jy_edge::era::SETTLE_MS;
use jy_edge::member::LEASE_MS;
use jy_lease::witness::Denial;
use jy_lease::witness::WITNESS_QUORUM;
use jy_lease::witness::WitnessId;
use jy_lease::witness::WitnessSet;
use jy_ranges::table::RangeOwner;
use jy_types::endpoint::Announcement;
use jy_types::endpoint::BackendIncarnation;
use jy_types::endpoint::BackendPhase;
use jy_types::endpoint::GrantedRange;
use jy_types::endpoint::HeldRange;
use jy_types::name::Name;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

mod era_model;

use era_model::ANNOUNCE_STEPS;
use era_model::FAULTS_MS;
use era_model::ModelAgent;
use era_model::ModelBackend;
use era_model::ModelCommit;
use era_model::ModelStore;
use era_model::SERVICE;
use era_model::STEP_MS;
use era_model::address;

const SCHEDULES: u64 = 150;
const AGENTS: usize = 4;
/// Probability of a crash in a step: one in 6 s.
const CRASH_PROBABILITY: f64 = 0.04;
/// Longest time from the last fault until every key is granted: the era settles, and an owner that was lost meanwhile
/// is denied and replaced, for which other deployments have 5 s.
const MAX_RECOVERY_MS: u64 = SETTLE_MS + 5_000;

/// A run of one schedule.
struct Schedule {
    rng: StdRng,
    store: ModelStore,
    copies: Vec<ModelStore>,
    /// When the store is back, with the age of the copy in steps.
    restore: Option<(Millis, usize)>,
    /// When the store stops next, after a crash of a backend server.
    outage_at: Option<Millis>,
    late: Vec<(Millis, ModelCommit)>,
    agents: Vec<ModelAgent>,
    backends: Vec<ModelBackend>,
    /// The highest fence of each key, and the incarnation that had it.
    fences: BTreeMap<u16, (u64, RangeOwner)>,
    violations: Vec<String>,
    restores: u64,
}

impl Schedule {
    /// Creates the start of a schedule: an empty store, and agents and backend servers that have just started.
    fn new(seed: u64) -> Self {
        let backend = |_| ModelBackend {
            incarnation: 1,
            sequence: 0,
            held: Vec::new(),
            held_until: Millis(0),
            down_until: Millis(0),
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            store: ModelStore::default(),
            copies: Vec::new(),
            restore: None,
            outage_at: None,
            late: Vec::new(),
            agents: (0..AGENTS)
                .map(|index| ModelAgent::new(index, Millis(1)))
                .collect(),
            backends: (0..AGENTS).map(backend).collect(),
            fences: BTreeMap::new(),
            violations: Vec::new(),
            restores: 0,
        }
    }

    /// Returns the present incarnation of a backend server as an owner.
    fn owner(&self, index: usize) -> RangeOwner {
        let started_at = self.backends[index].incarnation;
        RangeOwner {
            node: Name::clone(&self.agents[index].node),
            incarnation: BackendIncarnation {
                id: format!("i-{index}-{started_at}").into(),
                started_at,
            },
        }
    }

    /// Begins a random fault, or none.
    fn inject_fault(&mut self, now: Millis) {
        let index = self.rng.random_range(0..AGENTS);
        match self.rng.random_range(0..200) {
            0..=2 if self.restore.is_none() => {
                let back_at = now.plus(self.rng.random_range(0..1_500));
                self.restore = Some((back_at, self.rng.random_range(1..32)));
            }
            3..=5 => {
                self.agents[index].cut_until = now.plus(self.rng.random_range(1_000..12_000));
            }
            6..=7 => self.agents[index] = ModelAgent::new(index, now),
            8 => {
                let backend = &mut self.backends[index];
                backend.incarnation += 1;
                backend.sequence = 0;
                backend.held.clear();
            }
            9..=11 => self.crash(now, index),
            _ => {}
        }
    }

    /// Ends the process of a backend server, which refuses connections until it starts again. In half the cases the store
    /// stops soon afterwards, so that its copy may be older than a move of the keys that the crash has freed.
    fn crash(&mut self, now: Millis, index: usize) {
        let id = self.owner(index).incarnation.id;
        self.agents[index].backend.mark_refused(&id);
        let backend = &mut self.backends[index];
        backend.incarnation += 1;
        backend.sequence = 0;
        backend.held.clear();
        backend.down_until = now.plus(self.rng.random_range(500..4_000));
        let outage_at = now.plus(self.rng.random_range(1_500..3_000));
        if self.rng.random_bool(0.5) && FAULTS_MS.contains(&outage_at.0) {
            self.outage_at = Some(outage_at);
        }
    }

    /// Replaces the contents of the store by a copy, if that is due.
    fn restore_store(&mut self, now: Millis) {
        if self.restore.is_none() && self.outage_at.is_some_and(|at| now >= at) {
            self.outage_at = None;
            let back_at = now.plus(self.rng.random_range(0..500));
            self.restore = Some((back_at, self.rng.random_range(1..16)));
        }
        let Some((at, age)) = self.restore else {
            return;
        };
        if now < at {
            return;
        }
        let era = self.store.era + 1;
        self.store = self.copies[self.copies.len().saturating_sub(age)].clone();
        self.store.era = era;
        let keeps_leases = self.rng.random();
        for until in self.store.leases.values_mut() {
            *until = if keeps_leases {
                now.plus(LEASE_MS)
            } else {
                now
            };
        }
        self.copies.clear();
        self.restore = None;
        self.restores += 1;
    }

    /// Lets the store, every agent and every backend server act once.
    fn step(&mut self, now: Millis) {
        self.restore_store(now);
        let late = std::mem::take(&mut self.late);
        let (due, late): (Vec<_>, Vec<_>) = late.into_iter().partition(|(at, _)| *at <= now);
        self.late = late;
        let is_up = self.restore.is_none();
        for (_, commit) in due.iter().filter(|_| is_up) {
            self.store.commit(commit);
        }
        if is_up {
            self.store.expire(now);
            self.copies.push(self.store.clone());
        }
        for index in 0..AGENTS {
            if is_up && now >= self.agents[index].cut_until {
                self.use_store(now, index);
            }
            self.ask_support(now, index);
            let is_due = (now.0 / STEP_MS + index as u64).is_multiple_of(ANNOUNCE_STEPS);
            if is_due && now >= self.backends[index].down_until {
                self.announce(now, index);
            }
        }
        self.check_holders(now);
    }

    /// Lets an agent read and write the store.
    fn use_store(&mut self, now: Millis, index: usize) {
        let others: Vec<RangeOwner> = (0..AGENTS).map(|other| self.owner(other)).collect();
        let witnesses: Vec<WitnessId> = self
            .agents
            .iter()
            .filter(|agent| agent.node != self.agents[index].node)
            .map(|agent| WitnessId {
                node: Name::clone(&agent.node),
                run: Name::clone(&agent.run),
            })
            .collect();
        if self.rng.random_bool(0.7) {
            self.agents[index].read_store(now, &self.store);
        }
        if self.agents[index].snapshot.revision == 0 && self.store.revision > 0 {
            return;
        }
        let agent = &mut self.agents[index];
        if let Some((commit, epoch)) = agent.maintain(now, &mut self.store, &witnesses) {
            let is_applied = self.store.commit(&commit);
            let is_lost = self.rng.random_bool(0.1);
            if is_applied && !is_lost {
                agent.written = (agent.lease, self.store.revision);
            }
            match epoch {
                Some(epoch) if is_applied && !is_lost => agent.support.confirm(epoch),
                Some(epoch) if !is_applied => agent.support.withdraw(epoch),
                _ => {}
            }
        }
        self.ask_denials(now, index);
        let commit = self.agents[index].table_commit(now, &mut self.rng, &others);
        if let Some(commit) = commit {
            if self.rng.random_bool(0.2) {
                let at = now.plus(self.rng.random_range(0..1_000));
                self.late.push((at, commit));
            } else {
                self.store.commit(&commit);
            }
        }
    }

    /// Lets an agent ask the witnesses of absent owners for denials.
    fn ask_denials(&mut self, now: Millis, index: usize) {
        let agent = &self.agents[index];
        if !agent.snapshot.is_era_settled(now) {
            return;
        }
        let era = agent.snapshot.era;
        let sets: Vec<_> = agent
            .snapshot
            .witnesses
            .iter()
            .filter(|(node, versioned)| {
                agent.snapshot.absent_since(node).is_some() && versioned.set.is_deniable()
            })
            .map(|(node, versioned)| (Name::clone(node), versioned.clone()))
            .collect();
        for (owner, versioned) in sets {
            let mut denials = 0;
            for witness in &versioned.set.witnesses {
                let found = self
                    .agents
                    .iter_mut()
                    .find(|agent| agent.node == witness.node);
                let asked = found.filter(|agent| agent.snapshot.is_era_settled(now));
                let denial = asked.map(|agent| {
                    let epoch = versioned.set.epoch;
                    agent.promises.deny(now, &owner, epoch, &witness.run)
                });
                denials += usize::from(denial == Some(Denial::Denied));
            }
            if denials >= WITNESS_QUORUM {
                let read = (era, versioned.revision);
                self.agents[index].denied.insert(owner, read);
            }
        }
    }

    /// Lets an agent ask its witnesses for support.
    ///
    /// # Panics
    ///
    /// Panics if a witness does not exist.
    fn ask_support(&mut self, now: Millis, index: usize) {
        let owner = Name::clone(&self.agents[index].node);
        let sets: Vec<WitnessSet> = self.agents[index].support.sets().cloned().collect();
        for set in sets {
            for witness in set.witnesses {
                if self.rng.random_bool(0.2) {
                    continue;
                }
                let found = self
                    .agents
                    .iter_mut()
                    .find(|agent| agent.node == witness.node);
                let promises = &mut found.expect("all agents run").promises;
                let is_granted = promises.support(now, &owner, set.epoch, &witness.run);
                let denied_epoch = promises.denied_epoch(&owner);
                let support = &mut self.agents[index].support;
                if is_granted {
                    support.record_support(&witness.node, set.epoch, now);
                } else {
                    support.record_refusal(denied_epoch);
                }
            }
        }
    }

    /// Lets a backend server announce itself, and checks the fences of the reply.
    fn announce(&mut self, now: Millis, index: usize) {
        let owner = self.owner(index);
        let (agent, server) = (&self.agents[index], &mut self.backends[index]);
        server.sequence += 1;
        if now >= server.held_until {
            server.held.clear();
        }
        let to_held = |grant: &GrantedRange| HeldRange {
            first: grant.first,
            last: grant.last,
            fence: grant.fence,
        };
        let announced = Announcement {
            incarnation: owner.incarnation.clone(),
            address: address(),
            service: SERVICE.into(),
            zone: "z".into(),
            slots: 6,
            phase: BackendPhase::Serving,
            sequence: server.sequence,
            cold_ms: 0,
            held: server.held.iter().map(to_held).collect(),
            released: Vec::new(),
        };
        agent.backend.set_snapshot(&agent.snapshot);
        let (table, authority) = (agent.snapshot.table(SERVICE), agent.authority(now));
        let outcome = agent
            .backend
            .announce(now, address(), announced, table, authority);
        let AnnounceOutcome::Accepted(Some(reply)) = outcome else {
            return;
        };
        server.held.clone_from(&reply.ranges);
        server.held_until = now.plus(reply.grant_ms);
        for grant in &reply.ranges {
            for key in sample_keys().filter(|key| grant.first <= *key && *key <= grant.last) {
                let fence = (grant.fence, owner.clone());
                let highest = self.fences.entry(key).or_insert_with(|| fence.clone());
                if grant.fence < highest.0 || (grant.fence == highest.0 && owner != highest.1) {
                    let text = format!("{} key {key}: {fence:?} after {highest:?}", now.0);
                    self.violations.push(text);
                }
                *highest = fence;
            }
        }
    }

    /// Returns the backend servers that hold a key.
    fn holders(&self, now: Millis, key: u16) -> Vec<usize> {
        let holds = |index: &usize| {
            let server = &self.backends[*index];
            let contains = |grant: &GrantedRange| grant.first <= key && key <= grant.last;
            now < server.held_until && server.held.iter().any(contains)
        };
        (0..AGENTS).filter(holds).collect()
    }

    /// Checks that no key has two holders.
    fn check_holders(&mut self, now: Millis) {
        for key in sample_keys() {
            let holders = self.holders(now, key);
            if holders.len() > 1 {
                let text = format!("{} key {key} has holders {holders:?}", now.0);
                self.violations.push(text);
            }
        }
    }
}

/// Returns the keys that are checked: one of each range that moves.
fn sample_keys() -> impl Iterator<Item = u16> {
    (0..16).map(|index| index * 4_096)
}

/// Runs schedules with random faults, each of which `inject` begins, and checks them. Returns how often the store came
/// back.
fn check_schedules(inject: impl Fn(&mut Schedule, Millis)) -> u64 {
    let mut restores = 0;
    for seed in 0..SCHEDULES {
        let mut schedule = Schedule::new(seed);
        let mut now = Millis(1);
        while now.0 < FAULTS_MS.end + MAX_RECOVERY_MS {
            if FAULTS_MS.contains(&now.0) {
                inject(&mut schedule, now);
            } else if now.0 >= FAULTS_MS.end {
                for agent in &mut schedule.agents {
                    agent.cut_until = Millis(0);
                }
            }
            schedule.step(now);
            now = now.plus(STEP_MS);
        }
        let ungranted = sample_keys().filter(|key| schedule.holders(now, *key).is_empty());
        expect_that!(
            ungranted.count(),
            eq(0),
            "seed {seed}: keys without a holder"
        );
        expect_that!(schedule.violations, is_empty(), "seed {seed}");
        restores += schedule.restores;
    }
    restores
}

/// Guards against keys with two owners, fences that are given out twice, and keys that stay without an owner, after the
/// store came back from an older copy.
#[gtest]
fn store_restored_random_schedules_safe_and_live() {
    let restores = check_schedules(Schedule::inject_fault);
    expect_that!(restores, gt(SCHEDULES));
}

/// Guards against keys that the agent beside a crashed backend server puts back for it, or gives to the next one there,
/// although another owner holds them since the crash.
#[gtest]
fn store_restored_after_crash_safe_and_live() {
    let restores = check_schedules(|schedule, now| {
        if schedule.rng.random_bool(CRASH_PROBABILITY) {
            let index = schedule.rng.random_range(0..AGENTS);
            schedule.crash(now, index);
        }
    });
    expect_that!(restores, gt(SCHEDULES));
}
