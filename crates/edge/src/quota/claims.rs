//! Claims slots in the store, and releases them when the agent stops.
//!
//! An agent holds a slot while the snapshot has a record of it by this run under the present lease. Other agents
//! replace no record; the store deletes it when the lease ends.
//!
//! When the store comes back from an older copy, the records that were written since are lost, while their holders may lend
//! until their leases end. Until then, an agent claims only the slots that it held itself when it first read the new era
//! and its lease was still in force: no other agent can have claimed them before the store stopped.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use jy_kernel::clock;
use jy_platform::store::CommitOutcome;
use jy_platform::store::StoreCommit;
use jy_platform::store::StoreWrite;
use jy_policy::outage;
use jy_policy::quota::claims::ClaimPlanner;
use jy_policy::quota::claims::SlotCandidate;
use jy_policy::quota::claims::SlotClaim;
use jy_policy::quota::claims::SlotView;
use jy_policy::quota::claims::reclaims;
use jy_policy::quota::lender::LeaseTerm;
use jy_types::name::Name;
use jy_types::quota::SlotId;
use jy_types::quota::SlotRecord;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;
use tokio::time::timeout;

use super::LocalQuota;
use super::QuotaFleet;
use super::QuotaState;
use crate::snapshot::FleetSnapshot;
use crate::snapshot::quota_slot_key;

/// Time between checks of slots that are due to be claimed, in milliseconds.
const CLAIM_INTERVAL_MS: u64 = 100;
/// Longest wait for the snapshot to show an applied claim, in milliseconds.
const MAX_SNAPSHOT_LAG_MS: u64 = 1_000;
/// Number of slots.
const SLOT_COUNT: usize =
    jy_types::quota::QUOTA_PARTS as usize * jy_types::quota::QUOTA_GROUPS as usize;
/// Largest number of slots released in one transaction, each of which is an expected revision and a deletion. The
/// store takes 32 entries.
const MAX_RELEASES: usize = 16;

/// State of the claims.
struct SlotClaimer {
    planner: ClaimPlanner,
    rng: SmallRng,
    failures: u32,
    /// Era of the store in which the slots that are held were read.
    era: u64,
    /// Slots that this run held when that era was first read, under a lease that was in force.
    remembered: BTreeSet<SlotId>,
}

impl LocalQuota {
    /// Claims free slots while the configuration has a tenant with a quota. Once the agent stops, deletes the records of
    /// its slots that are left. Never returns.
    pub async fn run(&self) {
        let Some(fleet) = self.state.fleet.get() else {
            return std::future::pending().await;
        };
        let mut updates = fleet.snapshot.subscribe();
        let mut claimer = SlotClaimer {
            planner: ClaimPlanner::new(),
            rng: SmallRng::from_os_rng(),
            failures: 0,
            era: 0,
            remembered: BTreeSet::new(),
        };
        loop {
            self.state.refresh_book();
            let has_quotas = self.state.book.borrow().has_quotas();
            let mut is_complete = true;
            if self.state.is_releasing.get() {
                is_complete = self.state.release_own(fleet).await;
            } else if has_quotas {
                self.state.hold_claimed(fleet, &mut claimer);
                let claims = self.state.plan_claims(fleet, &mut claimer);
                if !claims.is_empty() {
                    self.state.claim(fleet, &mut claimer, &claims).await;
                }
                let snapshot = fleet.snapshot.borrow();
                is_complete = snapshot.quota_slots.len() == SLOT_COUNT
                    && clock::now() >= snapshot.leases_ended_at();
            }
            if is_complete {
                // The sender lives as long as the agent.
                tokio::select! {
                    _ = updates.changed() => {}
                    () = self.state.release_requested.notified() => {}
                }
            } else {
                let interval = Duration::from_millis(CLAIM_INTERVAL_MS);
                let _is_changed = timeout(interval, updates.changed()).await;
            }
        }
    }

