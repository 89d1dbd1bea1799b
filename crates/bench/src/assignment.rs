//! Reads the assignment of slices from the store and compares it with one read later.

use std::collections::BTreeMap;

use anyhow::Result;
use jy_store::client::StoreClient;
use jy_types::assign::PageRecord;
use jy_types::key::PAGE_SLICES;
use jy_types::key::SliceId;
use jy_types::member::AgentId;
use jy_types::name::Name;
use jy_types::record::RecordKey;

/// Key prefix of the records that hold the assignment.
const PAGE_KEY_PREFIX: &str = "s/page/";

/// Workspace, service and slice.
type SliceKey = (Name, Name, SliceId);

/// Owner and fence of every slice at the time of a read.
#[derive(Clone, Debug, Default)]
pub struct AssignmentSnapshot {
    grants: BTreeMap<SliceKey, (Option<AgentId>, u64)>,
}

impl AssignmentSnapshot {
    /// Reads the assignment from the store.
    ///
    /// # Errors
    ///
    /// If the store does not answer, or if a page record can't be decoded.
    pub async fn read(store: &StoreClient) -> Result<Self> {
        let mut grants = BTreeMap::new();
        for record in store.list(PAGE_KEY_PREFIX).await?.records {
            let Some(RecordKey::Page {
                workspace,
                service,
                page,
            }) = RecordKey::parse(&record.key)
            else {
                continue;
            };
            let text = record.value.unwrap_or_else(|| "".into());
            let page_record: PageRecord = serde_json::from_str(&text)?;
            for (slice, grant) in (page * PAGE_SLICES..).zip(&page_record.slices) {
                let owner = grant
                    .owner
                    .and_then(|index| page_record.owners.get(usize::from(index)).cloned());
                let slice_key = (
                    Name::clone(&workspace),
                    Name::clone(&service),
                    SliceId(slice),
                );
                grants.insert(slice_key, (owner, grant.fence.0));
            }
        }
        Ok(Self { grants })
    }

    /// Returns the number of slices.
    #[must_use]
    pub fn len(&self) -> usize {
        self.grants.len()
    }

    /// Returns whether there are no slices.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// Counts the grants that are lost in a later read: the slice is missing or has no owner, its fence
    /// is lower, or it has another owner under the same fence.
    #[must_use]
    pub fn count_lost_in(&self, later: &Self) -> usize {
        let is_lost = |(slice_key, (owner, fence)): (&SliceKey, &(Option<AgentId>, u64))| {
            let Some((later_owner, later_fence)) = later.grants.get(slice_key) else {
                return true;
            };
            let has_changed_owner = later_fence == fence && later_owner != owner;
            later_owner.is_none() || later_fence < fence || has_changed_owner
        };
        self.grants.iter().filter(|grant| is_lost(*grant)).count()
    }
}
