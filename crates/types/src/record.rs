//! Records of the store that every agent keeps, and the layout of their keys.

use serde::Deserialize;
use serde::Serialize;

use crate::member::AgentId;
use crate::name::Name;

/// Prefix of all records that spread to every agent.
pub const SPREAD_PREFIX: &str = "s/";

/// Key of the controller's term.
pub const TERM_KEY: &str = "s/term";

/// Key bound to the controller's store lease; it does not spread.
pub const CONTROLLER_ALIVE_KEY: &str = "x/controller";

/// One record of the store, at the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Key in the store.
    pub key: Name,
    /// The store's revision of the write; grows over all keys.
    pub revision: u64,
    /// JSON text, or none if the write deleted the key.
    pub value: Option<Name>,
}

/// Records that bring a replica from one revision to another with nothing left out.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    /// The newest of each key written after the asked revision.
    pub records: Vec<Record>,
    /// The replica is complete up to this revision once they are taken in.
    pub complete_to: u64,
}

/// What the key of a record names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RecordKey {
    /// A [`MemberRecord`](crate::member::MemberRecord).
    Member(Name),
    /// A [`WorkspaceRecord`](crate::workspace::WorkspaceRecord).
    Workspace(Name),
    /// A [`PageRecord`](crate::assign::PageRecord).
    Page {
        /// Workspace name.
        workspace: Name,
        /// Service name.
        service: Name,
        /// Page number.
        page: u32,
    },
    /// The [`TermRecord`](crate::assign::TermRecord).
    Term,
}

impl RecordKey {
    /// Parses a key of the spread records, or returns none if it names nothing known.
    #[must_use]
    pub fn parse(key: &str) -> Option<Self> {
        let rest = key.strip_prefix(SPREAD_PREFIX)?;
        let mut parts = rest.split('/');
        let parsed = match (parts.next()?, parts.next(), parts.next(), parts.next()) {
            ("term", None, None, None) => Self::Term,
            ("member", Some(id), None, None) => Self::Member(id.into()),
            ("workspace", Some(name), None, None) => Self::Workspace(name.into()),
            ("page", Some(workspace), Some(service), Some(page)) => Self::Page {
                workspace: workspace.into(),
                service: service.into(),
                page: page.parse().ok()?,
            },
            _ => return None,
        };
        parts.next().is_none().then_some(parsed)
    }
}

/// Returns the key of an incarnation's record.
#[must_use]
pub fn member_key(id: &AgentId) -> Name {
    format!("{SPREAD_PREFIX}member/{id}").into()
}

/// Returns the key of a workspace's accepted configuration.
#[must_use]
pub fn workspace_key(workspace: &str) -> Name {
    format!("{SPREAD_PREFIX}workspace/{workspace}").into()
}

/// Returns the key of a page of the assignment.
#[must_use]
pub fn page_key(workspace: &str, service: &str, page: u32) -> Name {
    format!("{SPREAD_PREFIX}page/{workspace}/{service}/{page}").into()
}
