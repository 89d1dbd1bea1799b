//! Selection of the change of the table that is due.

use std::collections::BTreeMap;

use jy_ranges::plan;
use jy_ranges::plan::RangeMove;
use jy_ranges::plan::RangeReceiver;
use jy_ranges::plan::ReceiverSelector;
use jy_ranges::table::KeyRange;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::BackendPhase;
use jy_types::name::Name;
use rand::Rng;

use super::CheckContext;
use super::RangeManager;
use super::TableChange;
use crate::member::AUTHORITY_MARGIN_MS;

/// Upper bound of the random delay before an agent claims keys for new incarnations, per receiver, in
/// milliseconds. Spreads the agents so that one of them usually writes the claims of all.
const CLAIM_JITTER_MS: u64 = 10;
/// Least time between moves that balance load, in announcement intervals. A move takes up to two intervals, and
/// the loads must reflect the last move before the next one is chosen.
const BALANCE_INTERVALS: f64 = 3.0;
/// Work offered beyond its capacity after which an owner moves keys away, expressed as the time that it would
/// take to process that work, in milliseconds. A move leaves its keys without a holder for about 1.4 s and on
/// a cold backend server for 2 s more; a shorter overload costs less than the move
/// (docs/measurements/platform.md).
const MIN_OVERLOAD_MS: f64 = 6_000.0;
/// Time after its last announcement for which a backend server that refuses connections keeps its keys, in
/// milliseconds, since it may be restarting.
const RESTART_GRACE_MS: u64 = 1_000;

impl RangeManager {
    /// Returns the first change that is due; each check writes at most one.
    pub(super) fn select_change(&self, context: &CheckContext<'_>) -> Option<TableChange> {
        self.claim_for_new_incarnations(context)
            .or_else(|| self.finish_moves(context))
            .or_else(|| self.drain(context))
            .or_else(|| self.take_over(context))
            .or_else(|| self.balance(context))
    }

    /// Assigns the keys of earlier incarnations, which have ended, to the present incarnations on the same
    /// instances. One change covers all of them, since many start together after a loss of power.
    fn claim_for_new_incarnations(&self, context: &CheckContext<'_>) -> Option<TableChange> {
        let current_owners: BTreeMap<&Name, &RangeOwner> = context
            .receivers
            .iter()
            .map(|receiver| (&receiver.owner.node, &receiver.owner))
            .collect();
        let newer_owner = |owner: &RangeOwner| {
            let current_owner = current_owners.get(&owner.node).copied();
            current_owner.filter(|current_owner| {
                current_owner.incarnation.started_at > owner.incarnation.started_at
            })
        };
        let has_superseded = context
            .table
            .ranges()
            .iter()
            .any(|range| newer_owner(&range.owner).is_some());
        if !has_superseded {
            self.claim_due.set(None);
            return None;
        }
        let due = self.claim_due.get().unwrap_or_else(|| {
            let jitter_ms = context.receivers.len() as u64 * CLAIM_JITTER_MS;
            context
                .now
                .plus(self.rng.borrow_mut().random_range(0..=jitter_ms))
        });
        self.claim_due.set(Some(due));
        if context.now < due {
            return None;
        }
        let table = context.table.clone();
        let is_superseded = |owner: &RangeOwner| newer_owner(owner).is_some();
        Some(TableChange::new(
            "new life",
            table.with_reassigned(is_superseded, |range| newer_owner(&range.owner).cloned()),
        ))
    }

    /// Completes moves whose ranges the backend server has released, and cancels moves whose next owner is
    /// no longer a receiver.
    fn finish_moves(&self, context: &CheckContext<'_>) -> Option<TableChange> {
        let own = self.parts.backend.owner()?;
        let mut moving = context
            .table
            .owned(&own)
            .filter(|range| range.next_owner.is_some());
        moving.next()?;
        let is_receiver = |owner: &RangeOwner| {
            context
                .receivers
                .iter()
                .any(|receiver| receiver.owner == *owner)
        };
        let has_lost_receiver = |range: &KeyRange| {
            let next = range.next_owner.as_ref();
            range.owner == own && next.is_some_and(|next| !is_receiver(next))
        };
        if context.table.ranges().iter().any(has_lost_receiver) {
            return Some(TableChange::new(
                "receiver gone",
                context.table.clone().without_moves(has_lost_receiver),
            ));
        }
        let table = self.parts.backend.read(|state| {
            let state = state?;
            let is_free = |range: &KeyRange| state.is_free(context.now, range);
            let table = context
                .table
                .clone()
                .with_moves_completed(&own, &state.released, is_free);
            (table.ranges() != context.table.ranges()).then_some(table)
        })?;
        Some(TableChange::new("released", table))
    }

