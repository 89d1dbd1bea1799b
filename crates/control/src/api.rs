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
    /// Periods of the lease protocol.
    pub lease: LeaseTiming,
    /// Monitors of each agent.
    pub monitors: u32,
    /// Peak load over mean load of owners that starts a rebalance.
    pub imbalance_limit: f64,
    /// Most units of a service in planned moves at once, as a share of all.
    pub moving_share: f64,
    /// Most keys pinned apart from their slices, per service.
    pub pinned_keys: u32,
    /// Most writes a second, on top of [`Self::write_burst`].
    pub write_rate: u32,
    /// Most writes at once.
    pub write_burst: u32,
    /// A rule to break, for the proof that a check notices.
    pub broken: Option<BrokenRule>,
}

/// A rule of the controller that a trace or a trial may switch off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BrokenRule {
    /// Units are given to others without waiting for their owner's release or verdict.
    WaitForOwner,
    /// The counter of fences starts at zero in the same term.
    GrowFences,
    /// A controller goes on after it lost the role, and writes over records of a higher term.
    HigherTerm,
    /// A lost owner's units are not given to others.
    ReplaceDead,
    /// A move to an owner that died is not aimed at another.
    RetargetMoves,
    /// Owners in availability zones taken out keep their units.
    DrainZones,
    /// Loads are not looked at.
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

/// How a write to the store ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteOutcome {
    /// It took effect, possibly found out by reading back.
    Applied {
        /// The store's revision of the write.
        revision: u64,
    },
    /// Another write came first.
    Conflict,
    /// Nobody knows yet; the records will tell.
    Unknown,
}

/// What happens to a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlEvent {
    /// This agent holds the role under a term.
    Elected {
        /// The term.
        term: u64,
    },
    /// This agent no longer holds the role.
    Deposed,
    /// Records changed. Sent whether or not the agent holds the role.
    Records(RecordBatch),
    /// A monitor voted.
    Vote(VoteNotice),
    /// An agent reported.
    Report(AgentReport),
    /// An old owner released units of a planned move.
    Released(ReleaseNotice),
    /// A write ended.
    Written {
        /// The key.
        key: Name,
        /// How.
        end: WriteOutcome,
    },
    /// Time passed.
    Tick,
}

/// What a controller wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlAction {
    /// Write a record by compare-and-swap. At most one write of a key is under way at a time.
    Write {
        /// The key.
        key: Name,
        /// The revision that the write replaces; zero if the key is not there.
        expect: u64,
        /// JSON text, or none to delete.
        value: Option<Name>,
    },
}

/// An agent the controller has heard of.
pub type ReportMap = std::collections::BTreeMap<AgentId, AgentReport>;
