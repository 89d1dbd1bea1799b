//! What happens later in a fake fleet, in order of time.

use jy_types::name::Name;
use jy_types::peer::AgentReport;
use jy_types::time::Millis;

use crate::api::ControlEvent;
use crate::election::ElectionEvent;

/// Something that happens later.
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
    /// A new or renewed store lease reaches the store.
    Lease {
        candidate: usize,
        term: u64,
        sent: Millis,
        renewal: bool,
    },
    /// A controller is told something.
    Control(usize, Box<ControlEvent>),
    /// A candidate is told something.
    Election(usize, ElectionEvent),
    /// All agents report.
    Reports,
    /// One agent's report reaches the controller.
    Report(Box<AgentReport>),
    /// Monitors vote and owners release.
    Round,
    /// A candidate's deadline is due.
    Wake(usize),
}

/// A task at its time; earlier ones first, then in order of planning.
#[derive(Clone, Debug)]
pub(crate) struct PlannedTask {
    pub(crate) at: Millis,
    pub(crate) number: u64,
    pub(crate) task: FleetTask,
}

impl PartialEq for PlannedTask {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for PlannedTask {}

impl PartialOrd for PlannedTask {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PlannedTask {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// Returns the candidate that a task is for.
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

/// Makes the task of a store lease's grant or renewal.
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
