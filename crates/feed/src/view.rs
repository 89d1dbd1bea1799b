//! Typed, immutable view of the store's records: members, workspaces and assignments.

use std::collections::BTreeMap;
use std::sync::Arc;

use jy_types::assign::Fence;
use jy_types::assign::Grant;
use jy_types::assign::PageRecord;
use jy_types::assign::TermRecord;
use jy_types::key::KeyHash;
use jy_types::key::PAGES;
use jy_types::key::Unit;
use jy_types::member::AgentId;
use jy_types::member::MemberRecord;
use jy_types::member::MemberState;
use jy_types::name::Name;
use jy_types::record::Record;
use jy_types::record::RecordKey;
use jy_types::workspace::WorkspaceRecord;
use serde::de::DeserializeOwned;
use thiserror::Error;

/// Result with a [`ViewError`].
pub type Result<T> = std::result::Result<T, ViewError>;

/// Reason why a record was left out of the view.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ViewError {
    /// The value is not of the type that the key requires.
    #[error("cannot parse record {key} at revision {revision}: {cause}")]
    Malformed {
        /// Key in the store.
        key: Name,
        /// Revision of the record.
        revision: u64,
        /// Message of the parser.
        cause: Name,
    },
}

/// Names of a workspace and one of its services.
pub type ServiceKey = (Name, Name);

/// A value with the revision of its record.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// Revision of the record.
    pub revision: u64,
    /// The value.
    pub value: Arc<T>,
}

/// Ownership of one unit according to the assignment pages.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnitGrant {
    /// The owner, or `None` while the unit is unassigned.
    pub owner: Option<AgentId>,
    /// The fence of the owner's grant.
    pub fence: Fence,
    /// The next owner, if the unit is to be moved.
    pub next_owner: Option<AgentId>,
}

/// Assignment pages of one keyed service, by page number.
pub type PageMap = BTreeMap<u32, Versioned<PageRecord>>;

/// State of the store at one revision, as an agent knows it. Cloning copies the maps, but not the record values
/// in them, which clones share.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// Revision up to which the view is complete.
    pub revision: u64,
    /// The controller's term.
    pub term: Option<Versioned<TermRecord>>,
    /// All known agent incarnations.
    pub members: BTreeMap<AgentId, Versioned<MemberRecord>>,
    /// Accepted workspaces.
    pub workspaces: BTreeMap<Name, Versioned<WorkspaceRecord>>,
    /// Assignment pages of keyed services.
    pub pages: BTreeMap<ServiceKey, PageMap>,
    member_keys: BTreeMap<Name, AgentId>,
}

impl FleetView {
    /// Creates an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies changed records and returns the view and the errors of the records that cannot be parsed. Such
    /// a record leaves the older value in force.
    #[must_use]
    pub fn with_records(mut self, records: &[Record], revision: u64) -> (Self, Vec<ViewError>) {
        let errors = records
            .iter()
            .filter_map(|record| self.apply(record).err())
            .collect();
        self.revision = self.revision.max(revision);
        (self, errors)
    }

    /// Applies one record.
    ///
    /// # Errors
    ///
    /// Returns [`ViewError::Malformed`] if the value cannot be parsed.
    fn apply(&mut self, record: &Record) -> Result<()> {
        match RecordKey::parse(&record.key) {
            Some(RecordKey::Term) => {
                let newer = parse::<TermRecord>(record)?;
                self.term = newer.or_else(|| self.term.take());
            }
            Some(RecordKey::Member(key)) => self.update_member(key, parse(record)?),
            Some(RecordKey::Workspace(name)) => {
                set_or_remove(&mut self.workspaces, name, parse(record)?);
            }
            Some(RecordKey::Page {
                workspace,
                service,
                page,
            }) => {
                let pages = self.pages.entry((workspace, service)).or_default();
                update_page(pages, page, parse(record)?);
            }
            None => {}
        }
        Ok(())
    }

    /// Inserts or replaces a member, or removes it if its record was deleted.
    fn update_member(&mut self, key: Name, member: Option<Versioned<MemberRecord>>) {
        if let Some(member) = member {
            let id = member.value.id.clone();
            self.member_keys.insert(key, id.clone());
            self.members.insert(id, member);
        } else if let Some(id) = self.member_keys.remove(&key) {
            self.members.remove(&id);
        }
    }

