//! The store: one record an incarnation, changed by compare-and-swap.

use std::net::SocketAddr;
use std::sync::Arc;

use jy_types::member::AgentAddrs;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::Place;

use super::settings::SlotPlace;

/// A record at its revision.
#[derive(Clone, Debug)]
pub struct StoredRecord {
    /// The store's revision; zero before the record is there.
    pub revision: u64,
    /// The record.
    pub record: Arc<MemberRecord>,
}

/// A write on its way to the store.
#[derive(Clone, Debug)]
pub struct StoreWrite {
    /// The revision that it replaces.
    pub expect: u64,
    /// The new record.
    pub record: Arc<MemberRecord>,
    /// Whether it takes effect whatever the revision is.
    pub blind: bool,
}

impl StoreWrite {
    /// An agent's first write of its own record.
    #[must_use]
    pub const fn joining(record: Arc<MemberRecord>) -> Self {
        Self {
            expect: 0,
            record,
            blind: false,
        }
    }
}

/// All records. Incarnation numbers index them.
#[derive(Clone, Debug, Default)]
pub struct ModelStore {
    records: Vec<StoredRecord>,
    revision: u64,
}

impl ModelStore {
    /// Makes room for the record of a new incarnation.
    pub fn announce(&mut self, record: Arc<MemberRecord>) {
        let revision = 0;
        self.records.push(StoredRecord { revision, record });
    }

    /// Returns an incarnation's record.
    #[must_use]
    pub fn record(&self, index: usize) -> &StoredRecord {
        &self.records[index]
    }

    /// Makes a write take effect, unless another came first.
    pub fn apply(&mut self, write: StoreWrite) -> Option<&StoredRecord> {
        let index = index_of(&write.record.id);
        let stored = &mut self.records[index];
        if stored.revision != write.expect && !write.blind {
            return None;
        }
        self.revision += 1;
        stored.revision = self.revision;
        stored.record = write.record;
        Some(stored)
    }
}

/// The number of an incarnation.
///
/// # Panics
///
/// If the number is not an index.
#[must_use]
pub fn index_of(id: &AgentId) -> usize {
    usize::try_from(id.incarnation).expect("incarnations of a schedule are few")
}

/// The record that an agent writes when it joins.
#[must_use]
pub fn joining_record(id: AgentId, place: SlotPlace) -> MemberRecord {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    MemberRecord::new(
        id,
        Place::new("region", place.zone.to_string(), place.rack.to_string()),
        AgentAddrs::new(addr),
    )
}
