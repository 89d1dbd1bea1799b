//! The agent's snapshot of the fleet: a replica of the store's records, decoded.
//!
//! Replaced as a whole with each batch of records, and only ever by a newer one.

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
use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::routing::RouteTable;
use jy_types::time::Millis;

use crate::feed::FeedPart;

/// Prefix of the product's own records.
pub const OWN_PREFIX: &str = "jy/";
/// Prefix of the agents' records.
const INSTANCE_PREFIX: &str = "jy/instance/";
/// Prefix of the owners' sets of witnesses.
const WITNESS_PREFIX: &str = "jy/witness/";
/// Prefix of the tables of key ranges.
const RANGES_PREFIX: &str = "jy/ranges/";

/// An instance whose record lapsed is still tried this long, in milliseconds: after an outage of the
/// store, entries of live instances are back within 2 s.
pub const LAPSE_GRACE_MS: u64 = 2_000;

/// An instance whose record lapsed is forgotten after this long, in milliseconds.
const FORGET_MS: u64 = 120_000;

/// Agents of an availability zone that may read the store for the others there: two, so that the loss of
/// the first leaves a source.
const READERS_A_ZONE: usize = 2;

/// An agent's record and what became of it.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedInstance {
    /// The record.
    pub record: Rc<InstanceRecord>,
    /// Its revision in the store, or zero once it lapsed.
    pub revision: u64,
    /// When this agent saw that it had lapsed, for the last time.
    pub lapsed: Option<Millis>,
    /// Revision of that lapse, or zero.
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

/// The records of the store as last read, decoded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSnapshot {
    /// All records of agents up to this revision are taken in.
    pub revision: u64,
    /// When all records of agents were listed last.
    pub listed_at: Millis,
    /// All records of operators up to this revision are taken in.
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

/// Returns the key of a service's key ranges.
#[must_use]
pub fn ranges_key(service: &str) -> Name {
    format!("{RANGES_PREFIX}{service}").into()
}

impl FleetSnapshot {
    /// Revision up to which the records of a part are taken in.
    #[must_use]
    pub const fn revision_of(&self, part: FeedPart) -> u64 {
        match part {
            FeedPart::Operator => self.operator_revision,
            FeedPart::Fleet => self.revision,
        }
    }

    /// Takes in changes of one part of the records, which is then complete up to a revision.
    #[must_use]
    pub fn with_changes(
        mut self,
        now: Millis,
        part: FeedPart,
        changed: &[Record],
        complete_to: u64,
    ) -> Self {
        for record in changed {
            self.take(now, record);
        }
        let revision = match part {
            FeedPart::Operator => &mut self.operator_revision,
            FeedPart::Fleet => &mut self.revision,
        };
        *revision = complete_to.max(*revision);
        self.forget_old(now);
        self
    }

    /// Since when an agent's record has surely not been in the store, as far as this agent has seen; none
    /// if it is there.
    #[must_use]
    pub fn absent_since(&self, node: &str) -> Option<Millis> {
        match self.instances.get(node) {
            Some(seen) => seen.lapsed,
            None => Some(self.listed_at),
        }
    }

    /// Returns the agents of an availability zone that may read the store for all others there: the first
    /// few by name. Each relies on those before it as long as they answer.
    #[must_use]
    pub fn readers(&self, zone: &str) -> Vec<Rc<InstanceRecord>> {
        let is_reader = |seen: &&ObservedInstance| {
            *seen.record.zone == *zone && seen.lapsed.is_none() && !seen.record.leaving
        };
        self.instances
            .values()
            .filter(is_reader)
            .take(READERS_A_ZONE)
            .map(|seen| Rc::clone(&seen.record))
            .collect()
    }

    /// Number of agents of an availability zone that are in the store.
    #[must_use]
    pub fn in_zone(&self, zone: &str) -> usize {
        let is_there =
            |seen: &&ObservedInstance| *seen.record.zone == *zone && seen.lapsed.is_none();
        self.instances.values().filter(is_there).count()
    }

    /// Returns the live agents that may run requests of a service.
    #[must_use]
    pub fn choices(&self, now: Millis, service: &str, own_zone: &str) -> Vec<RouteChoice> {
        let serves = |seen: &&ObservedInstance| {
            let backend = seen.record.serving();
            backend.is_some_and(|backend| *backend.service == *service)
                && !self.zones_out.contains(&seen.record.zone)
                && seen.is_tried(now)
        };
        let choice = |seen: &ObservedInstance| RouteChoice {
            node: Name::clone(&seen.record.node),
            is_near: *seen.record.zone == *own_zone,
        };
        self.instances.values().filter(serves).map(choice).collect()
    }

