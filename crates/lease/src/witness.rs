//! Support of an owner of keys by witnesses, so that others may take its keys soon after it is lost.
//!
//! An owner whose record in the store is gone may be dead, or only cut off from the store. Three other
//! agents, its witnesses, tell the two apart: the owner grants keys only while two of them have promised
//! it support, and others take its keys only after two of them have denied it any more. Any two pairs of
//! three have a witness in common, so both can't be true at once. A witness that restarts has forgotten
//! its promises; it denies once all of them are over.
//!
//! A set of witnesses is numbered by an epoch and recorded in the store; whoever takes keys rests on the
//! revision of that record. An owner that does not know which of two sets is recorded needs both.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

/// A promise of support lasts this long from its receipt, in milliseconds. Holds of keys end with it, and
/// should bridge a restart of the owner's agent; with one announcement of the next owner, 870 ms, and a look of the taker, 250 ms, it must
/// stay under the target's 5 s until a key is served again.
pub const PROMISE_MS: u64 = 3_500;
/// The owner counts a promise this much shorter, from the sending of its request, in milliseconds: clocks
/// run up to 2 % apart.
pub const PROMISE_MARGIN_MS: u64 = 100;
/// Witnesses of one owner.
pub const WITNESSES: usize = 3;
/// Witnesses that must agree, for the owner or against it.
pub const WITNESS_QUORUM: usize = 2;

/// An agent that supports an owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WitnessId {
    /// Name of the instance.
    pub node: Name,
    /// The run of its agent that makes the promises.
    pub run: Name,
}

/// The witnesses of an owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSet {
    /// Grows with each set of one owner.
    pub epoch: u64,
    /// Who supports; nobody where the owner relies on the store alone.
    pub witnesses: Vec<WitnessId>,
}

impl WitnessSet {
    /// Whether others may take the owner's keys as soon as its witnesses deny it.
    #[must_use]
    pub const fn is_deniable(&self) -> bool {
        !self.witnesses.is_empty()
    }
}

/// What a witness answers to one that wants to take an owner's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Denial {
    /// The owner gets no more support under the asked epoch or an older one.
    Denied,
    /// A promise may stand for this long yet, in milliseconds.
    Supported {
        /// How long.
        left_ms: u64,
    },
}

/// What a witness has promised to an owner, and what it has denied.
#[derive(Clone, Copy, Debug, Default)]
struct WitnessEntry {
    promised_until: Millis,
    denied_epoch: Option<u64>,
}

/// The promises of one run of an agent to all owners that it supports.
#[derive(Clone, Debug)]
pub struct WitnessPromises {
    run: Name,
    began: Millis,
    entries: BTreeMap<Name, WitnessEntry>,
}

impl WitnessPromises {
    /// Makes the ledger of a run that began at `now` and has promised nothing.
    #[must_use]
    pub const fn new(run: Name, now: Millis) -> Self {
        Self {
            run,
            began: now,
            entries: BTreeMap::new(),
        }
    }

    /// Promises support to an owner; false if that was denied for its epoch, or if another run is asked.
    pub fn support(&mut self, now: Millis, owner: &Name, epoch: u64, run: &str) -> bool {
        if *self.run != *run {
            return false;
        }
        let entry = self.entries.entry(Name::clone(owner)).or_default();
        if entry.denied_epoch.is_some_and(|denied| epoch <= denied) {
            return false;
        }
        entry.promised_until = now.plus(PROMISE_MS).max(entry.promised_until);
        true
    }

    /// Denies further support under an epoch whose record names `run` as the witness, unless a promise of
    /// this run or of an earlier one may stand.
    pub fn deny(&mut self, now: Millis, owner: &Name, epoch: u64, run: &str) -> Denial {
        let forgotten_until = if *self.run == *run {
            Millis::default()
        } else {
            self.began.plus(PROMISE_MS)
        };
        let entry = self.entries.entry(Name::clone(owner)).or_default();
        let until = entry.promised_until.max(forgotten_until);
        if now < until {
            let left_ms = until.since(now);
            return Denial::Supported { left_ms };
        }
        entry.denied_epoch = entry.denied_epoch.max(Some(epoch));
        Denial::Denied
    }
}

/// A set that may be the recorded one, and the promises under it.
#[derive(Clone, Debug, Default)]
struct OpenSet {
    set: WitnessSet,
    promised_until: BTreeMap<Name, Millis>,
}

impl OpenSet {
    /// Until when the owner is supported, at most until `cap`.
    fn until(&self, cap: Millis) -> Millis {
        if !self.set.is_deniable() {
            return cap;
        }
        let promise = |witness: &WitnessId| {
            let until = self.promised_until.get(&witness.node);
            until.copied().unwrap_or_default()
        };
        let mut ends: Vec<Millis> = self.set.witnesses.iter().map(promise).collect();
        ends.sort_unstable_by(|one, other| other.cmp(one));
        let end = ends.get(WITNESS_QUORUM - 1).copied().unwrap_or_default();
        end.min(cap)
    }
}

/// The support of one owner, as the owner knows it.
#[derive(Clone, Debug)]
pub struct OwnerSupport {
    open: Vec<OpenSet>,
}

impl OwnerSupport {
    /// Makes the support of an owner that relies on the store alone.
    #[must_use]
    pub fn new() -> Self {
        Self {
            open: vec![OpenSet::default()],
        }
    }

    /// Sets that may be the recorded one, the newest last.
    pub fn sets(&self) -> impl Iterator<Item = &WitnessSet> {
        self.open.iter().map(|open| &open.set)
    }

    /// Whether it is unknown which set is recorded.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.open.len() > 1
    }

    /// Takes note that a set may be recorded from now on.
    pub fn propose(&mut self, set: WitnessSet) {
        if self.sets().all(|open| open.epoch != set.epoch) {
            self.open.push(OpenSet {
                set,
                promised_until: BTreeMap::new(),
            });
        }
    }

    /// Takes note that the set of an epoch is recorded and no other can become so.
    pub fn confirm(&mut self, epoch: u64) {
        if self.sets().any(|open| open.epoch == epoch) {
            self.open.retain(|open| open.set.epoch == epoch);
        }
    }

    /// Takes note that a proposed set was not recorded and can't become so.
    pub fn withdraw(&mut self, epoch: u64) {
        if self.is_open() {
            self.open.retain(|open| open.set.epoch != epoch);
        }
    }

    /// Takes note that a request for support that was sent at `sent` was granted.
    pub fn supported(&mut self, node: &Name, epoch: u64, sent: Millis) {
        let until = sent.plus(PROMISE_MS - PROMISE_MARGIN_MS);
        for open in self.open.iter_mut().filter(|open| open.set.epoch == epoch) {
            let known = open.promised_until.entry(Name::clone(node)).or_default();
            *known = until.max(*known);
        }
    }

    /// When the promise of a witness ends, under the newest set.
    #[must_use]
    pub fn promised_until(&self, node: &str) -> Millis {
        let newest = self.open.last();
        let until = newest.and_then(|open| open.promised_until.get(node));
        until.copied().unwrap_or_default()
    }

    /// Until when the owner may grant keys, at most until `cap`, under every set that may be recorded.
    #[must_use]
    pub fn until(&self, cap: Millis) -> Millis {
        let ends = self.open.iter().map(|open| open.until(cap));
        ends.min().unwrap_or_default()
    }
}

impl Default for OwnerSupport {
    fn default() -> Self {
        Self::new()
    }
}
