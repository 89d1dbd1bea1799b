//! Faults of a backend server, set on command, its load report and its counts.

use serde::Deserialize;
use serde::Serialize;

/// Path of [`BackendFault`], by POST.
pub const FAULT_PATH: &str = "/admin/fault";
/// Path of [`BackendCounts`], by GET.
pub const COUNTS_PATH: &str = "/admin/counts";
/// Path of [`LoadReport`], by GET.
pub const LOAD_PATH: &str = "/load";

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// It carries another request id.
    WrongId,
    /// It is the whole answer to an earlier request.
    Crossed,
    /// It ends before its stated length.
    Short,
    /// Its connection closes before the body of unstated length ends.
    Reset,
    /// It comes this much later than the work took.
    Late,
}

/// A command that changes the faults. What is left out stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendFault {
    /// What is wrong with answers to come.
    pub answer: Option<AnswerFault>,
    /// How many of the answers to come are wrong.
    pub answers: u32,
    /// Delay of [`AnswerFault::Late`], in milliseconds.
    pub late_ms: Option<u64>,
    /// Work takes this many times as long.
    pub straggle: Option<u32>,
    /// The straggling ends after this time, in milliseconds.
    pub straggle_for_ms: u64,
    /// It starts cold now, announced or not.
    pub restart: Option<RestartKind>,
    /// Whether it drains.
    pub draining: Option<bool>,
    /// Its load report is this old, in milliseconds.
    pub load_lag_ms: Option<u64>,
    /// Its load report is multiplied by this many percent.
    pub load_percent: Option<u32>,
}

/// Whether a cold start is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RestartKind {
    /// The announcement says so.
    Announced,
    /// Nothing says so but the start stamp.
    Silent,
}

/// A load report, which may lag or mislead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub in_flight: u32,
    /// Requests that it handles at once when warm.
    pub slots: u32,
}

/// What a backend server counted since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounts {
    /// Runs started.
    pub runs: u64,
    /// Runs whose connection closed before the work was done.
    pub cancelled: u64,
    /// Runs stopped at their deadline.
    pub late: u64,
    /// Requests shed.
    pub shed: u64,
    /// Requests refused because their fence was lower than one seen.
    pub stale_fences: u64,
    /// Times that it fell over in a cold start because of too much work.
    pub overruns: u64,
    /// Most requests that ran at once.
    pub peak: u32,
    /// Connections taken.
    pub connections: u64,
}