    /// Marks all keys of the local backend server for handover to other owners, if it must give them up. If
    /// it never announced itself, [`Self::reassign_unannounced`] applies instead.
    fn drain(&self, context: &CheckContext<'_>) -> Option<TableChange> {
        let others: Vec<RangeReceiver> = context
            .receivers
            .iter()
            .filter(|receiver| receiver.owner.node != self.parts.node)
            .cloned()
            .collect();
        if others.is_empty() {
            return None;
        }
        let Some(own) = self.parts.backend.owner() else {
            return self.reassign_unannounced(context, &others);
        };
        if !self.must_drain(context) {
            return None;
        }
        let table = plan::leave(context.table, &own, &others);
        (table != *context.table).then_some(TableChange::new("leaves", table))
    }

    /// Whether the local backend server must give up all keys: it is draining, has ended, is silent, refuses
    /// connections although the time for a restart is over, or its availability zone is taken out.
    fn must_drain(&self, context: &CheckContext<'_>) -> bool {
        let is_zone_out = context
            .snapshot
            .instances
            .get(&self.parts.node)
            .is_some_and(|instance| context.snapshot.zones_out.contains(&instance.record.zone));
        let is_silent = self.parts.backend.is_silent(context.now);
        self.parts.backend.read(|state| {
            state.is_some_and(|state| {
                let is_dead =
                    state.refuses && context.now.since(state.last_heard) >= RESTART_GRACE_MS;
                let is_draining = state.announced.phase == BackendPhase::Draining;
                let is_leaving = is_draining || state.leaving_since.is_some();
                is_zone_out || is_silent || is_dead || is_leaving || state.ended
            })
        })
    }

    /// Reassigns the keys of a backend server that never announced itself to this run of the agent, once all
    /// grants of the previous run have expired.
    fn reassign_unannounced(
        &self,
        context: &CheckContext<'_>,
        others: &[RangeReceiver],
    ) -> Option<TableChange> {
        let grants_expire_at = self
            .started
            .plus(self.parts.longest_grant_ms + AUTHORITY_MARGIN_MS);
        if context.now < grants_expire_at {
            return None;
        }
        let is_own = |owner: &RangeOwner| owner.node == self.parts.node;
        let mut selector = ReceiverSelector::new(context.table, others);
        let table = context.table.clone();
        let table = table.with_reassigned(is_own, |range| selector.choose(range));
        (table.ranges() != context.table.ranges())
            .then_some(TableChange::new("no backend server", table))
    }

    /// Reassigns the keys of owners that can't grant them any more: their records are absent, and their
    /// witnesses have denied them or their authority has expired.
    fn take_over(&self, context: &CheckContext<'_>) -> Option<TableChange> {
        let rank_delay_ms = self.rank_delay_ms(context.receivers);
        let lost =
            self.lost_owners
                .list(context.now, context.snapshot, context.table, rank_delay_ms);
        if lost.is_empty() || context.receivers.is_empty() {
            return None;
        }
        let is_lost = |owner: &RangeOwner| lost.iter().any(|lost| lost.node == owner.node);
        let mut selector = ReceiverSelector::new(context.table, context.receivers);
        let table = context.table.clone();
        let table = table.with_reassigned(is_lost, |range| selector.choose(range));
        Some(TableChange {
            lost_owners: lost,
            ..TableChange::new("owner lost", table)
        })
    }

    /// Marks keys for a new owner, or for less loaded owners if this one has been overloaded long enough.
    fn balance(&self, context: &CheckContext<'_>) -> Option<TableChange> {
        let own = self.parts.backend.owner()?;
        let (used, work) = self.parts.gate.usage(context.now);
        let mut overload = self.overload.get();
        let overload_ms = overload.observe(context.now, used);
        self.overload.set(overload);
        let wait_ms = self.parts.announce_interval_ms as f64 * BALANCE_INTERVALS;
        if (context.now.since(self.last_balanced.get()) as f64) < wait_ms {
            return None;
        }
        let moves = match plan::split_for_new_owner(context.table, &own, context.receivers) {
            Some(range_move) => vec![range_move],
            None if overload_ms >= MIN_OVERLOAD_MS => {
                plan::shed_load(context.table, &own, used, &work, context.receivers)
            }
            None => Vec::new(),
        };
        if moves.is_empty() {
            return None;
        }
        self.last_balanced.set(context.now);
        overload.clear();
        self.overload.set(overload);
        let add_move = |table: RangeTable, range_move: &RangeMove| {
            table.with_move(&own, range_move.first, range_move.last, &range_move.to)
        };
        Some(TableChange::new(
            "balance",
            moves.iter().fold(context.table.clone(), add_move),
        ))
    }
}
