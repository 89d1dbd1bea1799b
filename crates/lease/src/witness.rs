//! Support of a key owner by witnesses, so that other agents can take over its keys soon after it is lost.
//!
//! An owner whose record in the store is gone may be dead or only disconnected from the store. Three other
//! agents, its witnesses, make a take-over safe in both cases: the owner grants keys only while two of them
//! have promised it support, and another agent takes over its keys only after two of them have denied it
//! further support. Any two pairs out of three witnesses share a witness, so the two can't hold at the same
//! time. A witness that restarts has lost its promises; it denies support only after all of them must have
//! expired.
//!
//! Each set of witnesses has an epoch and is recorded in the store. A take-over is conditional on the
//! revision of that record. An owner that does not know which of several sets is recorded needs support
//! under each of them.
//!
//! A denied epoch is never supported again, so epochs of an owner must not be used twice: a take-over leaves an
//! empty set with a later epoch, and an owner whose epoch was denied, for example since the record was lost,
//! learns the denied epoch from the refusal and goes on after it.

use std::collections::BTreeMap;

use jy_types::name::Name;
use jy_types::time::Millis;
use serde::Deserialize;
use serde::Serialize;

/// How long a promise of support lasts from receipt of the request.
///
/// A backend server's hold on its keys ends with the promise, so the promise should outlast a restart of the
/// owner's agent. Together with one announcement of the next owner (870 ms) and one check interval of the
/// agent that takes over (250 ms), it must stay below the target of 5 s until a key is served again.
pub const PROMISE_MS: u64 = 3_500;
/// How much less than [`PROMISE_MS`] the owner counts, beginning when it sends the request. Covers clock rates
/// that differ by up to 2 %.
pub const PROMISE_MARGIN_MS: u64 = 100;
/// Number of witnesses of one owner.
pub const WITNESSES: usize = 3;
/// Number of witnesses that must support an owner before it grants keys, or deny it before a take-over.
pub const WITNESS_QUORUM: usize = 2;

/// One run of an agent that is a witness of an owner.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct WitnessId {
    /// Name of the instance.
    pub node: Name,
    /// Run of the instance's agent that makes the promises.
    pub run: Name,
}

/// The set of witnesses of an owner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WitnessSet {
    /// Increases with each set of an owner.
    pub epoch: u64,
    /// The witnesses; empty if the owner relies on the store alone.
    pub witnesses: Vec<WitnessId>,
}

impl WitnessSet {
    /// Whether other agents may take over the owner's keys as soon as its witnesses deny it support.
    #[must_use]
    pub const fn is_deniable(&self) -> bool {
        !self.witnesses.is_empty()
    }

    /// Returns the set that a take-over records in place of this one: the owner has no witnesses any more, and its
    /// next set has a later epoch than any that was denied.
    #[must_use]
    pub const fn after_take_over(&self) -> Self {
        Self {
            epoch: self.epoch.saturating_add(1),
            witnesses: Vec::new(),
        }
    }

    /// Whether the owner can still get the support that it needs, if only the witnesses for which `is_live` holds
    /// can promise any. Runs of witnesses that have ended promise nothing more.
    #[must_use]
    pub fn has_quorum(&self, is_live: impl Fn(&WitnessId) -> bool) -> bool {
        let live = self.witnesses.iter().filter(|witness| is_live(witness));
        !self.is_deniable() || live.count() >= WITNESS_QUORUM
    }
}

/// Reply of a witness to an agent that wants to take over an owner's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Denial {
    /// The owner gets no more support under the requested epoch or an older one.
    Denied,
    /// A promise to the owner may still be in force.
    Supported {
        /// Longest time until the promise expires, in milliseconds.
        left_ms: u64,
    },
}

/// Promise of a witness to one owner, and the newest epoch under which it has denied support.
#[derive(Clone, Copy, Debug, Default)]
struct WitnessEntry {
    promised_until: Millis,
    denied_epoch: Option<u64>,
}

/// Promises and denials of one run of an agent, by owner.
#[derive(Clone, Debug)]
pub struct WitnessPromises {
    run: Name,
    started_at: Millis,
    entries: BTreeMap<Name, WitnessEntry>,
}

impl WitnessPromises {
    /// Creates the state of a run that started at `now` and has made no promises.
    #[must_use]
    pub const fn new(run: Name, now: Millis) -> Self {
        Self {
            run,
            started_at: now,
            entries: BTreeMap::new(),
        }
    }

    /// Promises support to an owner.
    ///
    /// Returns false if support was denied for this epoch or a newer one, or if the request is for another run
    /// of the witness.
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

    /// Returns the newest epoch under which an owner was denied support, or zero.
    #[must_use]
    pub fn denied_epoch(&self, owner: &str) -> u64 {
        let entry = self.entries.get(owner);
        entry
            .and_then(|entry| entry.denied_epoch)
            .unwrap_or_default()
    }

    /// Denies further support under an epoch whose record names `run` as the run of this witness, unless a
    /// promise of this run or of an earlier one may still be in force.
    pub fn deny(&mut self, now: Millis, owner: &Name, epoch: u64, run: &str) -> Denial {
        let earlier_runs_until = if *self.run == *run {
            Millis::default()
        } else {
            self.started_at.plus(PROMISE_MS)
        };
        let entry = self.entries.entry(Name::clone(owner)).or_default();
        let until = entry.promised_until.max(earlier_runs_until);
        if now < until {
            let left_ms = until.since(now);
            return Denial::Supported { left_ms };
        }
        entry.denied_epoch = entry.denied_epoch.max(Some(epoch));
        Denial::Denied
    }
}

