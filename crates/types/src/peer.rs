//! Messages between agents, carried as JSON-RPC.

use serde::Deserialize;
use serde::Serialize;

use crate::assign::Fence;
use crate::key::KeyHash;
use crate::key::SliceId;
use crate::key::Unit;
use crate::member::AgentId;
use crate::name::Name;

/// Method of [`Renewal`].
pub const RENEW_METHOD: &str = "renew";
/// Method of [`Pull`].
pub const PULL_METHOD: &str = "pull";
/// Method of [`RevisionOffer`].
pub const OFFER_METHOD: &str = "offer";
/// Method of [`VoteNotice`].
pub const VOTE_METHOD: &str = "vote";
/// Method of [`AgentReport`].
pub const REPORT_METHOD: &str = "report";
/// Method of [`ReleaseNotice`].
pub const RELEASE_METHOD: &str = "release";
/// Method of [`WindowHandover`].
pub const HANDOVER_METHOD: &str = "handover";

/// An agent asks a monitor to support its lease for one TTL from receipt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The agent.
    pub from: AgentId,
    /// The monitor's incarnation that the agent counts on.
    pub to: AgentId,
    /// Echoed in the reply; the agent's own send time goes with it.
    pub sequence: u64,
    /// The sender's replica is complete up to this revision.
    pub revision: u64,
}

/// A monitor's answer to a [`Renewal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// The sequence of the renewal.
    pub sequence: u64,
    /// Whether the monitor promises support.
    pub accepted: bool,
    /// The monitor's replica is complete up to this revision.
    pub revision: u64,
}

/// Asks for the records after a revision; answered with a
/// [`RecordBatch`](crate::record::RecordBatch).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The asker's replica is complete up to this revision.
    pub after: u64,
}

/// Tells that the sender has newer records; the receiver pulls them if it lacks them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionOffer {
    /// The sender.
    pub from: AgentId,
    /// The sender's replica is complete up to this revision.
    pub revision: u64,
}

/// A monitor's vote against an agent whose promise has run out. Sent again until the verdict is
/// in the records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteNotice {
    /// The voter.
    pub from: AgentId,
    /// The agent voted against.
    pub target: AgentId,
}

/// Requests of one unit over the last report interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceLoad {
    /// The slice.
    #[serde(rename = "s")]
    pub slice: SliceId,
    /// Requests a second, pinned keys not counted.
    #[serde(rename = "r")]
    pub rate: f32,
}

/// Requests of one hot key over the last report interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyLoad {
    /// The key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// Requests a second.
    #[serde(rename = "r")]
    pub rate: f32,
}

/// What an agent tells the controller every few seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The agent.
    pub from: AgentId,
    /// Epoch of the newest monitor set that it counts on alone.
    pub monitors_epoch: u64,
    /// Whether it wants to leave.
    pub leaving: bool,
    /// The agent's replica is complete up to this revision.
    pub revision: u64,
    /// Load by slice; slices without load are left out.
    pub slices: Vec<SliceLoad>,
    /// The hottest keys.
    pub keys: Vec<KeyLoad>,
}

/// The old owner of units in a planned move has stopped serving them and handed their window of
/// request ids over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseNotice {
    /// The old owner.
    pub from: AgentId,
    /// Workspace name.
    pub workspace: Name,
    /// Service name.
    pub service: Name,
    /// The units it no longer serves.
    pub units: Vec<ReleasedUnit>,
}

/// A unit that its owner no longer serves under one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleasedUnit {
    /// The unit.
    pub unit: Unit,
    /// The fence of the grant that ends: a notice that comes late ends no newer one.
    pub fence: Fence,
}

/// The remembered outcome of a non-idempotent request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowEntry {
    /// The caller's id.
    pub id: Name,
    /// Hash of the request's method, path and body.
    pub digest: u64,
    /// The unit of its key.
    pub unit: Unit,
    /// Milliseconds until it is forgotten, from when the message was sent.
    pub forget_in_ms: u64,
    /// The whole answer, or none if the outcome is unknown.
    pub answer: Option<StoredAnswer>,
}

/// An answer kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<Name>,
    /// Body, as text.
    pub body: Name,
}

/// The old owner of units hands their window of request ids to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowHandover {
    /// The old owner.
    pub from: AgentId,
    /// The next owner.
    pub to: AgentId,
    /// Workspace name.
    pub workspace: Name,
    /// Service name.
    pub service: Name,
    /// The units.
    pub units: Vec<Unit>,
    /// What is remembered of them.
    pub entries: Vec<WindowEntry>,
}
