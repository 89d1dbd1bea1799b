//! Typed, immutable view of the records: members, workspaces and assignment.

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

/// Result of this module.
pub type Result<T> = std::result::Result<T, ViewError>;

/// Why a record was left out of the view.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ViewError {
    /// Its value is not what its key asks for.
    #[error("record {key} at revision {revision} is not understood: {cause}")]
    Malformed {
        /// Key in the store.
        key: Name,
        /// The store's revision.
        revision: u64,
        /// What the parser found.
        cause: Name,
    },
}

/// Workspace and service name.
pub type ServiceKey = (Name, Name);

/// A value with the revision of its record.
#[derive(Clone, Debug, PartialEq)]
pub struct Versioned<T> {
    /// The store's revision.
    pub revision: u64,
    /// The value.
    pub value: Arc<T>,
}

/// The owner of one unit as the pages have it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnitGrant {
    /// The owner, or none while the unit is unassigned.
    pub owner: Option<AgentId>,
    /// The fence of the owner's grant.
    pub fence: Fence,
    /// The owner to come.
    pub next: Option<AgentId>,
}

/// Pages of one keyed service, by page number.
pub type PageMap = BTreeMap<u32, Versioned<PageRecord>>;

/// Everything an agent knows from the store, at one revision. Cloning it is cheap in what changes
/// seldom: the values are shared.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    /// The view holds every record up to this revision.
    pub revision: u64,
    /// The controller's term.
    pub term: Option<Versioned<TermRecord>>,
    /// Every known incarnation.
    pub members: BTreeMap<AgentId, Versioned<MemberRecord>>,
    /// Accepted workspaces.
    pub workspaces: BTreeMap<Name, Versioned<WorkspaceRecord>>,
    /// Assignment of keyed services.
    pub pages: BTreeMap<ServiceKey, PageMap>,
    member_keys: BTreeMap<Name, AgentId>,
}

impl FleetView {
    /// Makes an empty view.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the view with changed records taken in, and what was not understood. A record that
    /// is not understood leaves the older value in force.
    #[must_use]
    pub fn with_records(mut self, records: &[Record], revision: u64) -> (Self, Vec<ViewError>) {
        let errors = records
            .iter()
            .filter_map(|record| self.take(record).err())
            .collect();
        self.revision = self.revision.max(revision);
        (self, errors)
    }

    /// Takes one record in.
    ///
    /// # Errors
    ///
    /// [`ViewError::Malformed`].
    fn take(&mut self, record: &Record) -> Result<()> {
        match RecordKey::parse(&record.key) {
            Some(RecordKey::Term) => {
                let newer = parse::<TermRecord>(record)?;
                self.term = newer.or_else(|| self.term.take());
            }
            Some(RecordKey::Member(key)) => self.take_member(key, parse(record)?),
            Some(RecordKey::Workspace(name)) => {
                replace(&mut self.workspaces, name, parse(record)?);
            }
            Some(RecordKey::Page {
                workspace,
                service,
                page,
            }) => {
                let pages = self.pages.entry((workspace, service)).or_default();
                take_page(pages, page, parse(record)?);
            }
            None => {}
        }
        Ok(())
    }

    /// Takes a member's record in, or drops a deleted one.
    fn take_member(&mut self, key: Name, member: Option<Versioned<MemberRecord>>) {
        if let Some(member) = member {
            let id = member.value.id.clone();
            self.member_keys.insert(key, id.clone());
            self.members.insert(id, member);
        } else if let Some(id) = self.member_keys.remove(&key) {
            self.members.remove(&id);
        }
    }

    /// Returns the member of an incarnation.
    #[must_use]
    pub fn member(&self, id: &AgentId) -> Option<&MemberRecord> {
        self.members.get(id).map(|member| &*member.value)
    }

    /// Iterates over members that are neither dead nor gone.
    pub fn present(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members
            .values()
            .map(|member| &*member.value)
            .filter(|member| !member.state.has_ended())
    }

    /// Iterates over members that may take work of a service: live, with its backend server, in an
    /// availability zone that the workspace uses and has not taken out.
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

    /// Returns the unit that holds a key: the key itself if it is pinned, else its slice.
    #[must_use]
    pub fn unit_of(&self, service: &ServiceKey, key: KeyHash) -> Unit {
        let pinned = self.pinned(service, key).is_some();
        if pinned {
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
                Some(resolve(page, page.slices.get(index)?))
            }
            Unit::Key(key) => {
                let grant = self.pinned(service, key)?;
                Some(resolve(&pages.get(&PAGES)?.value, grant))
            }
        }
    }

    /// Returns the grant of a pinned key.
    fn pinned(&self, service: &ServiceKey, key: KeyHash) -> Option<&Grant> {
        let page = self.pages.get(service)?.get(&PAGES)?;
        let index = page.value.pins.binary_search_by_key(&key, |pin| pin.key);
        index.ok().map(|index| &page.value.pins[index].grant)
    }
}

/// Puts names in place of a page's owner indices.
fn resolve(page: &PageRecord, grant: &Grant) -> UnitGrant {
    let name = |index: u16| page.owners.get(usize::from(index)).cloned();
    UnitGrant {
        owner: grant.owner.and_then(name),
        fence: grant.fence,
        next: grant.next.and_then(name),
    }
}

/// Takes a page in unless its term or generation is lower than what is there.
fn take_page(pages: &mut PageMap, number: u32, page: Option<Versioned<PageRecord>>) {
    let Some(page) = page else {
        pages.remove(&number);
        return;
    };
    let rank = |page: &Versioned<PageRecord>| (page.value.term, page.value.generation);
    let stale = pages
        .get(&number)
        .is_some_and(|old| rank(old) > rank(&page));
    if !stale {
        pages.insert(number, page);
    }
}

/// Sets a value, or drops a deleted one.
fn replace<T>(map: &mut BTreeMap<Name, Versioned<T>>, key: Name, value: Option<Versioned<T>>) {
    match value {
        Some(value) => map.insert(key, value),
        None => map.remove(&key),
    };
}

/// Parses a record's value; a deleted record yields none.
///
/// # Errors
///
/// [`ViewError::Malformed`].
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
