//! Maintains the table of key ranges of the service that the local backend server runs.
//!
//! Agents update the table independently by compare-and-swap. An owner's keys are moved only by the agent
//! beside it, after the backend server has released them. Other agents take the keys only once that agent's
//! record has been absent for longer than it may grant keys, or once the owner's witnesses have denied it.

use std::cell::Cell;
use std::cell::RefCell;
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
use jy_ranges::plan::RangeReceiver;
use jy_ranges::table::KeyRange;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::time::Millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::timeout;

use crate::backend::SharedBackend;
use crate::era::StoreEra;
use crate::feed::RecordFeed;
use crate::feed::SnapshotSender;
use crate::gate::LocalGate;
use crate::gateway::CallerGateway;
use crate::lost_owners::LostOwner;
use crate::lost_owners::LostOwners;
use crate::snapshot::FleetSnapshot;
use crate::snapshot::instance_key;
use crate::snapshot::ranges_key;
use crate::snapshot::witness_key;
use crate::support::LocalSupport;

mod changes;
mod restore;

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
/// Oldest load report of another backend server that is used, in milliseconds.
const MAX_LOAD_AGE_MS: u64 = 2_000;
/// Utilization assumed for a backend server without a recent load report; a busy one reports often.
const DEFAULT_UTILIZATION: f64 = 0.4;
/// Delay per rank before an agent makes a change that any agent may make, in milliseconds. Agents are ranked
/// by name, and a change reaches all of them within a few round trips, so that usually only the first writes.
const RANK_DELAY_MS: u64 = 200;

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
    /// The newest era that the store has stated to this agent.
    pub era: Rc<StoreEra>,
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
            self.write(&service, change, snapshot.era).await?;
            return Ok(true);
        }
        // An owner may have come back and lapsed again since this agent last read the store.
        self.parts.feed.catch_up().await?;
        let snapshot = Rc::clone(&self.parts.snapshot.borrow());
        if let Some(change) = self.due_change(&snapshot, &service) {
            self.write(&service, change, snapshot.era).await?;
        }
        Ok(true)
    }

    /// Returns the change of a service's table that is due, with the revision that it expects.
    fn due_change(&self, snapshot: &FleetSnapshot, service: &Name) -> Option<TableChange> {
        let now = clock::now();
        if !snapshot.is_era_settled(now) {
            return self.restore_held(now, snapshot, service);
        }
        let receivers = self.receivers(now, snapshot, service);
        let Some(versioned) = snapshot.ranges.get(service) else {
            return self.first_table(now, &receivers, snapshot.era);
        };
        // Copied only when needed, since a check runs with each new snapshot.
        let is_copied = snapshot.era > 0 && versioned.table.precedes_era(snapshot.era);
        let settled = is_copied.then(|| {
            let table = RangeTable::clone(&versioned.table);
            table.with_era(snapshot.era).with_incomplete(false)
        });
        let context = CheckContext {
            now,
            snapshot,
            table: settled.as_ref().unwrap_or(&versioned.table),
            receivers: &receivers,
        };
        let change = self
            .settle_era(&context, &versioned.table)
            .or_else(|| self.select_change(&context))?;
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
    fn first_table(
        &self,
        now: Millis,
        receivers: &[RangeReceiver],
        era: u64,
    ) -> Option<TableChange> {
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
        let table = RangeTable::new(&weights)?;
        let table = if era == 0 {
            table
        } else {
            table.with_era(era).with_new_fences(|_| true)
        };
        Some(TableChange::new("first", table))
    }

    /// How long this agent waits for agents of lower rank to make a change, in milliseconds.
    fn rank_delay_ms(&self, receivers: &[RangeReceiver]) -> u64 {
        let ranks_before = |receiver: &&RangeReceiver| receiver.owner.node < self.parts.node;
        receivers.iter().filter(ranks_before).count() as u64 * RANK_DELAY_MS
    }

    /// Writes a change of a table that rests on records of `era`, provided that its preconditions still hold. On a
    /// conflict, reads the table again.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be written, or can't be read after a conflict.
    async fn write(&self, service: &Name, change: TableChange, era: u64) -> Result<()> {
        let expected_revision = change.expected_revision;
        if !self.parts.era.may_commit(clock::now(), era) {
            log::debug!("key ranges not written: the store may have come back from an older copy");
            return Ok(());
        }
        let key = ranges_key(service);
        let (text, commit) = match encode_change(&key, &change) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!("failed to encode a change of the key ranges of {service}: {error}");
                return Ok(());
            }
        };
        let outcome = self.parts.store.commit(&commit).await?;
        log::info!(
            "decision key ranges service={service} why={:?} lost={:?} expected={expected_revision} end={outcome:?}",
            change.reason,
            change
                .lost_owners
                .iter()
                .map(|lost| (&lost.node, lost.witnesses.as_ref().map(|set| set.revision)))
                .collect::<Vec<_>>()
        );
        match outcome {
            CommitOutcome::Applied { revision, era } => {
                let record = Record {
                    key,
                    revision,
                    value: Some(text),
                };
                self.parts.feed.apply_written(record, era);
            }
            CommitOutcome::Conflict | CommitOutcome::NoLease => {
                self.last_balanced.set(Millis::default());
                self.parts.feed.refresh(&key).await?;
            }
        }
        Ok(())
    }
}

/// Encodes a change of the table under `key`: returns the table's text, and the commit with the preconditions.
///
/// The lost owners whose witnesses have denied them are left without witnesses, under a later epoch.
///
/// # Errors
///
/// Returns the encoder's error if the table or a set of witnesses can't be encoded.
fn encode_change(key: &Name, change: &TableChange) -> anyhow::Result<(Name, StoreCommit)> {
    let text = change.table.to_text()?;
    let mut commit = StoreCommit {
        expected: vec![(Name::clone(key), change.expected_revision)],
        writes: vec![StoreWrite {
            key: Name::clone(key),
            value: Name::clone(&text),
            lease: 0,
        }],
        deletes: Vec::new(),
    };
    for lost in &change.lost_owners {
        commit.expected.push((instance_key(&lost.node), 0));
        let Some(versioned) = &lost.witnesses else {
            continue;
        };
        let key = witness_key(&lost.node);
        commit
            .expected
            .push((Name::clone(&key), versioned.revision));
        let value = serde_json::to_string(&versioned.set.after_take_over())?;
        commit.writes.push(StoreWrite {
            key,
            value: value.into(),
            lease: 0,
        });
    }
    Ok((text, commit))
}
