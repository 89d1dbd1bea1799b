//! Events and actions of the controller.

use jy_lease::timing::LeaseTiming;
use jy_types::member::AgentId;
use jy_types::name::Name;
use jy_types::peer::AgentReport;
use jy_types::peer::ReleaseNotice;
use jy_types::peer::VoteNotice;
use jy_types::record::RecordBatch;
use serde::Deserialize;
use serde::Serialize;

/// Settings of the controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ControlSettings {
    /// Timing of the lease protocol.
    pub lease: LeaseTiming,
    /// Wanted number of monitors of each agent.
    pub monitors: u32,
    /// Limit on the ratio of the highest to the mean load of owners, which rebalancing maintains.
    pub imbalance_limit: f64,
    /// Largest share of a service's units in planned moves at once.
    pub moving_share: f64,
    /// Largest number of keys pinned apart from their slices, per service.
    pub pinned_keys: u32,
    /// Limit on writes per second, on top of [`Self::write_burst`].
    pub write_rate: u32,
    /// Limit on writes sent at once.
    pub write_burst: u32,
    /// Rule to disable, to show that a check detects the violation.
    pub broken: Option<BrokenRule>,
}

/// Rule of the controller that a trace or a trial can disable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenRule {
    /// Disabled: units are granted to others without waiting for their owner's release or verdict.
    WaitForOwner,
    /// Disabled: every grant of a term gets the same fence.
    GrowFences,
    /// Disabled: a controller continues after it lost the role, and overwrites records of a higher term.
    HigherTerm,
    /// Disabled: a lost owner's units are not granted to others.
    ReplaceDead,
    /// Disabled: a move to an owner that died is not redirected to another.
    RetargetMoves,
    /// Disabled: owners in drained availability zones keep their units.
    DrainZones,
    /// Disabled: units and keys are not moved or pinned by load.
    Rebalance,
}

impl Default for ControlSettings {
    fn default() -> Self {
        Self {
            lease: LeaseTiming::default(),
            monitors: 3,
            imbalance_limit: 1.10,
            moving_share: 0.05,
            pinned_keys: 64,
            write_rate: 90,
            write_burst: 40,
            broken: None,
        }
    }
}

/// Outcome of a write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteOutcome {
    /// The write took effect, which may have been learned by reading the record back.
    Applied {
        /// Store revision of the write.
        revision: u64,
    },
    /// The record no longer had the expected revision.
    Conflict,
    /// The outcome is not known yet; the records will show it.
    Unknown,
}

/// Input of the controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlEvent {
    /// This agent now holds the role.
    Elected {
        /// Term of the role.
        term: u64,
    },
    /// This agent no longer holds the role.
    Deposed,
    /// Records changed. This is sent whether or not the agent holds the role.
    Records(RecordBatch),
    /// A monitor voted against an agent.
    Vote(VoteNotice),
    /// An agent sent a report.
    Report(AgentReport),
    /// The owner of units in a planned move released them.
    Released(ReleaseNotice),
    /// The outcome of a write arrived.
    Written {
        /// Key of the record.
        key: Name,
        /// Outcome of the write.
        end: WriteOutcome,
    },
    /// Time passed.
    Tick,
}

/// Output of the controller, to be run by its caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlAction {
    /// Write a record by compare-and-swap. At most one write of a key is pending at a time.
    Write {
        /// Key of the record.
        key: Name,
        /// Revision that the write replaces; zero if there is no record.
        expect: u64,
        /// JSON text, or `None` to delete the record.
        value: Option<Name>,
    },
}

/// Reports by agent.
pub type ReportMap = std::collections::BTreeMap<AgentId, AgentReport>;