    /// Stops to lend and deletes the records of the agent's slots, so that other agents claim them at once. Records that
    /// are left, since a commit failed or a claim was under way, are deleted by [`Self::run`].
    pub async fn release(&self) {
        self.state.is_releasing.set(true);
        let Some(fleet) = self.state.fleet.get() else {
            return;
        };
        self.state.lender.borrow_mut().retain(|_, _| false);
        fleet.metrics.quota_slots.set(0);
        self.state.release_own(fleet).await;
        self.state.release_requested.notify_one();
    }
}

impl QuotaState {
    /// Deletes the records of this run's slots that are in the snapshot. Returns whether none is left there.
    async fn release_own(&self, fleet: &QuotaFleet) -> bool {
        let (held, era) = {
            let snapshot = fleet.snapshot.borrow();
            let is_own = |record: &SlotRecord| record.node == self.node && record.run == fleet.run;
            let slots = snapshot.quota_slots.iter();
            let own = slots.filter(|(_, slot)| is_own(&slot.record));
            let held = own.map(|(slot, versioned)| (*slot, versioned.revision));
            (held.collect::<Vec<SlotClaim>>(), snapshot.era)
        };
        for slots in held.chunks(MAX_RELEASES) {
            let keys = slots.iter().map(|(slot, _)| quota_slot_key(*slot));
            let expected = slots
                .iter()
                .map(|(slot, revision)| (quota_slot_key(*slot), *revision));
            let commit = StoreCommit {
                expected: expected.collect(),
                writes: Vec::new(),
                deletes: keys.collect(),
            };
            let end = fleet.member.commit(&commit, era).await;
            log::info!(
                "decision quota slots released slots=[{}] end={end:?}",
                names(slots)
            );
        }
        held.is_empty()
    }

    /// Takes over the slots whose records were written by this run under its present lease, and gives up all
    /// others. Remembers those that are lost by a change of the store's era.
    fn hold_claimed(&self, fleet: &QuotaFleet, claimer: &mut SlotClaimer) {
        let term = fleet.member.lease_term();
        let snapshot = fleet.snapshot.borrow();
        let mut lender = self.lender.borrow_mut();
        let before = lender.len();
        let is_current = |slot: SlotId, lease: u64| {
            let record = snapshot.quota_slots.get(&slot).map(|slot| &slot.record);
            record.is_some_and(|record| {
                term.is_some_and(|term| self.is_current(record, fleet, term))
                    && record.lease == lease
            })
        };
        let earlier_era = claimer.era;
        if earlier_era != snapshot.era {
            claimer.era = snapshot.era;
            claimer.remembered.clear();
        }
        lender.retain(|slot, lease| {
            let read_at = snapshot.era_read_at;
            if earlier_era != snapshot.era && fleet.member.was_in_force(lease, earlier_era, read_at)
            {
                claimer.remembered.insert(slot);
            }
            is_current(slot, lease)
        });
        let kept = lender.len();
        let now = clock::now();
        for (slot, versioned) in &snapshot.quota_slots {
            let lease = versioned.record.lease;
            if is_current(*slot, lease) && !lender.holds(*slot, lease) {
                lender.hold(now, *slot, lease, claimer.rng.random());
            }
        }
        let held = lender.len();
        if before != held || kept != held {
            log::info!("belief quota slots held={held} before={before} kept={kept}");
        }
        let held = i64::try_from(held).unwrap_or(i64::MAX);
        fleet.metrics.quota_slots.set(held);
    }

    /// Whether a slot's record was written by this run of the agent under its present lease.
    fn is_current(&self, record: &SlotRecord, fleet: &QuotaFleet, term: LeaseTerm) -> bool {
        record.node == self.node && record.run == fleet.run && record.lease == term.lease
    }

