//! The agent's snapshot of the fleet: the store's records, decoded.
//!
//! Each batch of records replaces the whole snapshot by a newer one, never by an older one. Revisions are compared only
//! within an era of the store.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use jy_lease::witness::WitnessSet;
use jy_platform::operator;
use jy_platform::operator::OPERATOR_PREFIX;
use jy_platform::operator::OperatorRecord;
use jy_policy::choice::RouteChoice;
use jy_ranges::table::RangeTable;
use jy_types::endpoint::InstanceRecord;
use jy_types::leaving::LeavingSet;
use jy_types::name::Name;
use jy_types::quota::SlotId;
use jy_types::quota::SlotRecord;
use jy_types::record::Record;
use jy_types::routing::RouteTable;
use jy_types::tenant::TenantTable;
use jy_types::time::Millis;

use crate::era::SETTLE_MS;
use crate::feed::FeedPart;
use crate::member::AUTHORITY_MARGIN_MS;
use crate::member::LEASE_MS;

/// Prefix of all records that agents write.
pub const AGENT_RECORD_PREFIX: &str = "jy/";
/// Prefix of the agents' records.
const INSTANCE_PREFIX: &str = "jy/instance/";
/// Prefix of the owners' sets of witnesses.
const WITNESS_PREFIX: &str = "jy/witness/";
/// Prefix of the records of backend servers that leave.
const LEAVING_PREFIX: &str = "jy/leaving/";
/// Prefix of the records of the holders of quota slots.
const QUOTA_SLOT_PREFIX: &str = "jy/quota/";
/// Prefix of the tables of key ranges.
const RANGES_PREFIX: &str = "jy/ranges/";

/// Time from the first reading of a new era until all leases of earlier eras have ended, in milliseconds.
const LEASE_END_MS: u64 = LEASE_MS + AUTHORITY_MARGIN_MS;

/// Time for which requests are still sent to an instance whose record lapsed, in milliseconds: after a store
/// outage, the records of live instances are back within 2 s.
pub const LAPSE_GRACE_MS: u64 = 2_000;

/// Time after which an instance whose record lapsed is removed from the snapshot, in milliseconds.
const LAPSED_RETENTION_MS: u64 = 120_000;

/// Agents of an availability zone that may read the store for the others there: two, so that one remains if
/// the first is lost.
const READERS_PER_ZONE: usize = 2;

/// An agent's record and whether it has lapsed.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedInstance {
    /// The record.
    pub record: Rc<InstanceRecord>,
    /// Its revision in the store, or zero once it lapsed.
    pub revision: u64,
    /// When this agent last observed a lapse of the record; `None` while the record is in the store.
    pub lapsed: Option<Millis>,
    /// Revision of that lapse, or zero if there is none.
    pub lapse_revision: u64,
}

/// A table of key ranges and its revision.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedRanges {
    /// The table.
    pub table: Rc<RangeTable>,
    /// Its revision in the store.
    pub revision: u64,
}

/// An owner's witnesses and the revision of their record.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionedWitnesses {
    /// The witnesses.
    pub set: Rc<WitnessSet>,
    /// The record's revision in the store.
    pub revision: u64,
}

/// The last incarnations on an instance that began to leave, and the revision of their record. The record outlives the
/// runs of the agent that acknowledged the leavings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeavingRecord {
    /// The incarnations.
    pub incarnations: LeavingSet,
    /// The record's revision in the store, or zero if some of them are known only from an earlier era.
    pub revision: u64,
}

/// The holder of a quota slot and the revision of its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedSlot {
    /// The holder.
    pub record: Rc<SlotRecord>,
    /// The record's revision in the store.
    pub revision: u64,
}

