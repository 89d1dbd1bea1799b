//! Maintains the table of key ranges of the service that the local backend server runs.
//!
//! Agents update the table independently by compare-and-swap. An owner's keys are moved only by the agent
//! beside it, after the backend server has released them. Other agents take the keys only once that agent's
//! record has been absent for longer than it may grant keys, or once the owner's witnesses have denied it.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jy_kernel::clock;
use jy_platform::store::CommitOutcome;
use jy_platform::store::Result;
use jy_platform::store::StoreClient;
use jy_platform::store::StoreCommit;
use jy_platform::store::StoreWrite;
use jy_policy::capacity;
use jy_policy::leaving;
use jy_policy::offered::SustainedOverload;
use jy_policy::settling::FleetSettling;
use jy_ranges::plan;
use jy_ranges::plan::RangeMove;
use jy_ranges::plan::RangeReceiver;
use jy_ranges::plan::ReceiverSelector;
use jy_ranges::table::KeyRange;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::BackendPhase;
use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::time::Millis;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::timeout;

use crate::backend::SharedBackend;
use crate::feed::RecordFeed;
use crate::feed::SnapshotSender;
use crate::gate::LocalGate;
use crate::gateway::CallerGateway;
use crate::lost_owners::LostOwner;
use crate::lost_owners::LostOwners;
use crate::member::AUTHORITY_MARGIN_MS;
use crate::snapshot::FleetSnapshot;
use crate::snapshot::instance_key;
use crate::snapshot::ranges_key;
use crate::snapshot::witness_key;
use crate::support::LocalSupport;

/// Upper bound of the random delay before an agent claims keys for new incarnations, per receiver, in
/// milliseconds. Spreads the agents so that one of them usually writes the claims of all.
const CLAIM_JITTER_MS: u64 = 10;
/// Longest time between two checks of the table, in milliseconds: loads change within a second.
const CHECK_INTERVAL_MS: u64 = 250;
/// Longest time between two checks by an agent that manages no key ranges, in milliseconds.
const IDLE_CHECK_INTERVAL_MS: u64 = 2_000;
/// Uptime of the agent before it creates the first table, in milliseconds: all instances start within 0.3 s,
/// and their backend servers begin to announce themselves within 1.5 s.
const FIRST_TABLE_DELAY_MS: u64 = 2_500;
/// Least time without a new backend server before the first table is created, in milliseconds: the service time
/// of the last one must be known.
const MIN_QUIET_MS: u64 =
    capacity::MEASUREMENT_INTERVAL_MS * capacity::MEASUREMENTS as u64 + RANK_DELAY_MS;
/// Uptime of the agent after which it creates the first table although new backend servers still announce
/// themselves, in milliseconds: callers come 8 s after the start.
const MAX_FIRST_TABLE_DELAY_MS: u64 = 5_000;
/// Least time between moves that balance load, in announcement intervals. A move takes up to two intervals, and
/// the loads must reflect the last move before the next one is chosen.
const BALANCE_INTERVALS: f64 = 3.0;
/// Work offered beyond its capacity after which an owner moves keys away, expressed as the time that it would
/// take to process that work, in milliseconds. A move leaves its keys without a holder for about 1.4 s and on
/// a cold backend server for 2 s more; a shorter overload costs less than the move
/// (docs/measurements/platform.md).
const MIN_OVERLOAD_MS: f64 = 6_000.0;
/// Oldest load report of another backend server that is used, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 2_000;
/// Utilization assumed for a backend server without a recent load report; a busy one reports often.
const DEFAULT_UTILIZATION: f64 = 0.4;
/// Delay per rank before an agent makes a change that any agent may make, in milliseconds. Agents are ranked
/// by name, and a change reaches all of them within a few round trips, so that usually only the first writes.
const RANK_DELAY_MS: u64 = 200;
/// Time after its last announcement for which a backend server that refuses connections keeps its keys, in
/// milliseconds, since it may be restarting.
const RESTART_GRACE_MS: u64 = 1_000;

/// The dependencies and settings of a [`RangeManager`].
pub struct RangeManagerParts {
    /// Name of the instance.
    pub node: Name,
    /// The platform's store.
    pub store: StoreClient,
    /// The latest snapshot of the fleet's records.
    pub snapshot: Rc<SnapshotSender>,
    /// The backend server beside the agent.
    pub backend: SharedBackend,
    /// Obtains support from this agent's witnesses and asks the witnesses of other owners for denials.
    pub support: Rc<LocalSupport>,
    /// The agent's gate.
    pub gate: Rc<LocalGate>,
    /// The agent's gateway, which records the loads that other backend servers report.
    pub gateway: Rc<CallerGateway>,
    /// The feed of the fleet's records.
    pub feed: Rc<RecordFeed>,
    /// Longest time for which keys are granted to a backend server, in milliseconds.
    pub longest_grant_ms: u64,
    /// Time between two announcements of a backend server, in milliseconds.
    pub announce_interval_ms: u64,
}