/// A set that may be recorded in the store, and the promises made under it.
#[derive(Clone, Debug, Default)]
struct CandidateSet {
    set: WitnessSet,
    /// End of each witness's promise, by name of its instance.
    promised_until: BTreeMap<Name, Millis>,
}

impl CandidateSet {
    /// Until when the owner has support under this set, at most until `cap`.
    fn supported_until(&self, cap: Millis) -> Millis {
        if !self.set.is_deniable() {
            return cap;
        }
        let promise = |witness: &WitnessId| {
            let until = self.promised_until.get(&witness.node);
            until.copied().unwrap_or_default()
        };
        let mut ends: Vec<Millis> = self.set.witnesses.iter().map(promise).collect();
        ends.sort_unstable_by(|left, right| right.cmp(left));
        let end = ends.get(WITNESS_QUORUM - 1).copied().unwrap_or_default();
        end.min(cap)
    }
}

/// The support that an owner has from its witnesses.
#[derive(Clone, Debug)]
pub struct OwnerSupport {
    /// Sets that may be recorded in the store, the newest last.
    candidates: Vec<CandidateSet>,
    /// Newest epoch that a witness is known to have denied, or zero.
    denied_epoch: u64,
}

impl OwnerSupport {
    /// Creates the state of an owner that relies on the store alone.
    #[must_use]
    pub fn new() -> Self {
        Self {
            candidates: vec![CandidateSet::default()],
            denied_epoch: 0,
        }
    }

    /// Records that a witness refused support because it has denied an epoch. Returns whether that is news.
    pub fn record_refusal(&mut self, denied_epoch: u64) -> bool {
        let is_news = denied_epoch > self.denied_epoch;
        self.denied_epoch = self.denied_epoch.max(denied_epoch);
        is_news
    }

    /// Whether a witness has denied the newest set, so that the owner needs one with a later epoch.
    #[must_use]
    pub fn is_denied(&self) -> bool {
        let newest = self.sets().last();
        newest.is_some_and(|set| set.is_deniable() && set.epoch <= self.denied_epoch)
    }

    /// Returns the epoch of the next set, later than any that was proposed, recorded or denied.
    #[must_use]
    pub fn next_epoch(&self, recorded: u64) -> u64 {
        let newest = self.sets().last().map_or(0, |set| set.epoch);
        newest
            .max(recorded)
            .max(self.denied_epoch)
            .saturating_add(1)
    }

    /// Sets that may be recorded in the store, the newest last.
    pub fn sets(&self) -> impl Iterator<Item = &WitnessSet> {
        self.candidates.iter().map(|candidate| &candidate.set)
    }

    /// Whether more than one set may be recorded.
    #[must_use]
    pub fn has_unconfirmed_set(&self) -> bool {
        self.candidates.len() > 1
    }

    /// Adds a set that may be recorded from now on.
    pub fn propose(&mut self, set: WitnessSet) {
        if self.sets().all(|candidate| candidate.epoch != set.epoch) {
            self.candidates.push(CandidateSet {
                set,
                promised_until: BTreeMap::new(),
            });
        }
    }

    /// Keeps only the set of an epoch: it is recorded, and no other known set can be recorded any more.
    pub fn confirm(&mut self, epoch: u64) {
        if self.sets().any(|candidate| candidate.epoch == epoch) {
            self.candidates
                .retain(|candidate| candidate.set.epoch == epoch);
        }
    }

    /// Removes a proposed set that was not recorded and can't be recorded any more.
    pub fn withdraw(&mut self, epoch: u64) {
        if self.has_unconfirmed_set() {
            self.candidates
                .retain(|candidate| candidate.set.epoch != epoch);
        }
    }

    /// Records that a witness granted a request for support that was sent at `sent`.
    pub fn record_support(&mut self, node: &Name, epoch: u64, sent: Millis) {
        let until = sent.plus(PROMISE_MS - PROMISE_MARGIN_MS);
        for candidate in self
            .candidates
            .iter_mut()
            .filter(|candidate| candidate.set.epoch == epoch)
        {
            let end = candidate
                .promised_until
                .entry(Name::clone(node))
                .or_default();
            *end = until.max(*end);
        }
    }

    /// End of a witness's promise under the newest set; zero without one.
    #[must_use]
    pub fn promised_until(&self, node: &str) -> Millis {
        let newest = self.candidates.last();
        let until = newest.and_then(|candidate| candidate.promised_until.get(node));
        until.copied().unwrap_or_default()
    }

    /// Until when the owner may grant keys, at most until `cap`, under every set that may be recorded.
    #[must_use]
    pub fn authorized_until(&self, cap: Millis) -> Millis {
        let ends = self
            .candidates
            .iter()
            .map(|candidate| candidate.supported_until(cap));
        ends.min().unwrap_or_default()
    }
}

impl Default for OwnerSupport {
    fn default() -> Self {
        Self::new()
    }
}