/// The records of the store as last read, in decoded form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSnapshot {
    /// Revision up to which all records of agents are applied.
    pub revision: u64,
    /// When all records of agents were last listed.
    pub listed_at: Millis,
    /// Revision up to which all records of operators are applied.
    pub operator_revision: u64,
    /// The configuration in force.
    pub routes: Option<Rc<RouteTable>>,
    /// Availability zones that are taken out.
    pub zones_out: BTreeSet<Name>,
    /// Agents by the name of their instance.
    pub instances: BTreeMap<Name, ObservedInstance>,
    /// Key ranges by service.
    pub ranges: BTreeMap<Name, VersionedRanges>,
    /// Witnesses by the name of the owner's instance.
    pub witnesses: BTreeMap<Name, VersionedWitnesses>,
    /// Backend servers that leave or have left, by the name of their instance.
    pub leaving: BTreeMap<Name, LeavingRecord>,
    /// Holders of quota slots.
    pub quota_slots: BTreeMap<SlotId, VersionedSlot>,
    /// Era of the store in which the records of agents were read.
    pub era: u64,
    /// Era of the store in which the records of operators were read.
    pub operator_era: u64,
    /// When the newest era was first read; zero if the store states none.
    pub era_read_at: Millis,
    /// Until when nothing of other agents is taken, since the store has come back from an older copy; zero if this
    /// agent has not seen that.
    pub settled_at: Millis,
    /// Whether a table showed that the store came back from an older copy before this agent started, so that it holds
    /// back until a table shows that the era is settled for another agent.
    pub is_held_back_by_table: bool,
    /// The last complete key ranges of earlier eras, by service.
    pub earlier_ranges: BTreeMap<Name, Rc<RangeTable>>,
}

/// Returns the key of an agent's record.
#[must_use]
pub fn instance_key(node: &str) -> Name {
    format!("{INSTANCE_PREFIX}{node}").into()
}

/// Returns the key of the record of an owner's witnesses.
#[must_use]
pub fn witness_key(node: &str) -> Name {
    format!("{WITNESS_PREFIX}{node}").into()
}

/// Returns the key of the record of the backend server on an instance that leaves.
#[must_use]
pub fn leaving_key(node: &str) -> Name {
    format!("{LEAVING_PREFIX}{node}").into()
}

/// Returns the key of the record of a quota slot's holder.
#[must_use]
pub fn quota_slot_key(slot: SlotId) -> Name {
    format!("{QUOTA_SLOT_PREFIX}{slot}").into()
}

/// Returns the key of a service's key ranges.
#[must_use]
pub fn ranges_key(service: &str) -> Name {
    format!("{RANGES_PREFIX}{service}").into()
}

impl FleetSnapshot {
    /// Returns the revision up to which the records of a part are applied.
    #[must_use]
    pub const fn revision_of(&self, part: FeedPart) -> u64 {
        match part {
            FeedPart::Operator => self.operator_revision,
            FeedPart::Fleet => self.revision,
        }
    }

    /// Returns the era of the store in which the records of a part were read.
    #[must_use]
    pub const fn era_of(&self, part: FeedPart) -> u64 {
        match part {
            FeedPart::Operator => self.operator_era,
            FeedPart::Fleet => self.era,
        }
    }

    /// Returns until when claims are held back, because the store has come back from an older copy: what other agents
    /// hold by records that were lost with it has ended by then. Zero if nothing is held back.
    #[must_use]
    pub const fn era_settled_at(&self) -> Millis {
        self.settled_at
    }

    /// Whether agents may take what belonged to others in the era before.
    #[must_use]
    pub fn is_era_settled(&self, now: Millis) -> bool {
        now >= self.settled_at
    }

    /// Returns when all leases that earlier eras of the store granted have ended; zero if the store has not come back
    /// from an older copy. The present era may have begun just before this agent first read it, also if that was the
    /// first list that it read.
    #[must_use]
    pub fn leases_ended_at(&self) -> Millis {
        if self.era_read_at == Millis::default() {
            return Millis::default();
        }
        self.era_read_at.plus(LEASE_END_MS)
    }

    /// Returns the key ranges of a service; those of an earlier era if the store has lost the table.
    #[must_use]
    pub fn table(&self, service: &str) -> Option<&RangeTable> {
        let table = self.ranges.get(service).map(|versioned| &versioned.table);
        table
            .or_else(|| self.earlier_ranges.get(service))
            .map(|table| &**table)
    }

