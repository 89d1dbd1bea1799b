//! Model of the store: one record for each incarnation, changed by compare-and-swap.

use std::net::SocketAddr;
use std::sync::Arc;

use jy_types::member::AgentAddrs;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::Place;

use super::settings::SlotPlace;

/// A record and its revision.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    /// Store revision of the record; zero until the record is first written.
    pub revision: u64,
    /// The record.
    pub record: Arc<MemberRecord>,
}

/// A compare-and-swap write that is sent to the store.
#[derive(Clone, Debug)]
pub struct StoreWrite {
    /// The revision that the write replaces; zero if the record must not exist yet.
    pub expected_revision: u64,
    /// The new record.
    pub record: Arc<MemberRecord>,
    /// Whether the write takes effect at any revision.
    pub is_unconditional: bool,
}

impl StoreWrite {
    /// Creates an agent's first write of its own record.
    #[must_use]
    pub const fn joining(record: Arc<MemberRecord>) -> Self {
        Self {
            expected_revision: 0,
            record,
            is_unconditional: false,
        }
    }
}

/// All records, indexed by incarnation number.
#[derive(Clone, Debug, Default)]
pub struct ModelStore {
    records: Vec<StoredRecord>,
    revision: u64,
}

impl ModelStore {
    /// Adds the unwritten record, at revision zero, of a new incarnation.
    pub fn add_incarnation(&mut self, record: Arc<MemberRecord>) {
        let revision = 0;
        self.records.push(StoredRecord { revision, record });
    }

    /// Returns an incarnation's record.
    #[must_use]
    pub fn record(&self, index: usize) -> &StoredRecord {
        &self.records[index]
    }

    /// Applies a write and returns the new record; `None` if the record's revision is not the expected one.
    pub fn apply(&mut self, write: StoreWrite) -> Option<&StoredRecord> {
        let index = index_of(&write.record.id);
        let stored = &mut self.records[index];
        if stored.revision != write.expected_revision && !write.is_unconditional {
            return None;
        }
        self.revision += 1;
        stored.revision = self.revision;
        stored.record = write.record;
        Some(stored)
    }
}

/// Returns the number of an incarnation as an index.
///
/// # Panics
///
/// Panics if the number does not fit in `usize`.
#[must_use]
pub fn index_of(id: &AgentId) -> usize {
    usize::try_from(id.incarnation).expect("the incarnation number must fit in usize")
}

/// Returns the record that an agent writes when it joins.
#[must_use]
pub fn joining_record(id: AgentId, place: SlotPlace) -> MemberRecord {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRecord::new(
        id,
        Place::new("region", place.zone.to_string(), place.rack.to_string()),
        AgentAddrs::new(addr),
    )
}