    /// Number of agents that are taken for live.
    #[must_use]
    pub fn live(&self, now: Millis) -> usize {
        let tried = |seen: &&ObservedInstance| seen.is_tried(now);
        self.instances.values().filter(tried).count()
    }

    /// Takes in one record.
    fn take(&mut self, now: Millis, record: &Record) {
        if record.key.starts_with(OPERATOR_PREFIX) {
            self.take_operator(record);
        } else if let Some(node) = record.key.strip_prefix(INSTANCE_PREFIX) {
            self.take_instance(now, node, record);
        } else if let Some(service) = record.key.strip_prefix(RANGES_PREFIX) {
            self.take_ranges(service, record);
        } else if let Some(node) = record.key.strip_prefix(WITNESS_PREFIX) {
            self.take_witnesses(node, record);
        }
    }

    /// Takes in what an operator wrote.
    fn take_operator(&mut self, record: &Record) {
        match operator::decode(record) {
            Ok(OperatorRecord::Config(table)) => self.take_routes(*table, record.revision),
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
            Err(error) => log::warn!("{error}; what was in force before stays"),
        }
    }

    /// Takes up a configuration that is newer than the one in force.
    fn take_routes(&mut self, table: RouteTable, revision: u64) {
        let current = self.routes.as_ref().map_or(0, |routes| routes.version);
        if self.routes.is_some() && table.version <= current {
            return;
        }
        log::info!(
            "belief configuration={} before={current} routes={} revision={revision}",
            table.version,
            table.routes.len()
        );
        self.routes = Some(Rc::new(table));
    }

    /// Takes in an agent's record.
    fn take_instance(&mut self, now: Millis, node: &str, record: &Record) {
        let Some(value) = &record.value else {
            // An entry that came back and lapsed again, both unseen, has lapsed anew.
            if let Some(seen) = self.instances.get_mut(node)
                && seen.revision.max(seen.lapse_revision) < record.revision
            {
                log::info!("belief instance={node} lapsed revision={}", record.revision);
                seen.lapsed = Some(now);
                seen.revision = 0;
                seen.lapse_revision = record.revision;
            }
            return;
        };
        match serde_json::from_str::<InstanceRecord>(value) {
            Ok(instance) if *instance.node == *node => {
                let seen = ObservedInstance {
                    record: Rc::new(instance),
                    revision: record.revision,
                    lapsed: None,
                    lapse_revision: 0,
                };
                self.instances.insert(node.into(), seen);
            }
            Ok(_) => log::warn!("{} names another instance; left out", record.key),
            Err(error) => log::warn!("{} is not understood: {error}; left out", record.key),
        }
    }

    /// Takes in a service's key ranges.
    fn take_ranges(&mut self, service: &str, record: &Record) {
        let Some(value) = &record.value else {
            self.ranges.remove(service);
            return;
        };
        match RangeTable::parse(value) {
            Ok(table) => {
                let seen = VersionedRanges {
                    table: Rc::new(table),
                    revision: record.revision,
                };
                self.ranges.insert(service.into(), seen);
            }
            Err(error) => log::warn!("{}: {error}; the ranges before stay", record.key),
        }
    }

    /// Takes in an owner's witnesses.
    fn take_witnesses(&mut self, node: &str, record: &Record) {
        let Some(value) = &record.value else {
            self.witnesses.remove(node);
            return;
        };
        match serde_json::from_str::<WitnessSet>(value) {
            Ok(set) => {
                let seen = VersionedWitnesses {
                    set: Rc::new(set),
                    revision: record.revision,
                };
                self.witnesses.insert(node.into(), seen);
            }
            Err(error) => log::warn!("{} is not understood: {error}; left out", record.key),
        }
    }

    /// Forgets instances that lapsed long ago.
    fn forget_old(&mut self, now: Millis) {
        let is_kept = |seen: &ObservedInstance| {
            let lapsed = seen.lapsed;
            lapsed.is_none_or(|lapsed| now.since(lapsed) < FORGET_MS)
        };
        self.instances.retain(|_, seen| is_kept(seen));
    }
}

impl ObservedInstance {
    /// Whether requests are still sent there.
    #[must_use]
    pub fn is_tried(&self, now: Millis) -> bool {
        let lapsed = self.lapsed;
        lapsed.is_none_or(|lapsed| now.since(lapsed) < LAPSE_GRACE_MS)
    }
}