    /// Returns the slots to claim now.
    fn plan_claims(&self, fleet: &QuotaFleet, claimer: &mut SlotClaimer) -> Vec<SlotClaim> {
        let now = clock::now();
        let snapshot = fleet.snapshot.borrow();
        let term = fleet.member.lease_term_of(snapshot.era);
        let Some(term) = term.filter(|term| now < term.until) else {
            return Vec::new();
        };
        let is_live = snapshot.instances.get(&self.node).is_some_and(|own| {
            own.lapsed.is_none() && own.record.run == fleet.run && !own.record.leaving
        });
        if !is_live {
            return Vec::new();
        }
        let mut records = BTreeMap::new();
        let mut is_complete = snapshot.quota_slots.len() == SLOT_COUNT;
        for (slot, versioned) in &snapshot.quota_slots {
            let is_current = self.is_current(&versioned.record, fleet, term);
            is_complete &= is_current || versioned.record.node != self.node;
            let view = SlotView {
                node: &versioned.record.node,
                is_current,
                revision: versioned.revision,
            };
            records.insert(*slot, view);
        }
        if is_complete {
            return Vec::new();
        }
        if now < snapshot.leases_ended_at() {
            return reclaims(&self.node, &claimer.remembered, &records);
        }
        let candidates = candidates(&snapshot);
        let SlotClaimer { planner, rng, .. } = claimer;
        planner.plan(now, &self.node, &candidates, &records, || rng.random())
    }

    /// Claims slots in one transaction, and waits until the snapshot shows the result.
    async fn claim(&self, fleet: &QuotaFleet, claimer: &mut SlotClaimer, claims: &[SlotClaim]) {
        let Some(term) = fleet.member.lease_term() else {
            return;
        };
        let record = SlotRecord {
            node: Name::clone(&self.node),
            run: Name::clone(&fleet.run),
            lease: term.lease,
        };
        let value: Name = match serde_json::to_string(&record) {
            Ok(text) => text.into(),
            Err(error) => {
                log::error!("failed to encode a slot's record: {error}");
                return;
            }
        };
        let expected = claims
            .iter()
            .map(|(slot, revision)| (quota_slot_key(*slot), *revision));
        let writes = claims.iter().map(|(slot, _)| StoreWrite {
            key: quota_slot_key(*slot),
            value: Name::clone(&value),
            lease: term.lease,
        });
        let commit = StoreCommit {
            expected: expected.collect(),
            writes: writes.collect(),
            deletes: Vec::new(),
        };
        let era = fleet.snapshot.borrow().era;
        let end = fleet.member.commit(&commit, era).await;
        log::info!(
            "decision quota slots claimed slots=[{}] lease={} end={end:?}",
            names(claims),
            term.lease
        );
        match end {
            Ok(CommitOutcome::Applied { revision, .. }) => {
                claimer.failures = 0;
                wait_for_revision(fleet, revision).await;
            }
            Ok(CommitOutcome::Conflict) => {
                claimer.failures = 0;
                let now = clock::now();
                let random = claimer.rng.random();
                claimer.planner.delay(now, claims, random);
                sleep(Duration::from_millis(CLAIM_INTERVAL_MS)).await;
            }
            Ok(CommitOutcome::NoLease) => {
                sleep(Duration::from_millis(CLAIM_INTERVAL_MS)).await;
            }
            Err(_) => {
                claimer.failures += 1;
                let delay_ms = outage::retry_delay_ms(claimer.failures);
                sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
}

/// Waits until the snapshot covers a revision, so that the same slots are not claimed again.
async fn wait_for_revision(fleet: &QuotaFleet, revision: u64) {
    let mut updates = fleet.snapshot.subscribe();
    let covered = updates.wait_for(|snapshot| snapshot.revision >= revision);
    let limit = Duration::from_millis(MAX_SNAPSHOT_LAG_MS);
    if timeout(limit, covered).await.is_err() {
        let known = fleet.snapshot.borrow().revision;
        log::warn!("belief quota claim of revision={revision} is not in the snapshot={known}");
    }
}

/// Returns the agents that may hold slots.
fn candidates(snapshot: &FleetSnapshot) -> Vec<SlotCandidate> {
    let instances = snapshot.instances.values();
    let live = instances.filter(|instance| instance.lapsed.is_none() && !instance.record.leaving);
    live.map(|instance| SlotCandidate {
        node: Name::clone(&instance.record.node),
        zone: Name::clone(&instance.record.zone),
    })
    .collect()
}

/// Returns the names of slots for a log line.
fn names(claims: &[SlotClaim]) -> String {
    let names: Vec<String> = claims.iter().map(|(slot, _)| slot.to_string()).collect();
    names.join(",")
}
