//! Commands that inject faults into a backend server, its load report and its counters.

use serde::Deserialize;
use serde::Serialize;

/// Path of [`BackendFault`], by POST.
pub const FAULT_PATH: &str = "/admin/fault";
/// Path of [`BackendCounts`], by GET.
pub const COUNTS_PATH: &str = "/admin/counts";
/// Path of [`LoadReport`], by GET.
pub const LOAD_PATH: &str = "/load";

/// Fault of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerFault {
    /// The answer carries another request id.
    WrongId,
    /// The answer is the complete answer to an earlier request.
    Crossed,
    /// The body ends before its stated length.
    Short,
    /// The connection closes before a body without a stated length has ended.
    Reset,
    /// The answer is sent [`BackendFault::late_ms`] after the work is done.
    Late,
}

/// A command that changes the faults. Fields that are left out change nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BackendFault {
    /// Fault of the next answers.
    pub answer: Option<AnswerFault>,
    /// Number of answers that [`Self::answer`] applies to.
    pub answers: u32,
    /// Delay of [`AnswerFault::Late`], in milliseconds.
    pub late_ms: Option<u64>,
    /// Factor by which the work of requests takes longer.
    pub straggle: Option<u32>,
    /// Time after which [`Self::straggle`] ends, in milliseconds.
    pub straggle_for_ms: u64,
    /// Restarts the backend server cold.
    pub restart: Option<RestartKind>,
    /// Whether the backend server announces that it drains.
    pub draining: Option<bool>,
    /// Age of the load that is reported, in milliseconds.
    pub load_lag_ms: Option<u64>,
    /// Percentage of the actual load that is reported.
    pub load_percent: Option<u32>,
}

/// Whether a cold start is announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RestartKind {
    /// The announcements carry the cold start.
    Announced,
    /// Only the start stamp of the announcements changes.
    Silent,
}

/// A load report; injected faults can make it outdated or wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in progress.
    pub in_flight: u32,
    /// Requests that the backend server handles concurrently once warm.
    pub slots: u32,
}

/// Counters of a backend server since its process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendCounts {
    /// Runs started.
    pub runs: u64,
    /// Runs whose connection closed before the work was done.
    pub cancelled: u64,
    /// Runs stopped at their deadline.
    pub late: u64,
    /// Requests shed because all slots were taken.
    pub shed: u64,
    /// Requests refused because their fence was lower than the highest of their unit.
    pub stale_fences: u64,
    /// Crashes in a cold start because of too many concurrent requests.
    pub overruns: u64,
    /// Highest number of concurrent requests.
    pub peak: u32,
    /// Connections with a request, told apart by their peer address.
    pub connections: u64,
}