    /// Prepares the snapshot for the list of one part of the records in a later era of the store, which names every
    /// record that exists and every record that does not exist any more.
    ///
    /// The configuration stays in force, and so do leavings of backend servers that the list lacks.
    #[must_use]
    pub fn with_era(mut self, now: Millis, part: FeedPart, era: u64) -> Self {
        let newest = self.era.max(self.operator_era);
        if era > newest {
            self.era_read_at = now;
        }
        let has_read_earlier = self.revision > 0 || self.operator_revision > 0;
        if era > newest && has_read_earlier {
            self.hold_back(now, era);
            self.is_held_back_by_table = false;
        }
        match part {
            FeedPart::Operator if era > self.operator_era => {
                self.operator_era = era;
                self.operator_revision = 0;
            }
            FeedPart::Fleet if era > self.era => {
                self.era = era;
                self.revision = 0;
                self.listed_at = now;
                self.forget_revisions();
            }
            FeedPart::Operator | FeedPart::Fleet => {}
        }
        self
    }

    /// Holds back claims until everything that rests on records of earlier eras has ended.
    fn hold_back(&mut self, now: Millis, era: u64) {
        self.settled_at = now.plus(SETTLE_MS);
        log::warn!(
            "belief store came back from an older copy: era={era}; nothing of other agents is taken for {SETTLE_MS} ms"
        );
    }

    /// Holds back claims if the tables show that the store came back from an older copy before this agent started, until
    /// an agent for which the era is settled has written any table.
    ///
    /// The era settles for all services at once. A table that nobody manages any more keeps its earlier era, so that each
    /// table can't be waited for.
    fn check_table_eras(&mut self, now: Millis) {
        let is_from_copy = |table: &RangeTable| table.era() < self.era || table.is_incomplete();
        let is_known_from_copy = |versioned: &VersionedRanges| is_from_copy(&versioned.table);
        let is_settled = !self.ranges.values().all(is_known_from_copy);
        let is_unsettled = !is_settled && !self.ranges.is_empty();
        if is_unsettled && self.settled_at == Millis::default() {
            self.hold_back(now, self.era);
            self.is_held_back_by_table = true;
        } else if is_settled && self.is_held_back_by_table {
            log::info!("belief era={} is settled for other agents", self.era);
            self.settled_at = self.settled_at.min(now);
            self.is_held_back_by_table = false;
        }
    }

    /// Sets the revisions of all records of agents to zero, and keeps the tables of key ranges as those of an earlier
    /// era.
    fn forget_revisions(&mut self) {
        for observed in self.instances.values_mut() {
            observed.revision = 0;
            observed.lapse_revision = 0;
        }
        for leaving in self.leaving.values_mut() {
            leaving.revision = 0;
        }
        for versioned in self.witnesses.values_mut() {
            versioned.revision = 0;
        }
        self.quota_slots.clear();
        for (service, versioned) in std::mem::take(&mut self.ranges) {
            let is_known = self.earlier_ranges.contains_key(&service);
            if !is_known || !versioned.table.is_incomplete() {
                self.earlier_ranges.insert(service, versioned.table);
            }
        }
    }

    /// Applies changes of one part of the records, which is then complete up to the revision `complete_to`.
    #[must_use]
    pub fn with_changes(
        mut self,
        now: Millis,
        part: FeedPart,
        changed: &[Record],
        complete_to: u64,
    ) -> Self {
        for record in changed {
            self.apply(now, record);
        }
        let revision = match part {
            FeedPart::Operator => &mut self.operator_revision,
            FeedPart::Fleet => &mut self.revision,
        };
        *revision = complete_to.max(*revision);
        self.check_table_eras(now);
        self.remove_lapsed(now);
        self
    }

    /// Returns the time since which this agent knows that an agent's record has been absent from the store,
    /// or `None` if the record is there.
    #[must_use]
    pub fn absent_since(&self, node: &str) -> Option<Millis> {
        match self.instances.get(node) {
            Some(observed) => observed.lapsed,
            None => Some(self.listed_at),
        }
    }

    /// Returns the agents of an availability zone that may read the store for all others there: the first by
    /// name. Each of them reads from those before it as long as they answer.
    #[must_use]
    pub fn readers(&self, zone: &str) -> Vec<Rc<InstanceRecord>> {
        let is_reader = |observed: &&ObservedInstance| {
            *observed.record.zone == *zone && observed.lapsed.is_none() && !observed.record.leaving
        };
        self.instances
            .values()
            .filter(is_reader)
            .take(READERS_PER_ZONE)
            .map(|observed| Rc::clone(&observed.record))
            .collect()
    }

