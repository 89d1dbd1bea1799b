//! Keeps the ranges of keys of the service beside the agent.
//!
//! Every agent changes the service's table by itself, by compare-and-swap. Only the agent beside an
//! owner moves its keys, after the backend server has released them; only when that agent's record is
//! gone for longer than it may grant keys do others take them.

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
use jy_policy::offered::SustainedOverload;
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

/// Agents claim the keys of new lives within this time for each of them, in milliseconds, so that one does
/// it for most.
const CLAIM_SPREAD_MS: u64 = 10;
/// Longest time between two looks, in milliseconds: loads change within a second.
const LOOK_MS: u64 = 250;
/// Time between looks of agents that have nothing to keep, in milliseconds.
const IDLE_LOOK_MS: u64 = 2_000;
/// The first table is made once the agents have been up this long, in milliseconds: all instances start
/// within 0.3 s, and their backend servers announce themselves within one and a half.
const SETTLE_MS: u64 = 2_500;
/// Time between moves to balance load, in periods of announcements: a move takes up to two, and the loads
/// must show what the last one did.
const BALANCE_PERIODS: f64 = 3.0;
/// An owner gives keys away once it was offered this much more than it can do, as the time in which it could
/// do that, in milliseconds. A move leaves its keys without a holder for about 1.4 s and cold for 2 s more; a
/// heat that passes sooner costs less (docs/measurements/platform.md).
const MIN_OVERLOAD_MS: f64 = 6_000.0;
/// Loads of others that are older are not used, in milliseconds.
const LOAD_AGE_MS: u64 = 2_000;
/// Share of the capacity in use of a backend server that was not heard of lately: busy ones are heard of
/// often.
const UNHEARD_USED: f64 = 0.4;
/// Each agent waits this much longer than the one before it with changes that any may make, in
/// milliseconds: a change reaches all within a few round trips.
const RANK_DELAY_MS: u64 = 200;
/// A backend server that refuses connections may be back this soon, in milliseconds.
const RESTART_MS: u64 = 1_000;

/// What is needed to make a range manager.
pub struct RangeManagerParts {
    /// Name of the instance.
    pub node: Name,
    /// The platform's store.
    pub store: StoreClient,
    /// The latest snapshot of the fleet's records.
    pub snapshot: Rc<SnapshotSender>,
    /// The backend server beside the agent.
    pub backend: SharedBackend,
    /// The witnesses of owners.
    pub support: Rc<LocalSupport>,
    /// The agent's gate.
    pub gate: Rc<LocalGate>,
    /// The agent's gateway, which hears of others' loads.
    pub gateway: Rc<CallerGateway>,
    /// The feed of the fleet's records.
    pub feed: Rc<RecordFeed>,
    /// Longest hold of keys, in milliseconds.
    pub longest_grant_ms: u64,
    /// Time between two announcements of a backend server, in milliseconds.
    pub period_ms: u64,
}

/// The range manager.
pub struct RangeManager {
    parts: RangeManagerParts,
    began: Millis,
    balanced: Cell<Millis>,
    overload: Cell<SustainedOverload>,
    /// When this agent claims keys for new lives, if no other has done it before.
    claim_due: Cell<Option<Millis>>,
    lost: LostOwners,
    rng: RefCell<SmallRng>,
}

/// A change of a table with what it rests on.
struct TableChange {
    why: &'static str,
    table: RangeTable,
    /// Revision that the table must have; zero for none.
    expected: u64,
    /// Owners whose records must not be there.
    gone: Vec<LostOwner>,
}

impl TableChange {
    /// Makes a change that rests on the table alone.
    const fn new(why: &'static str, table: RangeTable) -> Self {
        Self {
            why,
            table,
            expected: 0,
            gone: Vec::new(),
        }
    }
}

/// What one look sees.
struct KeeperView<'a> {
    now: Millis,
    snapshot: &'a FleetSnapshot,
    table: &'a RangeTable,
    receivers: &'a [RangeReceiver],
}

