//! Owners of one service, with the load that each will have once planned moves have ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_types::member::AgentId;

/// Whether an agent may own units of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerEligibility {
    /// The agent may take units.
    Endpoint,
    /// The agent is alive but may take no units; its units leave by planned moves.
    Draining,
    /// The agent has ended; its units are granted to others at once.
    Ended,
    /// The agent has no record, or its end is being written; its units stay as they are for now.
    Unknown,
}

#[derive(Clone, Debug)]
pub struct OwnerEntry {
    pub id: AgentId,
    pub eligibility: OwnerEligibility,
    /// Share of a warm owner's load that this owner may be given, above zero and at most one.
    pub ramp: f64,
    /// Load after planned moves.
    pub load: f64,
    /// Number of units after planned moves.
    pub units: usize,
}

/// All owners of a service, with the endpoints sorted by load.
#[derive(Clone, Debug, Default)]
pub struct OwnerTable {
    entries: Vec<OwnerEntry>,
    index: BTreeMap<AgentId, usize>,
    by_load: BTreeSet<(u64, usize)>,
}

impl OwnerTable {
    /// Adds an owner without units, or finds it if it was added before, and returns its index.
    pub fn add(&mut self, id: AgentId, eligibility: OwnerEligibility, ramp: f64) -> usize {
        if let Some(index) = self.index.get(&id) {
            return *index;
        }
        let index = self.entries.len();
        self.index.insert(id.clone(), index);
        self.entries.push(OwnerEntry {
            id,
            eligibility,
            ramp,
            load: 0.0,
            units: 0,
        });
        index
    }

    #[must_use]
    pub fn get(&self, index: usize) -> &OwnerEntry {
        &self.entries[index]
    }

    /// Iterates over the endpoints, with their indices.
    pub fn endpoints(&self) -> impl Iterator<Item = (usize, &OwnerEntry)> {
        self.entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.eligibility == OwnerEligibility::Endpoint)
    }

    /// Returns the endpoint other than `excluded` that has the least load in relation to its ramp share.
    #[must_use]
    pub fn least_loaded(&self, excluded: Option<usize>) -> Option<usize> {
        self.by_load
            .iter()
            .map(|(_, index)| *index)
            .find(|index| Some(*index) != excluded)
    }

    /// Adds a unit's load to an owner; to be called before [`Self::sort`].
    pub fn add_load(&mut self, index: usize, load: f64) {
        let entry = &mut self.entries[index];
        entry.load += load;
        entry.units += 1;
    }

    /// Sorts the endpoints by load.
    pub fn sort(&mut self) {
        let sorted = self
            .endpoints()
            .map(|(index, entry)| (load_order_key(entry), index));
        self.by_load = sorted.collect();
    }

    /// Adds a unit's load to an owner or removes it, and keeps the endpoints sorted.
    pub fn adjust_load(&mut self, index: usize, load: f64, is_added: bool) {
        let entry = &mut self.entries[index];
        let is_endpoint = entry.eligibility == OwnerEligibility::Endpoint;
        if is_endpoint {
            self.by_load.remove(&(load_order_key(entry), index));
        }
        if is_added {
            entry.load += load;
            entry.units += 1;
        } else {
            entry.load = (entry.load - load).max(0.0);
            entry.units = entry.units.saturating_sub(1);
        }
        if is_endpoint {
            self.by_load.insert((load_order_key(entry), index));
        }
    }
}

/// Returns a sort key that grows with an owner's load in relation to its ramp share. The bits of a
/// non-negative float sort in the same order as its value.
fn load_order_key(entry: &OwnerEntry) -> u64 {
    (entry.load / entry.ramp).to_bits()
}