    /// Returns the availability zones of all agents.
    #[must_use]
    pub fn zones(&self) -> BTreeSet<Name> {
        let zone_of = |observed: &ObservedInstance| Name::clone(&observed.record.zone);
        self.instances.values().map(zone_of).collect()
    }

    /// Returns the number of agents of an availability zone whose records are in the store.
    #[must_use]
    pub fn agents_in_zone(&self, zone: &str) -> usize {
        let is_in_store = |observed: &&ObservedInstance| {
            *observed.record.zone == *zone && observed.lapsed.is_none()
        };
        self.instances.values().filter(is_in_store).count()
    }

    /// Returns the agents to which requests of a service may be sent.
    #[must_use]
    pub fn route_choices(&self, now: Millis, service: &str, own_zone: &str) -> Vec<RouteChoice> {
        let is_eligible = |observed: &&ObservedInstance| {
            let backend = observed.record.serving();
            backend.is_some_and(|backend| *backend.service == *service)
                && !self.zones_out.contains(&observed.record.zone)
                && observed.is_routable(now)
        };
        let to_choice = |observed: &ObservedInstance| RouteChoice {
            node: Name::clone(&observed.record.node),
            is_same_zone: *observed.record.zone == *own_zone,
        };
        self.instances
            .values()
            .filter(is_eligible)
            .map(to_choice)
            .collect()
    }

    /// Returns the number of agents that are considered live.
    #[must_use]
    pub fn live_agents(&self, now: Millis) -> usize {
        let is_live = |observed: &&ObservedInstance| observed.is_routable(now);
        self.instances.values().filter(is_live).count()
    }

    /// Applies one record, according to the prefix of its key.
    fn apply(&mut self, now: Millis, record: &Record) {
        if record.key.starts_with(OPERATOR_PREFIX) {
            self.apply_operator(record);
        } else if let Some(node) = record.key.strip_prefix(INSTANCE_PREFIX) {
            self.apply_instance(now, node, record);
        } else if let Some(service) = record.key.strip_prefix(RANGES_PREFIX) {
            self.apply_ranges(service, record);
        } else if let Some(node) = record.key.strip_prefix(WITNESS_PREFIX) {
            self.apply_witnesses(node, record);
        } else if let Some(node) = record.key.strip_prefix(LEAVING_PREFIX) {
            self.apply_leaving(node, record);
        } else if let Some(slot) = record.key.strip_prefix(QUOTA_SLOT_PREFIX) {
            self.apply_quota_slot(slot, record);
        }
    }

    /// Applies a record of an operator. An invalid one leaves the snapshot as it is.
    fn apply_operator(&mut self, record: &Record) {
        match operator::decode(record) {
            Ok(OperatorRecord::Config(table)) => self.apply_routes(*table, record.revision),
            Ok(OperatorRecord::Zone { zone, is_out }) => {
                log::info!(
                    "belief zone={zone} out={is_out} revision={}",
                    record.revision
                );
                if is_out {
                    self.zones_out.insert(zone);
                } else {
                    self.zones_out.remove(&zone);
                }
            }
            Ok(OperatorRecord::Other) => {}
            Err(error) => log::warn!("{error}; record ignored, the previous value stays in force"),
        }
    }

    /// Applies a configuration if it is newer than the one in force.
    fn apply_routes(&mut self, table: RouteTable, revision: u64) {
        let current = self.routes.as_ref().map_or(0, |routes| routes.version);
        if self.routes.is_some() && table.version <= current {
            return;
        }
        log::info!(
            "belief configuration={} before={current} routes={} revision={revision} tenants={} api_keys={} \
             public_routes={}",
            table.version,
            table.routes.len(),
            table.tenants.as_ref().map_or(0, TenantTable::len),
            table.tenants.as_ref().map_or(0, TenantTable::key_count),
            table.routes.iter().filter(|rule| rule.public).count(),
        );
        self.routes = Some(Rc::new(table));
    }

