//! Store records that every agent replicates, and the layout of their keys.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::member::AgentId;
use crate::name::Name;

/// Key prefix of all records that are replicated to every agent.
pub const SPREAD_PREFIX: &str = "s/";

/// Key of the [`TermRecord`](crate::assign::TermRecord).
pub const TERM_KEY: &str = "s/term";

/// Key bound to the controller's store lease. It is not replicated to the agents.
pub const CONTROLLER_ALIVE_KEY: &str = "x/controller";

/// One record of the store, with the revision that wrote it.
///
/// Its debug output shows no value, since operators' records hold the API keys of tenants.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Key in the store.
    pub key: Name,
    /// The store's revision of the write, which increases with each write of any key.
    pub revision: u64,
    /// JSON text, or none if the write deleted the key.
    pub value: Option<Name>,
}

impl fmt::Debug for Record {
    /// Formats the record with the size of its value instead of the value.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value_bytes = self.value.as_ref().map(|value| value.len());
        formatter
            .debug_struct("Record")
            .field("key", &self.key)
            .field("revision", &self.revision)
            .field("value_bytes", &value_bytes)
            .finish()
    }
}

/// Describes the error of a parser of records without the strings that it quotes from the input, which may be API
/// keys.
#[must_use]
pub fn describe_parse_error(error: &serde_json::Error) -> String {
    let text = error.to_string();
    // The parser quotes strings of the input between double quotes and uses these nowhere else.
    match (text.find('"'), text.rfind('"')) {
        (Some(first), Some(last)) => format!("{}(not shown){}", &text[..first], &text[last + 1..]),
        _ => text,
    }
}

/// Records that bring a replica from one revision to another without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordBatch {
    /// The newest record of each key that was written after the requested revision.
    pub records: Vec<Record>,
    /// The replica is complete up to this revision once the records are applied.
    pub complete_to: u64,
    /// Era of the store in which the revisions were issued. Revisions of different eras can't be compared.
    #[serde(default, skip_serializing_if = "is_first_era")]
    pub era: u64,
}

/// Whether an era is that of a store that has never come back from an older copy. Such an era is not sent, as
/// agents of earlier versions don't know of eras.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes fields by reference"
)]
const fn is_first_era(era: &u64) -> bool {
    *era == 0
}

/// The parsed key of a replicated record.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum RecordKey {
    /// Key of the [`MemberRecord`](crate::member::MemberRecord) of the incarnation with this id.
    Member(Name),
    /// Key of the [`WorkspaceRecord`](crate::workspace::WorkspaceRecord) with this name.
    Workspace(Name),
    /// Key of a [`PageRecord`](crate::assign::PageRecord).
    Page {
        /// Workspace name.
        workspace: Name,
        /// Service name.
        service: Name,
        /// Page number.
        page: u32,
    },
    /// Key of the [`TermRecord`](crate::assign::TermRecord).
    Term,
}

impl RecordKey {
    /// Parses the key of a replicated record, or returns none if it has no known layout.
    #[must_use]
    pub fn parse(key: &str) -> Option<Self> {
        let suffix = key.strip_prefix(SPREAD_PREFIX)?;
        let mut parts = suffix.split('/');
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

/// Returns the key of the record of an agent's incarnation.
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