    /// Returns the member record of an agent incarnation.
    #[must_use]
    pub fn member(&self, id: &AgentId) -> Option<&MemberRecord> {
        self.members.get(id).map(|member| &*member.value)
    }

    /// Iterates over members that have neither left nor been declared dead.
    pub fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .map(|member| &*member.value)
            .filter(|member| !member.state.has_ended())
    }

    /// Iterates over members that can serve requests of a service: live, with a backend server of that
    /// service, and in an availability zone that the workspace uses and has not taken out.
    pub fn endpoints<'a>(
        &'a self,
        workspace: &'a WorkspaceRecord,
        service: &'a str,
    ) -> impl Iterator<Item = &'a MemberRecord> {
        self.present().filter(move |member| {
            let zone = &member.place.zone;
            let serves = member.endpoint.as_ref().is_some_and(|endpoint| {
                endpoint.workspace == workspace.name && &*endpoint.service == service
            });
            serves
                && member.state == MemberState::Live
                && workspace.zones.contains(zone)
                && !workspace.zones_out.contains(zone)
        })
    }

    /// Returns the unit that a key belongs to: the key itself if it is pinned, otherwise its slice.
    #[must_use]
    pub fn unit_of(&self, service: &ServiceKey, key: KeyHash) -> Unit {
        let is_pinned = self.pinned_grant(service, key).is_some();
        if is_pinned {
            Unit::Key(key)
        } else {
            Unit::Slice(key.slice())
        }
    }

    /// Returns the grant of a unit.
    #[must_use]
    pub fn grant(&self, service: &ServiceKey, unit: Unit) -> Option<UnitGrant> {
        let pages = self.pages.get(service)?;
        match unit {
            Unit::Slice(slice) => {
                let (page, index) = slice.page();
                let page = &pages.get(&page)?.value;
                Some(resolve_owners(page, page.slices.get(index)?))
            }
            Unit::Key(key) => {
                let grant = self.pinned_grant(service, key)?;
                Some(resolve_owners(&pages.get(&PAGES)?.value, grant))
            }
        }
    }

    /// Returns the grant of a pinned key.
    fn pinned_grant(&self, service: &ServiceKey, key: KeyHash) -> Option<&Grant> {
        let page = self.pages.get(service)?.get(&PAGES)?;
        let index = page.value.pins.binary_search_by_key(&key, |pin| pin.key);
        index.ok().map(|index| &page.value.pins[index].grant)
    }
}

/// Resolves the owner indices of a grant to the agents that the page lists.
fn resolve_owners(page: &PageRecord, grant: &Grant) -> UnitGrant {
    let name = |index: u16| page.owners.get(usize::from(index)).cloned();
    UnitGrant {
        owner: grant.owner.and_then(name),
        fence: grant.fence,
        next_owner: grant.next_owner.and_then(name),
    }
}

/// Inserts or replaces a page unless the present page has a higher term, or the same term and a higher
/// generation. Removes a deleted page.
fn update_page(pages: &mut PageMap, number: u32, page: Option<Versioned<PageRecord>>) {
    let Some(page) = page else {
        pages.remove(&number);
        return;
    };
    let rank = |page: &Versioned<PageRecord>| (page.value.term, page.value.generation);
    let is_stale = pages
        .get(&number)
        .is_some_and(|old| rank(old) > rank(&page));
    if !is_stale {
        pages.insert(number, page);
    }
}

/// Sets a value, or removes it if its record was deleted.
fn set_or_remove<T>(
    map: &mut BTreeMap<Name, Versioned<T>>,
    key: Name,
    value: Option<Versioned<T>>,
) {
    match value {
        Some(value) => map.insert(key, value),
        None => map.remove(&key),
    };
}

/// Parses the value of a record. Returns `None` for a deleted record.
///
/// # Errors
///
/// Returns [`ViewError::Malformed`] if the value cannot be parsed.
fn parse<T: DeserializeOwned>(record: &Record) -> Result<Option<Versioned<T>>> {
    let Some(text) = &record.value else {
        return Ok(None);
    };
    let value = serde_json::from_str(text).map_err(|cause| ViewError::Malformed {
        key: record.key.clone(),
        revision: record.revision,
        cause: cause.to_string().into(),
    })?;
    Ok(Some(Versioned {
        revision: record.revision,
        value: Arc::new(value),
    }))
}