    /// Applies an agent's record, or its lapse.
    fn apply_instance(&mut self, now: Millis, node: &str, record: &Record) {
        let Some(value) = &record.value else {
            // A later lapse counts from now, since the record may have come back in between without this
            // agent observing it.
            if let Some(observed) = self.instances.get_mut(node)
                && observed.revision.max(observed.lapse_revision) < record.revision
            {
                log::info!("belief instance={node} lapsed revision={}", record.revision);
                observed.lapsed = Some(now);
                observed.revision = 0;
                observed.lapse_revision = record.revision;
            }
            return;
        };
        match serde_json::from_str::<InstanceRecord>(value) {
            Ok(instance) if *instance.node == *node => {
                let observed = ObservedInstance {
                    record: Rc::new(instance),
                    revision: record.revision,
                    lapsed: None,
                    lapse_revision: 0,
                };
                self.instances.insert(node.into(), observed);
            }
            Ok(_) => log::warn!("{} names another instance; record ignored", record.key),
            Err(error) => log::warn!("invalid {}: {error}; record ignored", record.key),
        }
    }

    /// Applies a service's key ranges, or their deletion.
    fn apply_ranges(&mut self, service: &str, record: &Record) {
        let Some(value) = &record.value else {
            self.ranges.remove(service);
            return;
        };
        match RangeTable::parse(value) {
            Ok(table) => {
                let versioned = VersionedRanges {
                    table: Rc::new(table),
                    revision: record.revision,
                };
                self.ranges.insert(service.into(), versioned);
            }
            Err(error) => log::warn!(
                "invalid {}: {error}; the previous ranges stay in force",
                record.key
            ),
        }
    }

    /// Applies an owner's witnesses, or their deletion.
    fn apply_witnesses(&mut self, node: &str, record: &Record) {
        let Some(value) = &record.value else {
            self.witnesses.remove(node);
            return;
        };
        match serde_json::from_str::<WitnessSet>(value) {
            Ok(set) => {
                let versioned = VersionedWitnesses {
                    set: Rc::new(set),
                    revision: record.revision,
                };
                self.witnesses.insert(node.into(), versioned);
            }
            Err(error) => log::warn!("invalid {}: {error}; record ignored", record.key),
        }
    }

    /// Applies the record of a backend server that leaves, or its deletion.
    fn apply_leaving(&mut self, node: &str, record: &Record) {
        let known = self.leaving.get(node);
        let earlier = known.filter(|known| known.revision == 0);
        let Some(value) = &record.value else {
            if earlier.is_none() {
                self.leaving.remove(node);
            }
            return;
        };
        match serde_json::from_str::<LeavingSet>(value) {
            Ok(stored) => {
                // The copy that the store came back from may lack later leavings.
                let incarnations = match earlier {
                    Some(earlier) => stored.clone().merge(&earlier.incarnations),
                    None => stored.clone(),
                };
                let is_stored = incarnations == stored;
                let leaving = LeavingRecord {
                    incarnations,
                    revision: if is_stored { record.revision } else { 0 },
                };
                self.leaving.insert(node.into(), leaving);
            }
            Err(error) => log::warn!("invalid {}: {error}; record ignored", record.key),
        }
    }

    /// Applies the record of a quota slot's holder, or its deletion.
    fn apply_quota_slot(&mut self, slot: &str, record: &Record) {
        let Ok(slot) = slot.parse::<SlotId>() else {
            log::warn!("{} names no quota slot; record ignored", record.key);
            return;
        };
        let Some(value) = &record.value else {
            self.quota_slots.remove(&slot);
            return;
        };
        match serde_json::from_str::<SlotRecord>(value) {
            Ok(holder) => {
                let versioned = VersionedSlot {
                    record: Rc::new(holder),
                    revision: record.revision,
                };
                self.quota_slots.insert(slot, versioned);
            }
            Err(error) => {
                log::warn!("invalid {}: {error}; the slot counts as free", record.key);
                self.quota_slots.remove(&slot);
            }
        }
    }

    /// Removes instances whose records lapsed long ago.
    fn remove_lapsed(&mut self, now: Millis) {
        let is_kept = |observed: &ObservedInstance| {
            let lapsed = observed.lapsed;
            lapsed.is_none_or(|lapsed| now.since(lapsed) < LAPSED_RETENTION_MS)
        };
        self.instances.retain(|_, observed| is_kept(observed));
    }
}

impl ObservedInstance {
    /// Whether requests are still sent to this instance.
    #[must_use]
    pub fn is_routable(&self, now: Millis) -> bool {
        let lapsed = self.lapsed;
        lapsed.is_none_or(|lapsed| now.since(lapsed) < LAPSE_GRACE_MS)
    }
}