impl RangeManager {
    /// Makes a keeper.
    #[must_use]
    pub fn new(parts: RangeManagerParts) -> Self {
        Self {
            parts,
            began: clock::now(),
            balanced: Cell::new(Millis::default()),
            overload: Cell::new(SustainedOverload::new()),
            claim_due: Cell::new(None),
            lost: LostOwners::new(),
            rng: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// Keeps the ranges for ever.
    pub async fn run(&self) {
        let mut snapshot_updates = self.parts.snapshot.subscribe();
        let mut backend_updates = self.parts.backend.subscribe();
        loop {
            let is_busy = match self.look().await {
                Ok(is_busy) => is_busy,
                Err(error) => {
                    log::debug!("key ranges not changed: {error}");
                    true
                }
            };
            let wait_ms = if is_busy { LOOK_MS } else { IDLE_LOOK_MS };
            let news = async {
                tokio::select! {
                    _ = snapshot_updates.changed() => {}
                    _ = backend_updates.changed() => {}
                }
            };
            let _is_due = timeout(Duration::from_millis(wait_ms), news).await;
        }
    }

    /// Looks once at the service's table and changes it where that is due; false if the agent has
    /// nothing to keep.
    ///
    /// # Errors
    ///
    /// What the store says.
    async fn look(&self) -> Result<bool> {
        let snapshot = Rc::clone(&self.parts.snapshot.borrow());
        let service = self.service(&snapshot);
        self.parts.support.set_wanted(service.is_some());
        let Some(service) = service else {
            return Ok(false);
        };
        let now = clock::now();
        let rank_ms = self.rank_ms(&self.receivers(now, &snapshot, &service));
        self.lost
            .deny(now, &self.parts.support, &snapshot, &service, rank_ms)
            .await;
        let Some(change) = self.due_change(&snapshot, &service) else {
            return Ok(true);
        };
        if change.gone.is_empty() {
            self.write(&service, change).await?;
            return Ok(true);
        }
        // An owner may have come back and lapsed again since this agent heard of the store last.
        self.parts.feed.catch_up().await?;
        let snapshot = Rc::clone(&self.parts.snapshot.borrow());
        if let Some(change) = self.due_change(&snapshot, &service) {
            self.write(&service, change).await?;
        }
        Ok(true)
    }

    /// Finds the change of a service's table that is due.
    fn due_change(&self, snapshot: &FleetSnapshot, service: &Name) -> Option<TableChange> {
        let now = clock::now();
        let receivers = self.receivers(now, snapshot, service);
        let Some(seen) = snapshot.ranges.get(service) else {
            return self.first_table(now, &receivers);
        };
        let view = KeeperView {
            now,
            snapshot,
            table: &seen.table,
            receivers: &receivers,
        };
        let change = self.change(&view)?;
        Some(TableChange {
            expected: seen.revision,
            ..change
        })
    }

    /// The service whose keys this agent keeps.
    fn service(&self, snapshot: &FleetSnapshot) -> Option<Name> {
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
            .find(|(_, seen)| seen.table.ranges().iter().any(is_own))
            .map(|(service, _)| Name::clone(service))
    }

    /// Backend servers that may be given keys of a service.
    fn receivers(
        &self,
        now: Millis,
        snapshot: &FleetSnapshot,
        service: &str,
    ) -> Vec<RangeReceiver> {
        let (own_used, _) = self.parts.gate.usage(now);
        let gateway = &self.parts.gateway;
        snapshot
            .choices(now, service, "")
            .into_iter()
            .filter(|choice| {
                !gateway.with_endpoints(|table| table.is_passed_over(now, &choice.node))
            })
            .filter_map(|choice| {
                let seen = snapshot.instances.get(&choice.node)?;
                if seen.lapsed.is_some() {
                    return None;
                }
                let backend = seen.record.serving()?;
                let used = if choice.node == self.parts.node {
                    own_used
                } else {
                    let told =
                        gateway.with_endpoints(|table| table.used(now, &choice.node, LOAD_AGE_MS));
                    told.unwrap_or(UNHEARD_USED)
                };
                Some(RangeReceiver {
                    owner: RangeOwner {
                        node: choice.node,
                        incarnation: backend.incarnation.clone(),
                    },
                    slots: backend.slots,
                    used,
                })
            })
            .collect()
    }

    /// Makes the first table of a service, once its backend servers have had time to announce themselves.
    fn first_table(&self, now: Millis, receivers: &[RangeReceiver]) -> Option<TableChange> {
        if now.since(self.began) < SETTLE_MS + self.rank_ms(receivers) {
            return None;
        }
        let weights: Vec<(RangeOwner, u32)> = receivers
            .iter()
            .map(|receiver| (receiver.owner.clone(), receiver.slots))
            .collect();
        Some(TableChange::new("first", RangeTable::new(&weights)?))
    }

    /// How long this agent lets others go first, in milliseconds.
    fn rank_ms(&self, receivers: &[RangeReceiver]) -> u64 {
        let before = |receiver: &&RangeReceiver| receiver.owner.node < self.parts.node;
        receivers.iter().filter(before).count() as u64 * RANK_DELAY_MS
    }

    /// Finds the change that is due.
    fn change(&self, view: &KeeperView<'_>) -> Option<TableChange> {
        self.claim(view)
            .or_else(|| self.finish_moves(view))
            .or_else(|| self.leave(view))
            .or_else(|| self.take_over(view))
            .or_else(|| self.balance(view))
    }

    /// Gives the present lives of backend servers the keys of earlier ones beside the same agents, which
    /// have ended. Done for all at once, since many start together after a loss of power.
    fn claim(&self, view: &KeeperView<'_>) -> Option<TableChange> {
        let incarnations: BTreeMap<&Name, &RangeOwner> = view
            .receivers
            .iter()
            .map(|receiver| (&receiver.owner.node, &receiver.owner))
            .collect();
        let present = |owner: &RangeOwner| {
            let incarnation = incarnations.get(&owner.node).copied();
            incarnation.filter(|incarnation| {
                incarnation.incarnation.started_at > owner.incarnation.started_at
            })
        };
        let has_earlier = view
            .table
            .ranges()
            .iter()
            .any(|range| present(&range.owner).is_some());
        if !has_earlier {
            self.claim_due.set(None);
            return None;
        }
        let due = self.claim_due.get().unwrap_or_else(|| {
            let spread_ms = view.receivers.len() as u64 * CLAIM_SPREAD_MS;
            view.now
                .plus(self.rng.borrow_mut().random_range(0..=spread_ms))
        });
        self.claim_due.set(Some(due));
        if view.now < due {
            return None;
        }
        let table = view.table.clone();
        let is_earlier = |owner: &RangeOwner| present(owner).is_some();
        Some(TableChange::new(
            "new life",
            table.reassigned(is_earlier, |range| present(&range.owner).cloned()),
        ))
    }

    /// Hands over marked ranges that the backend server has released, and takes back marks whose next
    /// owner is gone.
    fn finish_moves(&self, view: &KeeperView<'_>) -> Option<TableChange> {
        let own = self.parts.backend.owner()?;
        let mut marked = view.table.owned(&own).filter(|range| range.next.is_some());
        marked.next()?;
        let is_receiver = |owner: &RangeOwner| {
            view.receivers
                .iter()
                .any(|receiver| receiver.owner == *owner)
        };
        let is_void = |range: &KeyRange| {
            let next = range.next.as_ref();
            range.owner == own && next.is_some_and(|next| !is_receiver(next))
        };
        if view.table.ranges().iter().any(is_void) {
            return Some(TableChange::new(
                "receiver gone",
                view.table.clone().unmarked(is_void),
            ));
        }
        let table = self.parts.backend.read(|state| {
            let state = state?;
            let is_free = |range: &KeyRange| state.is_free(view.now, range);
            let table = view.table.clone().moved(&own, &state.freed, is_free);
            (table.ranges() != view.table.ranges()).then_some(table)
        })?;
        Some(TableChange::new("released", table))
    }

    /// Marks all keys of a backend server that leaves, or gives them away where it is gone.
    fn leave(&self, view: &KeeperView<'_>) -> Option<TableChange> {
        let others: Vec<RangeReceiver> = view
            .receivers
            .iter()
            .filter(|receiver| receiver.owner.node != self.parts.node)
            .cloned()
            .collect();
        if others.is_empty() {
            return None;
        }
        let Some(own) = self.parts.backend.owner() else {
            return self.leave_unseen(view, &others);
        };
        if !self.must_leave(view) {
            return None;
        }
        let table = plan::leave(view.table, &own, &others);
        (table != *view.table).then_some(TableChange::new("leaves", table))
    }

    /// Whether the backend server is to hold no keys.
    fn must_leave(&self, view: &KeeperView<'_>) -> bool {
        let is_out = view
            .snapshot
            .instances
            .get(&self.parts.node)
            .is_some_and(|seen| view.snapshot.zones_out.contains(&seen.record.zone));
        let is_silent = self.parts.backend.is_silent(view.now);
        self.parts.backend.read(|state| {
            state.is_some_and(|state| {
                let is_dead = state.refuses && view.now.since(state.last_heard) >= RESTART_MS;
                let is_draining = state.announced.phase == BackendPhase::Draining;
                is_out || is_silent || is_dead || is_draining || state.ended
            })
        })
    }

    /// Gives away the keys of a backend server that never announced itself to this run of the agent.
    fn leave_unseen(&self, view: &KeeperView<'_>, others: &[RangeReceiver]) -> Option<TableChange> {
        let hold_over = self
            .began
            .plus(self.parts.longest_grant_ms + AUTHORITY_MARGIN_MS);
        if view.now < hold_over {
            return None;
        }
        let is_own = |owner: &RangeOwner| owner.node == self.parts.node;
        let mut queue = ReceiverSelector::new(view.table, others);
        let table = view.table.clone();
        let table = table.reassigned(is_own, |range| queue.choose(range));
        (table.ranges() != view.table.ranges())
            .then_some(TableChange::new("no backend server", table))
    }

    /// Takes over the keys of instances whose records are gone for longer than they may grant keys.
    fn take_over(&self, view: &KeeperView<'_>) -> Option<TableChange> {
        let rank_ms = self.rank_ms(view.receivers);
        let lost = self.lost.list(view.now, view.snapshot, view.table, rank_ms);
        if lost.is_empty() || view.receivers.is_empty() {
            return None;
        }
        let is_lost = |owner: &RangeOwner| lost.iter().any(|lost| lost.node == owner.node);
        let mut queue = ReceiverSelector::new(view.table, view.receivers);
        let table = view.table.clone();
        let table = table.reassigned(is_lost, |range| queue.choose(range));
        Some(TableChange {
            gone: lost,
            ..TableChange::new("owner lost", table)
        })
    }

    /// Gives keys to a newcomer, or to one with room when this owner is busy.
    fn balance(&self, view: &KeeperView<'_>) -> Option<TableChange> {
        let own = self.parts.backend.owner()?;
        let (used, work) = self.parts.gate.usage(view.now);
        let mut overload = self.overload.get();
        let overload_ms = overload.observe(view.now, used);
        self.overload.set(overload);
        let wait_ms = self.parts.period_ms as f64 * BALANCE_PERIODS;
        if (view.now.since(self.balanced.get()) as f64) < wait_ms {
            return None;
        }
        let moves = match plan::split_for_new_owner(view.table, &own, view.receivers) {
            Some(step) => vec![step],
            None if overload_ms >= MIN_OVERLOAD_MS => {
                plan::shed_load(view.table, &own, used, &work, view.receivers)
            }
            None => Vec::new(),
        };
        if moves.is_empty() {
            return None;
        }
        self.balanced.set(view.now);
        overload.clear();
        self.overload.set(overload);
        let mark = |table: RangeTable, step: &RangeMove| {
            table.marked(&own, step.first, step.last, &step.to)
        };
        Some(TableChange::new(
            "balance",
            moves.iter().fold(view.table.clone(), mark),
        ))
    }

    /// Writes a change of a table, if what it rests on still holds.
    ///
    /// # Errors
    ///
    /// What the store says.
    async fn write(&self, service: &Name, change: TableChange) -> Result<()> {
        let expected = change.expected;
        let key = ranges_key(service);
        let text = match change.table.to_text() {
            Ok(text) => text,
            Err(error) => {
                log::error!("key ranges of {service} can't be written down: {error}");
                return Ok(());
            }
        };
        let absent = change.gone.iter().map(|lost| (instance_key(&lost.node), 0));
        let denied: Vec<(Name, u64)> = change
            .gone
            .iter()
            .filter_map(|lost| Some((witness_key(&lost.node), lost.witnesses?)))
            .collect();
        let commit = StoreCommit {
            expected: [(Name::clone(&key), expected)]
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
        let end = self.parts.store.commit(&commit).await?;
        log::info!(
            "decision key ranges service={service} why={:?} lost={:?} expected={expected} end={end:?}",
            change.why,
            change.gone
        );
        match end {
            CommitOutcome::Applied { revision } => self.parts.feed.take_written(Record {
                key,
                revision,
                value: Some(text),
            }),
            CommitOutcome::Conflict | CommitOutcome::NoLease => {
                self.balanced.set(Millis::default());
                self.parts.feed.refresh(&key).await?;
            }
        }
        Ok(())
    }
}