/// Updates the table of key ranges of the local backend server's service.
pub struct RangeManager {
    parts: RangeManagerParts,
    started: Millis,
    last_balanced: Cell<Millis>,
    overload: Cell<SustainedOverload>,
    /// When this agent claims keys for new incarnations, unless another agent does so first.
    claim_due: Cell<Option<Millis>>,
    settling: Cell<FleetSettling>,
    lost_owners: LostOwners,
    rng: RefCell<SmallRng>,
}

/// A new version of a table with its preconditions in the store.
struct TableChange {
    reason: &'static str,
    table: RangeTable,
    /// Revision that the stored table must have; zero if there must be no table yet.
    expected_revision: u64,
    /// Owners whose records must be absent from the store.
    lost_owners: Vec<LostOwner>,
}

impl TableChange {
    /// Creates a change whose only precondition is the table's revision.
    const fn new(reason: &'static str, table: RangeTable) -> Self {
        Self {
            reason,
            table,
            expected_revision: 0,
            lost_owners: Vec::new(),
        }
    }
}

/// The inputs of one check of the table.
struct CheckContext<'a> {
    now: Millis,
    snapshot: &'a FleetSnapshot,
    table: &'a RangeTable,
    receivers: &'a [RangeReceiver],
}

impl RangeManager {
    /// Creates a range manager; [`RangeManager::run`] starts its checks.
    #[must_use]
    pub fn new(parts: RangeManagerParts) -> Self {
        Self {
            parts,
            started: clock::now(),
            last_balanced: Cell::new(Millis::default()),
            overload: Cell::new(SustainedOverload::new()),
            claim_due: Cell::new(None),
            settling: Cell::new(FleetSettling::new()),
            lost_owners: LostOwners::new(),
            rng: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// Checks the table periodically and whenever the snapshot or the backend server changes. Never returns.
    pub async fn run(&self) {
        let mut snapshot_updates = self.parts.snapshot.subscribe();
        let mut backend_updates = self.parts.backend.subscribe();
        loop {
            let is_managing = match self.check().await {
                Ok(is_managing) => is_managing,
                Err(error) => {
                    log::debug!("failed to update key ranges: {error}");
                    true
                }
            };
            let wait_ms = if is_managing {
                CHECK_INTERVAL_MS
            } else {
                IDLE_CHECK_INTERVAL_MS
            };
            let updates = async {
                tokio::select! {
                    _ = snapshot_updates.changed() => {}
                    _ = backend_updates.changed() => {}
                }
            };
            let _is_due = timeout(Duration::from_millis(wait_ms), updates).await;
        }
    }

    /// Checks the service's table once and writes the change that is due. Returns false if the agent manages
    /// no key ranges.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be read or written.
    async fn check(&self) -> Result<bool> {
        let snapshot = Rc::clone(&self.parts.snapshot.borrow());
        let service = self.managed_service(&snapshot);
        self.parts.support.set_wanted(service.is_some());
        let is_leaving = self
            .parts
            .backend
            .read(|state| state.is_some_and(|state| state.leaving_since.is_some()));
        let is_store_lost = self.parts.feed.state.borrow().lost.is_some();
        let is_needed = leaving::needs_support(is_leaving, is_store_lost);
        self.parts.support.set_paused(!is_needed);
        let Some(service) = service else {
            return Ok(false);
        };
        let now = clock::now();
        let rank_delay_ms = self.rank_delay_ms(&self.receivers(now, &snapshot, &service));
        self.lost_owners
            .deny(now, &self.parts.support, &snapshot, &service, rank_delay_ms)
            .await;
        let Some(change) = self.due_change(&snapshot, &service) else {
            return Ok(true);
        };
        if change.lost_owners.is_empty() {
            self.write(&service, change).await?;
            return Ok(true);
        }
        // An owner may have come back and lapsed again since this agent last read the store.
        self.parts.feed.catch_up().await?;
        let snapshot = Rc::clone(&self.parts.snapshot.borrow());
        if let Some(change) = self.due_change(&snapshot, &service) {
            self.write(&service, change).await?;
        }
        Ok(true)
    }

    /// Returns the change of a service's table that is due, with the revision that it expects.
    fn due_change(&self, snapshot: &FleetSnapshot, service: &Name) -> Option<TableChange> {
        let now = clock::now();
        let receivers = self.receivers(now, snapshot, service);
        let Some(versioned) = snapshot.ranges.get(service) else {
            return self.first_table(now, &receivers);
        };
        let context = CheckContext {
            now,
            snapshot,
            table: &versioned.table,
            receivers: &receivers,
        };
        let change = self.select_change(&context)?;
        Some(TableChange {
            expected_revision: versioned.revision,
            ..change
        })
    }

    /// Returns the service whose key ranges this agent manages: the announced one if it is divided by key.
    /// Before the first announcement, the one whose table lists this instance as an owner.
    fn managed_service(&self, snapshot: &FleetSnapshot) -> Option<Name> {
        let routes = snapshot.routes.as_ref()?;
        let announced = self
            .parts
            .backend
            .read(|state| state.map(|state| Name::clone(&state.announced.service)));
        let is_keyed = |service: &Name| {
            let rule = routes.services.get(service);
            rule.is_some_and(|rule| rule.keyed)
        };
        if let Some(service) = announced {
            return is_keyed(&service).then_some(service);
        }
        let is_own = |range: &KeyRange| range.owner.node == self.parts.node;
        snapshot
            .ranges
            .iter()
            .find(|(_, versioned)| versioned.table.ranges().iter().any(is_own))
            .map(|(service, _)| Name::clone(service))
    }

    /// Returns the backend servers that may be given keys of a service.
    fn receivers(
        &self,
        now: Millis,
        snapshot: &FleetSnapshot,
        service: &str,
    ) -> Vec<RangeReceiver> {
        let (local_used, _) = self.parts.gate.usage(now);
        let gateway = &self.parts.gateway;
        snapshot
            .route_choices(now, service, "")
            .into_iter()
            .filter(|choice| {
                !gateway.with_endpoints(|table| table.is_backing_off(now, &choice.node))
            })
            .filter_map(|choice| {
                let instance = snapshot.instances.get(&choice.node)?;
                if instance.lapsed.is_some() {
                    return None;
                }
                let backend = instance.record.serving()?;
                let used = if choice.node == self.parts.node {
                    local_used
                } else {
                    let reported = gateway.with_endpoints(|table| {
                        table.used_share(now, &choice.node, MAX_LOAD_AGE_MS)
                    });
                    reported.unwrap_or(DEFAULT_UTILIZATION)
                };
                Some(RangeReceiver {
                    owner: RangeOwner {
                        node: choice.node,
                        incarnation: backend.incarnation.clone(),
                    },
                    weight: capacity::weight(backend.slots, backend.service_time_percent),
                    used,
                })
            })
            .collect()
    }

    /// Creates the first table of a service, once its backend servers have had time to announce themselves.
    fn first_table(&self, now: Millis, receivers: &[RangeReceiver]) -> Option<TableChange> {
        let uptime_ms = now.since(self.started);
        let mut settling = self.settling.get();
        let quiet_ms = (self.parts.announce_interval_ms / 2).max(MIN_QUIET_MS);
        let is_settled = settling.observe(now, receivers.len(), quiet_ms);
        self.settling.set(settling);
        let delay_ms = if is_settled {
            FIRST_TABLE_DELAY_MS
        } else {
            MAX_FIRST_TABLE_DELAY_MS
        };
        if uptime_ms < delay_ms + self.rank_delay_ms(receivers) {
            return None;
        }
        let weights: Vec<(RangeOwner, u32)> = receivers
            .iter()
            .map(|receiver| (receiver.owner.clone(), receiver.weight))
            .collect();
        Some(TableChange::new("first", RangeTable::new(&weights)?))
    }

    /// How long this agent waits for agents of lower rank to make a change, in milliseconds.
    fn rank_delay_ms(&self, receivers: &[RangeReceiver]) -> u64 {
        let ranks_before = |receiver: &&RangeReceiver| receiver.owner.node < self.parts.node;
        receivers.iter().filter(ranks_before).count() as u64 * RANK_DELAY_MS
    }

    /// Returns the first change that is due; each check writes at most one.
    fn select_change(&self, context: &CheckContext<'_>) -> Option<TableChange> {
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

    /// Writes a change of a table, provided that its preconditions still hold. On a conflict, reads the table
    /// again.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be written, or can't be read after a conflict.
    async fn write(&self, service: &Name, change: TableChange) -> Result<()> {
        let expected_revision = change.expected_revision;
        let key = ranges_key(service);
        let text = match change.table.to_text() {
            Ok(text) => text,
            Err(error) => {
                log::error!("failed to encode key ranges of {service}: {error}");
                return Ok(());
            }
        };
        let absent = change
            .lost_owners
            .iter()
            .map(|lost| (instance_key(&lost.node), 0));
        let denied: Vec<(Name, u64)> = change
            .lost_owners
            .iter()
            .filter_map(|lost| Some((witness_key(&lost.node), lost.witnesses?)))
            .collect();
        let commit = StoreCommit {
            expected: [(Name::clone(&key), expected_revision)]
                .into_iter()
                .chain(absent)
                .chain(denied.iter().cloned())
                .collect(),
            writes: vec![StoreWrite {
                key: Name::clone(&key),
                value: Name::clone(&text),
                lease: 0,
            }],
            deletes: denied.into_iter().map(|(key, _)| key).collect(),
        };
        let outcome = self.parts.store.commit(&commit).await?;
        log::info!(
            "decision key ranges service={service} why={:?} lost={:?} expected={expected_revision} end={outcome:?}",
            change.reason,
            change.lost_owners
        );
        match outcome {
            CommitOutcome::Applied { revision } => self.parts.feed.apply_written(Record {
                key,
                revision,
                value: Some(text),
            }),
            CommitOutcome::Conflict | CommitOutcome::NoLease => {
                self.last_balanced.set(Millis::default());
                self.parts.feed.refresh(&key).await?;
            }
        }
        Ok(())
    }
}
