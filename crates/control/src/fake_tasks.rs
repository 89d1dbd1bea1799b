//! Scheduled tasks of a simulated fleet, in order of time.

use jy_types::name::Name;
use jy_types::peer::AgentReport;
use jy_types::time::Millis;

use crate::api::ControlEvent;
use crate::election::ElectionEvent;

/// A task to be run at a later time.
#[derive(Clone, Debug)]
pub(crate) enum FleetTask {
    /// A write reaches the store.
    Swap {
        candidate: usize,
        key: Name,
        expect: u64,
        value: Option<Name>,
    },
    /// A claim reaches the store.
    Claim {
        candidate: usize,
        term: u64,
        expect: u64,
    },
    /// A request to grant or renew the store lease reaches the store.
    Lease {
        candidate: usize,
        term: u64,
        sent: Millis,
        renewal: bool,
    },
    /// A controller receives an event.
    Control(usize, Box<ControlEvent>),
    /// A candidate's election receives an event.
    Election(usize, ElectionEvent),
    /// All agents report.
    Reports,
    /// One agent's report reaches the controller.
    Report(Box<AgentReport>),
    /// Monitors vote and owners release units.
    VoteAndRelease,
    /// A deadline of a candidate has been reached.
    Wake(usize),
}

/// A task with its time, ordered by time and then by the order of scheduling.
#[derive(Clone, Debug)]
pub(crate) struct ScheduledTask {
    pub(crate) at: Millis,
    pub(crate) number: u64,
    pub(crate) task: FleetTask,
}

impl PartialEq for ScheduledTask {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for ScheduledTask {}

impl PartialOrd for ScheduledTask {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledTask {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Returns the candidate that a task belongs to, if any.
pub(crate) const fn candidate_of(task: &FleetTask) -> Option<usize> {
    match task {
        FleetTask::Swap { candidate, .. }
        | FleetTask::Claim { candidate, .. }
        | FleetTask::Lease { candidate, .. }
        | FleetTask::Control(candidate, _)
        | FleetTask::Election(candidate, _)
        | FleetTask::Wake(candidate) => Some(*candidate),
        _ => None,
    }
}

/// Creates the task that grants or renews a store lease.
pub(crate) const fn lease_task(
    candidate: usize,
    term: u64,
    sent: Millis,
    renewal: bool,
) -> FleetTask {
    FleetTask::Lease {
        candidate,
        term,
        sent,
        renewal,
    }
}
