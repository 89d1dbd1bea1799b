//! Finds overlapping owners and double runs in the journals of all backend servers.

use std::collections::BTreeMap;

use jy_standins::journal::RunEntry;
use jy_standins::journal::RunOutcome;
use jy_types::name::Name;
use jy_types::time::Millis;

/// A run with the backend server that ran it.
#[derive(Clone, Debug)]
pub struct ServerRun {
    /// Name of the node.
    pub server: Name,
    /// The run.
    pub run: RunEntry,
}

/// What the journals show.
#[derive(Clone, Debug, Default)]
pub struct JournalFindings {
    /// Runs in all.
    pub runs: u64,
    /// Runs that carried a unit, so that owners can be compared.
    pub runs_with_unit: u64,
    /// Pairs of runs of one unit at two backend servers at the same time.
    pub overlaps: Vec<(ServerRun, ServerRun)>,
    /// Runs of a unit under a lower fence that ended after one under a higher fence began.
    pub stale_runs: Vec<ServerRun>,
    /// Non-idempotent requests that ran more than once, with the number of runs.
    pub double_runs: Vec<(Name, usize)>,
}

/// Checks all journals. Units are told apart by workspace and service, which `scope` names.
#[must_use]
pub fn check(runs: &[(Name, ServerRun)]) -> JournalFindings {
    let mut by_unit: BTreeMap<(Name, Name), Vec<&ServerRun>> = BTreeMap::new();
    let mut by_id: BTreeMap<Name, usize> = BTreeMap::new();
    for (scope, run) in runs {
        if let Some(unit) = &run.run.unit {
            let unit = (Name::clone(scope), Name::clone(unit));
            by_unit.entry(unit).or_default().push(run);
        }
        if let Some(id) = &run.run.idempotency_key {
            *by_id.entry(Name::clone(id)).or_default() += 1;
        }
    }
    let mut findings = JournalFindings {
        runs: runs.len() as u64,
        runs_with_unit: by_unit.values().map(|runs| runs.len() as u64).sum(),
        double_runs: by_id.into_iter().filter(|(_, count)| *count > 1).collect(),
        ..JournalFindings::default()
    };
    for runs in by_unit.values_mut() {
        check_unit(runs, &mut findings);
    }
    findings
}

/// Checks the runs of one unit.
fn check_unit(runs: &mut [&ServerRun], findings: &mut JournalFindings) {
    runs.sort_by_key(|run| run.run.start);
    for (index, first) in runs.iter().enumerate() {
        let until = end(first);
        let later = runs[index + 1..].iter();
        for second in later.take_while(|second| second.run.start < until) {
            if second.server != first.server {
                findings
                    .overlaps
                    .push((ServerRun::clone(first), ServerRun::clone(second)));
            }
        }
    }
    let mut newest: Option<(u64, Millis)> = None;
    for run in runs.iter() {
        if newest.is_some_and(|(fence, _)| run.run.fence < fence) {
            findings.stale_runs.push(ServerRun::clone(run));
        }
        newest = newest.max(Some((run.run.fence, run.run.start)));
    }
}

/// When a run ended. An answer that could not be sent ends its run all the same.
const fn end(run: &ServerRun) -> Millis {
    match run.run.how {
        RunOutcome::Open => Millis::MAX,
        _ => run.run.end,
    }
}
