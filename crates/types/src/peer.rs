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

/// Asks a monitor to support the sender's lease for one TTL from receipt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The agent that asks for support.
    pub from: AgentId,
    /// The incarnation of the monitor on which the agent relies.
    pub to: AgentId,
    /// Number echoed in the reply, by which the agent finds its own send time.
    pub sequence: u64,
    /// The sender's replica is complete up to this revision.
    pub revision: u64,
}

/// A monitor's reply to a [`Renewal`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RenewalReply {
    /// The sequence of the renewal.
    pub sequence: u64,
    /// Whether the monitor promises support.
    pub accepted: bool,
    /// The monitor's replica is complete up to this revision.
    pub revision: u64,
}

/// Requests the records after a revision. The reply is a [`RecordBatch`](crate::record::RecordBatch).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The requester's replica is complete up to this revision.
    pub after: u64,
}

/// Announces that the sender has newer records. The receiver pulls them if it lacks them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionOffer {
    /// The sender.
    pub from: AgentId,
    /// The sender's replica is complete up to this revision.
    pub revision: u64,
}

/// A monitor's vote to declare an agent dead, cast after its promise to support the agent has expired. It is
/// resent until the verdict is in the records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoteNotice {
    /// The monitor that votes.
    pub from: AgentId,
    /// The agent voted against.
    pub target: AgentId,
}

/// Request rate of one slice over the last report interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceLoad {
    /// The slice.
    #[serde(rename = "s")]
    pub slice: SliceId,
    /// Requests per second, not counting those for pinned keys.
    #[serde(rename = "r")]
    pub rate: f32,
}

/// Request rate of one hot key over the last report interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyLoad {
    /// The key.
    #[serde(rename = "k")]
    pub key: KeyHash,
    /// Requests per second.
    #[serde(rename = "r")]
    pub rate: f32,
}

/// An agent's report to the controller, sent every few seconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentReport {
    /// The agent.
    pub from: AgentId,
    /// Epoch of the newest monitor set that supports the agent's lease on its own.
    pub monitors_epoch: u64,
    /// Whether the agent asks to leave.
    pub leaving: bool,
    /// The agent's replica is complete up to this revision.
    pub revision: u64,
    /// Load by slice. Slices without load are omitted.
    pub slices: Vec<SliceLoad>,
    /// Keys with the highest load.
    pub keys: Vec<KeyLoad>,
}

/// States that the old owner of units in a planned move has stopped serving them and has handed over their
/// window of request ids.
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
    /// The fence of the ended grant, so that a delayed notice does not end a newer one.
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
    /// Time until the entry is removed, in milliseconds from the sending of the message.
    #[serde(rename = "forget_in_ms")]
    pub expires_in_ms: u64,
    /// The complete response, or none if the outcome is unknown.
    pub answer: Option<StoredAnswer>,
}

/// A response kept to answer repeats of its request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<Name>,
    /// Body, as text.
    pub body: Name,
}

/// Hands the window of request ids of some units from their old owner to the next.
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
    /// The units handed over.
    pub units: Vec<Unit>,
    /// The remembered outcomes of their requests.
    pub entries: Vec<WindowEntry>,
}
