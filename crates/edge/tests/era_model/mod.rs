//! Model of the store and of agents without network and with virtual time. What agents decide by is the code of the
//! agent; what a loop of the agent does in steps is repeated here.

use jy_edge::backend::LocalBackend;
use jy_edge::era::EraAuthority;
use jy_edge::era::SETTLE_MS;
use jy_edge::era::StoreEra;
use jy_edge::feed::FeedPart;
use jy_edge::member::AUTHORITY_MS;
use jy_edge::member::LEASE_MS;
use jy_edge::restore;
use jy_edge::snapshot::FleetSnapshot;
use jy_edge::snapshot::instance_key;
use jy_edge::snapshot::ranges_key;
use jy_edge::snapshot::witness_key;
use jy_feed::replica::RecordReplica;
use jy_lease::witness::OwnerSupport;
use jy_lease::witness::WitnessId;
use jy_lease::witness::WitnessPromises;
use jy_lease::witness::WitnessSet;
use jy_ranges::table::KeyRange;
use jy_ranges::table::RangeOwner;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::GrantedRange;
use jy_types::endpoint::InstanceRecord;
use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::record::RecordBatch;
use jy_types::time::Millis;
use rand::Rng;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::net::SocketAddr;

pub const STEP_MS: u64 = 250;
/// Steps between two announcements of a backend server.
pub const ANNOUNCE_STEPS: u64 = 4;
/// First and last time of faults.
pub const FAULTS_MS: std::ops::Range<u64> = 10_000..70_000;
pub const SERVICE: &str = "s";

/// The model of the store.
#[derive(Clone, Default)]
pub struct ModelStore {
    pub revision: u64,
    pub era: u64,
    /// Revision, value and lease by key.
    pub records: BTreeMap<Name, (u64, Name, u64)>,
    pub leases: BTreeMap<u64, Millis>,
    pub next_lease: u64,
}

/// Preconditions and writes, each with its lease.
#[derive(Clone, Default)]
pub struct ModelCommit {
    pub expected: Vec<(Name, u64)>,
    pub writes: Vec<(Name, Name, u64)>,
}

impl ModelStore {
    /// Applies a commit. Returns false if a revision is not the expected one or a lease has ended.
    pub fn commit(&mut self, commit: &ModelCommit) -> bool {
        let revision = |key: &Name| self.records.get(key).map_or(0, |record| record.0);
        let is_current = |(key, expected): &(Name, u64)| revision(key) == *expected;
        let has_lease = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !commit.expected.iter().all(is_current)
            || !commit.writes.iter().all(|write| has_lease(write.2))
        {
            return false;
        }
        for (key, value, lease) in commit.writes.clone() {
            self.revision += 1;
            self.records.insert(key, (self.revision, value, lease));
        }
        true
    }

    /// Ends leases and removes their records.
    pub fn expire(&mut self, now: Millis) {
        let before = self.records.len();
        self.leases.retain(|_, until| now < *until);
        let leases = &self.leases;
        self.records
            .retain(|_, record| record.2 == 0 || leases.contains_key(&record.2));
        self.revision += (before - self.records.len()) as u64;
    }

    /// Returns all records.
    pub fn list(&self) -> RecordBatch {
        let to_record = |(key, record): (&Name, &(u64, Name, u64))| Record {
            key: Name::clone(key),
            revision: record.0,
            value: Some(Name::clone(&record.1)),
        };
        RecordBatch {
            records: self.records.iter().map(to_record).collect(),
            complete_to: self.revision,
            era: self.era,
        }
    }
}

/// A backend server, which outlives the runs of the agent beside it.
pub struct ModelBackend {
    pub incarnation: u64,
    pub sequence: u64,
    pub held: Vec<GrantedRange>,
    pub held_until: Millis,
    /// Until when no process runs, after a crash.
    pub down_until: Millis,
}

/// One run of an agent.
pub struct ModelAgent {
    pub node: Name,
    pub run: Name,
    pub started_at: Millis,
    pub cut_until: Millis,
    pub era: StoreEra,
    pub replica: RecordReplica,
    pub snapshot: FleetSnapshot,
    pub backend: LocalBackend,
    pub support: OwnerSupport,
    pub promises: WitnessPromises,
    pub authority: EraAuthority,
    /// Id and era of the lease.
    pub lease: (u64, u64),
    /// Lease and revision of the last write of the agent's record.
    pub written: ((u64, u64), u64),
    pub denied: BTreeMap<Name, (u64, u64)>,
}

/// Returns the address of all backend servers and agents, which are told apart by name.
pub fn address() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 9], 8_080))
}

impl ModelAgent {
    /// Creates a run of the agent on an instance that starts now.
    pub fn new(index: usize, now: Millis) -> Self {
        let node: Name = format!("n-{index}").into();
        let run: Name = format!("run-{index}-{}", now.0).into();
        Self {
            backend: LocalBackend::new(Name::clone(&node), now, 10_000, STEP_MS * ANNOUNCE_STEPS),
            promises: WitnessPromises::new(Name::clone(&run), now),
            node,
            run,
            started_at: now,
            cut_until: Millis(0),
            era: StoreEra::new(),
            replica: RecordReplica::new(),
            snapshot: FleetSnapshot::default(),
            support: OwnerSupport::new(),
            authority: EraAuthority::default(),
            lease: (0, 0),
            written: ((0, 0), 0),
            denied: BTreeMap::new(),
        }
    }

