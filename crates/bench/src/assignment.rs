//! The assignment as the store has it, and whether one read later has lost anything of it.

use std::collections::BTreeMap;

use anyhow::Result;
use jy_store::client::StoreClient;
use jy_types::assign::PageRecord;
use jy_types::key::PAGE_SLICES;
use jy_types::key::SliceId;
use jy_types::member::AgentId;
use jy_types::name::Name;
use jy_types::record::RecordKey;

/// Prefix of all pages.
const PAGE_PREFIX: &str = "s/page/";

/// A slice of a service.
type SliceName = (Name, Name, SliceId);

/// Owner and fence of every slice.
#[derive(Clone, Debug, Default)]
pub struct AssignmentRead {
    grants: BTreeMap<SliceName, (Option<AgentId>, u64)>,
}

impl AssignmentRead {
    /// Reads the assignment from the store.
    ///
    /// # Errors
    ///
    /// If the store does not answer or a page is not understood.
    pub async fn read(store: &StoreClient) -> Result<Self> {
        let mut grants = BTreeMap::new();
        for record in store.list(PAGE_PREFIX).await?.records {
            let Some(RecordKey::Page {
                workspace,
                service,
                page,
            }) = RecordKey::parse(&record.key)
            else {
                continue;
            };
            let text = record.value.unwrap_or_else(|| "".into());
            let read: PageRecord = serde_json::from_str(&text)?;
            for (slice, grant) in (page * PAGE_SLICES..).zip(&read.slices) {
                let owner = grant
                    .owner
                    .and_then(|index| read.owners.get(usize::from(index)).cloned());
                let name = (
                    Name::clone(&workspace),
                    Name::clone(&service),
                    SliceId(slice),
                );
                grants.insert(name, (owner, grant.fence.0));
            }
        }
        Ok(Self { grants })
    }

    /// Number of slices.
    #[must_use]
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Whether there is no slice.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Counts grants that a later read has lost: the slice is gone or without an owner, its fence
    /// is lower, or it has another owner under the same fence.
    #[must_use]
    pub fn lost_in(&self, later: &Self) -> usize {
        let is_lost = |(name, (owner, fence)): (&SliceName, &(Option<AgentId>, u64))| {
            let Some((later_owner, later_fence)) = later.grants.get(name) else {
                return true;
            };
            let changed = later_fence == fence && later_owner != owner;
            later_owner.is_none() || later_fence < fence || changed
        };
        self.grants.iter().filter(|grant| is_lost(*grant)).count()
    }
}
