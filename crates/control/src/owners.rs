//! Owners of one service, with the load that they bear once planned moves have ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use jy_types::member::AgentId;

/// What an agent may do with units of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnerEligibility {
    /// It may take units.
    Endpoint,
    /// It is there but may take none: its units go to others by planned moves.
    Draining,
    /// It is over: its units go to others at once.
    Over,
    /// The records do not name it, or a verdict on it is being written: nothing may be done yet.
    Unknown,
}

/// One owner.
#[derive(Clone, Debug)]
pub struct OwnerEntry {
    /// The agent.
    pub id: AgentId,
    /// What it may do.
    pub standing: OwnerEligibility,
    /// Share of a warm owner's load that it may be given, above zero and at most one.
    pub ramp: f64,
    /// Load once planned moves have ended.
    pub load: f64,
    /// Units once planned moves have ended.
    pub units: usize,
}

/// All owners of a service, and the endpoints in order of load.
#[derive(Clone, Debug, Default)]
pub struct OwnerTable {
    entries: Vec<OwnerEntry>,
    index: BTreeMap<AgentId, usize>,
    by_load: BTreeSet<(u64, usize)>,
}

impl OwnerTable {
    /// Adds an owner without units.
    pub fn add(&mut self, id: AgentId, standing: OwnerEligibility, ramp: f64) -> usize {
        if let Some(index) = self.index.get(&id) {
            return *index;
        }
        let index = self.entries.len();
        self.index.insert(id.clone(), index);
        self.entries.push(OwnerEntry {
            id,
            standing,
            ramp,
            load: 0.0,
            units: 0,
        });
        index
    }

    /// Returns an owner.
    #[must_use]
    pub fn get(&self, index: usize) -> &OwnerEntry {
        &self.entries[index]
    }

    /// Iterates over the endpoints, with their indices.
    pub fn endpoints(&self) -> impl Iterator<Item = (usize, &OwnerEntry)> {
        self.entries
            .iter()
            .enumerate()
            .filter(|(_, entry)| entry.standing == OwnerEligibility::Endpoint)
    }

    /// Returns the endpoint with the least load for its ramp, other than `but`.
    #[must_use]
    pub fn least(&self, but: Option<usize>) -> Option<usize> {
        self.by_load
            .iter()
            .map(|(_, index)| *index)
            .find(|index| Some(*index) != but)
    }

    /// Adds load to an owner before the endpoints are put in order by [`Self::sort`].
    pub fn add_load(&mut self, index: usize, load: f64) {
        let entry = &mut self.entries[index];
        entry.load += load;
        entry.units += 1;
    }

    /// Puts the endpoints in order of load.
    pub fn sort(&mut self) {
        let ranked = self.endpoints().map(|(index, entry)| (rank(entry), index));
        self.by_load = ranked.collect();
    }

    /// Adds load to an owner, or takes it away.
    pub fn shift(&mut self, index: usize, load: f64, gain: bool) {
        let entry = &mut self.entries[index];
        let listed = entry.standing == OwnerEligibility::Endpoint;
        if listed {
            self.by_load.remove(&(rank(entry), index));
        }
        if gain {
            entry.load += load;
            entry.units += 1;
        } else {
            entry.load = (entry.load - load).max(0.0);
            entry.units = entry.units.saturating_sub(1);
        }
        if listed {
            self.by_load.insert((rank(entry), index));
        }
    }
}

/// Returns a number that grows with an owner's load for its ramp. The bits of a float that is not
/// negative keep its order.
fn rank(entry: &OwnerEntry) -> u64 {
    (entry.load / entry.ramp).to_bits()
}