    /// Reads all records from the store.
    pub fn read_store(&mut self, now: Millis, store: &ModelStore) {
        self.era.record(now, Some(store.era));
        let (replica, changed) = std::mem::take(&mut self.replica).with_list(store.list());
        let (era, revision) = (replica.era(), replica.complete_to());
        let mut snapshot = std::mem::take(&mut self.snapshot);
        if snapshot.revision == 0 {
            snapshot.listed_at = now;
        }
        self.snapshot = snapshot.with_era(now, FeedPart::Fleet, era).with_changes(
            now,
            FeedPart::Fleet,
            &changed,
            revision,
        );
        self.replica = replica;
    }

    /// Returns the agent's recorded set of witnesses with its revision.
    pub fn recorded_set(&self) -> (WitnessSet, u64) {
        let recorded = self.snapshot.witnesses.get(&self.node);
        recorded.map_or_else(Default::default, |versioned| {
            (WitnessSet::clone(&versioned.set), versioned.revision)
        })
    }

    /// Renews the lease and returns the commit of the agent's record that is due, with the epoch of its set.
    ///
    /// # Panics
    ///
    /// Panics if a record can't be encoded.
    pub fn maintain(
        &mut self,
        now: Millis,
        store: &mut ModelStore,
        witnesses: &[WitnessId],
    ) -> Option<(ModelCommit, Option<u64>)> {
        self.era.record(now, Some(store.era));
        let until = now.plus(LEASE_MS);
        if self.lease.0 == 0 {
            store.next_lease += 1;
            self.lease = (store.next_lease, store.era);
        } else if self.lease.1 != store.era || !store.leases.contains_key(&self.lease.0) {
            self.lease = (0, 0);
            return None;
        }
        store.leases.insert(self.lease.0, until);
        let snapshot = &self.snapshot;
        let is_bound = self.written.0 == self.lease;
        if self.lease.1 != snapshot.era || (is_bound && snapshot.revision < self.written.1) {
            return None;
        }
        let instance = snapshot.instances.get(&self.node);
        let is_present = is_bound && instance.is_some_and(|instance| instance.lapsed.is_none());
        let (recorded, set_revision) = self.recorded_set();
        if is_present {
            self.authority = self.authority.renewed(self.lease.1, now.plus(AUTHORITY_MS));
            if self.support.sets().last() == Some(&recorded) {
                self.support.confirm(recorded.epoch);
            }
        }
        let newest = self.support.sets().last().cloned().unwrap_or_default();
        let is_set_current = newest == recorded
            && newest.witnesses == witnesses
            && !self.support.is_denied()
            && !self.support.has_unconfirmed_set();
        if is_present && is_set_current {
            return None;
        }
        let record = InstanceRecord {
            node: Name::clone(&self.node),
            run: Name::clone(&self.run),
            gate: address(),
            zone: "z".into(),
            leaving: false,
            backend: None,
        };
        let text = serde_json::to_string(&record).expect("a record can be encoded");
        let (key, set_key) = (instance_key(&self.node), witness_key(&self.node));
        let mut commit = ModelCommit {
            expected: vec![
                (
                    Name::clone(&key),
                    instance.map_or(0, |instance| instance.revision),
                ),
                (Name::clone(&set_key), set_revision),
            ],
            writes: vec![(key, text.into(), self.lease.0)],
        };
        if is_set_current {
            return Some((commit, None));
        }
        let epoch = self.support.next_epoch(recorded.epoch);
        let set = WitnessSet {
            epoch,
            witnesses: witnesses.to_vec(),
        };
        let text = serde_json::to_string(&set).expect("a set can be encoded");
        commit.writes.push((set_key, text.into(), 0));
        self.support.propose(set);
        Some((commit, Some(epoch)))
    }

    /// Returns until when the agent may grant keys, as `LocalMember::authority` does.
    pub fn authority(&self, now: Millis) -> Millis {
        let is_confirmed =
            self.snapshot.is_era_settled(now) || self.backend.is_restored(now, &self.snapshot);
        let cap = self.authority.until(self.snapshot.era, is_confirmed);
        self.support.authorized_until(cap)
    }

    /// Returns the owners of keys that other agents may take.
    pub fn lost_owners(
        &self,
        now: Millis,
        table: &RangeTable,
    ) -> Vec<(Name, Option<(WitnessSet, u64)>)> {
        let owners = table.ranges().iter().map(|range| &range.owner.node);
        let lost = owners.filter_map(|node| {
            let since = self.snapshot.absent_since(node)?;
            let recorded = self.snapshot.witnesses.get(node);
            let read = recorded.map(|versioned| (self.snapshot.era, versioned.revision));
            let is_denied = read.is_some() && self.denied.get(node).copied() == read;
            let has_expired = now.since(since) >= SETTLE_MS;
            let set = recorded.filter(|_| is_denied);
            let set = set.map(|versioned| (WitnessSet::clone(&versioned.set), versioned.revision));
            (is_denied || has_expired).then(|| (Name::clone(node), set))
        });
        let lost: BTreeMap<_, _> = lost.collect();
        lost.into_iter().collect()
    }

