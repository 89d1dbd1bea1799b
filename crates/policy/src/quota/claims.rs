//! Which free slots an agent claims.
//!
//! Load pattern: all agents start together, or many slots become free at once, and all agents see it. Few of them
//! may write to the store, and no agent may end up with most of the slots.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_types::key::KeyHash;
use jy_types::name::Name;
use jy_types::quota::QUOTA_GROUPS;
use jy_types::quota::QUOTA_PARTS;
use jy_types::quota::SlotId;
use jy_types::time::Millis;

use crate::settling::FleetSettling;

/// Longest delay of a claim by an agent that is not preferred, in milliseconds.
const MAX_DELAY_MS: f64 = 1_000.0;
/// Shortest such delay, in milliseconds: the preferred agent's claim is known everywhere by then.
const MIN_DELAY_MS: f64 = 200.0;
/// Time for which a slot may be free before agents claim it that have more than their share, in milliseconds.
const MAX_FREE_MS: u64 = 3_000;
/// Time without a change in the number of agents after which the first slots are claimed, in milliseconds.
const QUIET_MS: u64 = 1_000;
/// Longest wait for such a time, in milliseconds.
const MAX_SETTLING_MS: u64 = 5_000;
/// Largest number of slots claimed in one transaction. The store takes 32 entries, and each claim is an expected
/// revision and a write.
const MAX_CLAIMS: usize = 16;

/// A live agent that may hold slots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotCandidate {
    /// Instance of the agent.
    pub node: Name,
    /// Its availability zone.
    pub zone: Name,
}

/// A slot's record in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotView<'a> {
    /// Instance of the holder.
    pub node: &'a str,
    /// Whether the record was written by this run of the agent under its present lease.
    pub is_current: bool,
    /// Revision of the record.
    pub revision: u64,
}

/// A claim: a slot and the expected revision of its record, zero if there is none.
pub type SlotClaim = (SlotId, u64);

/// When a free slot is claimed.
#[derive(Clone, Copy, Debug)]
struct FreeSlot {
    since: Millis,
    due: Millis,
}

/// Chooses the slots that one agent claims.
#[derive(Clone, Debug, Default)]
pub struct ClaimPlanner {
    free: BTreeMap<SlotId, FreeSlot>,
    /// Slots that this agent was the last to hold.
    held: BTreeSet<SlotId>,
    settling: FleetSettling,
    started_at: Option<Millis>,
}

/// Returns the slots to claim while leases of an earlier era of the store may still be in force: of those that this run
/// held when the era began, `remembered`, the ones that have no record, or one of this instance under another lease.
#[must_use]
pub fn reclaims(
    own: &str,
    remembered: &BTreeSet<SlotId>,
    records: &BTreeMap<SlotId, SlotView<'_>>,
) -> Vec<SlotClaim> {
    let claim = |slot: &SlotId| match records.get(slot) {
        None => Some((*slot, 0)),
        Some(view) if view.node == own && !view.is_current => Some((*slot, view.revision)),
        Some(_) => None,
    };
    remembered
        .iter()
        .filter_map(claim)
        .take(MAX_CLAIMS)
        .collect()
}

impl ClaimPlanner {
    /// Creates a planner that has seen no free slot.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the slots to claim now: those that an earlier run or lease of the agent held, and free ones. Slots that
    /// this run held last are claimed at once, as after an outage of the store, in which all leases end.
    /// `random` returns numbers from zero to one.
    pub fn plan(
        &mut self,
        now: Millis,
        own: &str,
        candidates: &[SlotCandidate],
        records: &BTreeMap<SlotId, SlotView<'_>>,
        mut random: impl FnMut() -> f64,
    ) -> Vec<SlotClaim> {
        for (slot, view) in records {
            if view.node == own {
                self.held.insert(*slot);
            } else {
                self.held.remove(slot);
            }
        }
        let owns = |view: &&SlotView<'_>| view.node == own;
        let is_stale = |view: &&SlotView<'_>| view.node == own && !view.is_current;
        let stale = records.iter().filter(|(_, view)| is_stale(view));
        let mut claims: Vec<SlotClaim> = stale.map(|(slot, view)| (*slot, view.revision)).collect();
        let owned = records.values().filter(owns).count();
        let is_settled = self.is_settled(now, candidates.len(), !records.is_empty());
        let slots = usize::from(QUOTA_PARTS) * usize::from(QUOTA_GROUPS);
        // Twice the agent's part, since the preferred agents are not distributed evenly.
        let max_share = (2 * slots).div_ceil(candidates.len().max(1));
        let zones: BTreeSet<&Name> = candidates.iter().map(|candidate| &candidate.zone).collect();
        for slot in SlotId::all() {
            if records.contains_key(&slot) {
                self.free.remove(&slot);
                continue;
            }
            if self.held.contains(&slot) {
                claims.push((slot, 0));
                continue;
            }
            if !is_settled {
                self.free.remove(&slot);
                continue;
            }
            let is_preferred = preferred(slot, candidates, &zones).is_some_and(|node| node == own);
            let free = self.free.entry(slot).or_insert_with(|| {
                let delay_ms = MIN_DELAY_MS + (MAX_DELAY_MS - MIN_DELAY_MS) * random();
                FreeSlot {
                    since: now,
                    due: now.plus(delay_ms as u64),
                }
            });
            let has_room = owned + claims.len() < max_share || now.since(free.since) >= MAX_FREE_MS;
            if is_preferred || (now >= free.due && has_room) {
                claims.push((slot, 0));
            }
        }
        claims.truncate(MAX_CLAIMS);
        claims
    }

    /// Delays the claims of slots of which one failed, until the records that it conflicts with have arrived.
    pub fn delay(&mut self, now: Millis, claims: &[SlotClaim], random: f64) {
        let delay_ms = MIN_DELAY_MS + (MAX_DELAY_MS - MIN_DELAY_MS) * random;
        for (slot, _) in claims {
            if let Some(free) = self.free.get_mut(slot) {
                free.due = now.plus(delay_ms as u64);
            }
        }
    }

    /// Whether free slots may be claimed: some slot is held, or the agents of a starting fleet have arrived.
    fn is_settled(&mut self, now: Millis, agents: usize, has_records: bool) -> bool {
        let started_at = *self.started_at.get_or_insert(now);
        let is_quiet = self.settling.observe(now, agents, QUIET_MS);
        has_records || is_quiet || now.since(started_at) >= MAX_SETTLING_MS
    }
}

/// Returns the agent that is preferred as the holder of a slot: the one that rendezvous hashing chooses among the
/// agents of the part's availability zone.
fn preferred<'a>(
    slot: SlotId,
    candidates: &'a [SlotCandidate],
    zones: &BTreeSet<&Name>,
) -> Option<&'a str> {
    let index = usize::from(slot.part) % zones.len().max(1);
    let zone = *zones.iter().nth(index)?;
    let of_zone = candidates
        .iter()
        .filter(|candidate| candidate.zone == *zone);
    let weight = |candidate: &&SlotCandidate| KeyHash::new(&format!("{slot}/{}", candidate.node));
    of_zone.max_by_key(weight).map(|candidate| &*candidate.node)
}