    /// Returns the table with all keys of a backend server that refuses connections marked for another owner.
    fn drained(
        &self,
        now: Millis,
        rng: &mut StdRng,
        others: &[RangeOwner],
        table: &RangeTable,
        own: &RangeOwner,
    ) -> Option<RangeTable> {
        let is_dead = self.backend.read(|state| {
            state.is_some_and(|state| state.refuses && now.since(state.last_heard) >= 1_000)
        });
        let is_unmarked = table.owned(own).any(|range| range.next_owner.is_none());
        let mut next = others[rng.random_range(0..others.len())].clone();
        if next.node == own.node {
            next = others.iter().find(|other| other.node != own.node)?.clone();
        }
        (is_dead && is_unmarked).then(|| table.clone().with_move(own, 0, u16::MAX, &next))
    }

    /// Returns the change of the table that is due.
    ///
    /// # Panics
    ///
    /// Panics if a record can't be encoded.
    pub fn table_commit(
        &self,
        now: Millis,
        rng: &mut StdRng,
        others: &[RangeOwner],
    ) -> Option<ModelCommit> {
        if !self.era.may_commit(now, self.snapshot.era) {
            return None;
        }
        let recorded = self.snapshot.ranges.get(SERVICE);
        let mut commit = ModelCommit::default();
        let key = ranges_key(SERVICE);
        let revision = recorded.map_or(0, |versioned| versioned.revision);
        commit.expected.push((Name::clone(&key), revision));
        let table = self.next_table(now, rng, others, &mut commit)?;
        let text = table.to_text().expect("a table can be encoded");
        commit.writes.push((key, text, 0));
        Some(commit)
    }

    /// Returns the table after the change that is due, and adds the preconditions of a take-over to the commit.
    ///
    /// # Panics
    ///
    /// Panics if a record can't be encoded.
    pub fn next_table(
        &self,
        now: Millis,
        rng: &mut StdRng,
        others: &[RangeOwner],
        commit: &mut ModelCommit,
    ) -> Option<RangeTable> {
        let (era, backend) = (self.snapshot.era, &self.backend);
        if !self.snapshot.is_era_settled(now) {
            return restore::table_with_held(now, backend, &self.snapshot, SERVICE);
        }
        let own = backend.owner()?;
        let Some(recorded) = self.snapshot.ranges.get(SERVICE) else {
            if now.since(self.started_at) < 2_500 {
                return None;
            }
            let owners: Vec<_> = others.iter().map(|owner| (owner.clone(), 1)).collect();
            let table = RangeTable::new(&owners)?.with_era(era);
            return Some(if era > 0 {
                table.with_new_fences(|_| true)
            } else {
                table
            });
        };
        let table = RangeTable::clone(&recorded.table);
        let table = table.with_era(era).with_incomplete(false);
        let fenced = restore::table_with_fences(now, backend, era, &table);
        if fenced.is_some() {
            return fenced;
        }
        if recorded.table.era() < era || recorded.table.is_incomplete() {
            return Some(table);
        }
        let is_free = |range: &KeyRange| {
            backend.read(|state| state.is_some_and(|state| state.is_free(now, range)))
        };
        let moved = table.clone().with_moves_completed(&own, &[], is_free);
        if moved.ranges() != table.ranges() {
            return Some(moved);
        }
        if let Some(drained) = self.drained(now, rng, others, &table, &own) {
            return Some(drained);
        }
        let is_earlier = |owner: &RangeOwner| {
            owner.node == own.node && owner.incarnation.started_at < own.incarnation.started_at
        };
        let lost = self.lost_owners(now, &table);
        for (node, set) in &lost {
            commit.expected.push((instance_key(node), 0));
            if let Some((set, revision)) = set {
                let key = witness_key(node);
                let text = serde_json::to_string(&set.after_take_over()).expect("a set");
                commit.expected.push((Name::clone(&key), *revision));
                commit.writes.push((key, text.into(), 0));
            }
        }
        let is_taken = |owner: &RangeOwner| {
            is_earlier(owner) || lost.iter().any(|(node, _)| *node == owner.node)
        };
        let taken = table
            .clone()
            .with_reassigned(is_taken, |_| Some(own.clone()));
        if taken.ranges() != table.ranges() {
            return Some(taken);
        }
        if now.0 >= FAULTS_MS.end || !rng.random_bool(0.1) {
            return None;
        }
        let next = &others[rng.random_range(0..others.len())];
        let first = rng.random_range(0..15_u16) * 4_096;
        let moved = table.clone().with_move(&own, first, first + 4_095, next);
        (moved.ranges() != table.ranges() && *next != own).then_some(moved)
    }
}
